#include <boost/test/unit_test.hpp>

#include "marjoramhaven/fleet/AdviceBook.h"
#include "marjoramhaven/fleet/AnswerTimes.h"

using namespace marjoramhaven;

namespace {

QueuePolicy queueWith(const std::string &name, double baseMs, double perWorkerMs)
{
    QueuePolicy out;
    out.name = name;
    out.needsAdvice = true;
    out.adviceBaseMs = baseMs;
    out.advicePerWorkerMs = perWorkerMs;
    out.ticketValidityMs = 2500;
    return out;
}

const std::vector<std::pair<std::string, std::int64_t>> Workers {{"w1", 1}, {"w2", 1}, {"w3", 1}};

} // namespace

BOOST_AUTO_TEST_SUITE(Advice)

BOOST_AUTO_TEST_CASE(eachProcessAsksOneCallAtATime)
{
    AdviceBook book;
    const auto now = atMillis(0);
    const auto urgent = queueWith("urgent", 30, 0.5);
    book.addHelper("a");
    BOOST_TEST(book.order("s1", urgent, Workers, now).has_value());
    BOOST_TEST(!book.order("s2", urgent, Workers, now).has_value());
    book.addHelper("b");
    BOOST_TEST(book.order("s2", urgent, Workers, now)->helper == "b");
}

// Load: a burst of sweeps, each of whose calls takes half a second, beside urgent steps.
BOOST_AUTO_TEST_CASE(longCallsNeverTakeAllProcesses)
{
    AdviceBook book;
    const auto now = atMillis(0);
    const auto slow = queueWith("slow", 420, 6);
    for (int i = 0; i < 9; ++i) {
        book.addHelper("h" + std::to_string(i));
    }
    int sent = 0;
    for (int i = 0; i < 30; ++i) {
        sent += book.order("sweep" + std::to_string(i), slow, Workers, now) ? 1 : 0;
    }
    BOOST_TEST(sent == 6);
    BOOST_TEST(book.order("check", queueWith("urgent", 30, 0.5), Workers, now).has_value());
}

// Load: processes in three regions, of which one stands near the advisor.
BOOST_AUTO_TEST_CASE(shortCallsGoThroughNearProcessesAndLongOnesThroughOthers)
{
    AdviceBook book;
    const auto urgent = queueWith("urgent", 30, 0);
    const auto slow = queueWith("slow", 420, 6);
    book.addHelper("far");
    book.addHelper("near");
    book.addHelper("other");
    AdviceAnswer answer;
    answer.isAnswered = true;
    auto now = atMillis(0);
    for (int i = 0; i < 6; ++i) {
        const auto step = "s" + std::to_string(i);
        const auto order = book.order(step, urgent, Workers, now);
        BOOST_REQUIRE(order);
        now += Millis(order->helper == "near" ? 35 : 110);
        book.answered(order->helper, step, answer, now);
        if (i >= 3) {
            BOOST_TEST(order->helper == "near");
        }
    }
    BOOST_TEST(book.order("sweep", slow, Workers, now)->helper != "near");
}

BOOST_AUTO_TEST_CASE(ticketsExpireAndRefusalsStay)
{
    AdviceBook book;
    auto now = atMillis(0);
    book.addHelper("a");
    const auto order = book.order("s", queueWith("q", 30, 1), Workers, now);
    AdviceAnswer answer;
    answer.isAnswered = true;
    answer.allowed = {{"w1", "t1"}};
    book.answered(order->helper, "s", answer, now);
    BOOST_TEST((book.verdict("s", "w1", 1, now) == AdviceBook::Verdict::Allowed));
    BOOST_TEST(book.ticket("s", "w1") == "t1");
    BOOST_TEST((book.verdict("s", "w2", 1, now) == AdviceBook::Verdict::Forbidden));
    // Another incarnation of the worker is another worker.
    BOOST_TEST((book.verdict("s", "w1", 2, now) == AdviceBook::Verdict::Unknown));
    now += Millis(2500);
    BOOST_TEST((book.verdict("s", "w1", 1, now) == AdviceBook::Verdict::Expired));
    BOOST_TEST((book.verdict("s", "w2", 1, now) == AdviceBook::Verdict::Forbidden));
}

BOOST_AUTO_TEST_CASE(aProcessThatGoesAwayLetsTheStepBeAskedAgain)
{
    AdviceBook book;
    const auto now = atMillis(0);
    const auto queue = queueWith("q", 30, 1);
    book.addHelper("a");
    book.order("s", queue, Workers, now);
    BOOST_TEST(book.isBusy("s", now));
    book.removeHelper("a");
    BOOST_TEST(!book.isBusy("s", now));
    book.addHelper("b");
    BOOST_TEST(book.order("s", queue, Workers, now)->helper == "b");
}

BOOST_AUTO_TEST_CASE(aSlowServiceGetsMoreTimeAndASilentOneIsAskedSoon)
{
    AnswerTimes times;
    BOOST_TEST(times.timeout().count() == 1200);
    times.failed();
    BOOST_TEST(times.timeout().count() == 700);
    times.failed();
    BOOST_TEST(times.timeout().count() == 1500);
    for (int i = 0; i < 20; ++i) {
        times.answered(Millis(350));
    }
    BOOST_TEST(times.timeout().count() > 1300);
}

BOOST_AUTO_TEST_SUITE_END()
