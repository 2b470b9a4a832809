#include <boost/test/unit_test.hpp>

#include "MemoryLog.h"
#include "marjoramhaven/fleetnode/RecordWriter.h"
#include "support/Events.h"

using namespace marjoramhaven;
using namespace marjoramhaven::test;

namespace {

constexpr Millis Budget {3000};

struct Stored {
    std::optional<SubmitAnswer> answer;
    TimePoint askedAt = monotonicNow();
    TimePoint answeredAt {};

    void store(RecordWriter &writer, const std::string &key)
    {
        writer.store({key, std::string("v"), 0}, askedAt + Budget, [this](const SubmitAnswer &it) {
            answer = it;
            answeredAt = monotonicNow();
        });
    }
    bool wait()
    {
        return waitFor(
            [this]() {
                return answer.has_value();
            },
            static_cast<int>(Budget.count()) + 500);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(Writer)

// Load: callers submit while the store is down. What was never sent must not be told as unknown, since callers can't try that again.
BOOST_AUTO_TEST_CASE(whatWasNeverSentIsRefusedSoonAndTruly)
{
    MemoryLog log;
    RecordWriter writer(log, StateTopic::Jobs);
    writer.setLogAnswering(false, monotonicNow());
    log.isSilent = true;
    Stored first;
    first.store(writer, "job/1");
    BOOST_REQUIRE(first.wait());
    BOOST_TEST((first.answer->verdict == SubmitVerdict::Refused));
    BOOST_TEST((first.answeredAt - first.askedAt).count() < 600);
    BOOST_TEST(first.answer->retryAfter.count() > 0);
    log.isSilent = false;
    writer.setLogAnswering(true, monotonicNow());
    Stored second;
    second.store(writer, "job/2");
    BOOST_REQUIRE(second.wait());
    BOOST_TEST((second.answer->verdict == SubmitVerdict::Accepted));
    BOOST_TEST(log.end(StateTopic::Jobs) == 1);
}

// Fault: one connection breaks, and the log answers again at once.
BOOST_AUTO_TEST_CASE(aShortSilenceRefusesNobody)
{
    MemoryLog log;
    RecordWriter writer(log, StateTopic::Jobs);
    writer.setLogAnswering(false, monotonicNow());
    Stored it;
    it.store(writer, "job/1");
    QTimer::singleShot(100, &writer, [&writer]() {
        writer.setLogAnswering(true, monotonicNow());
    });
    BOOST_REQUIRE(it.wait());
    BOOST_TEST((it.answer->verdict == SubmitVerdict::Accepted));
}

// Fault: the log goes silent while an append is on its way, and comes back.
BOOST_AUTO_TEST_CASE(whatMayBeStoredIsNeverRefused)
{
    MemoryLog log;
    log.isSilent = true;
    RecordWriter writer(log, StateTopic::Jobs);
    Stored it;
    it.store(writer, "job/1");
    waitFor(
        []() {
            return false;
        },
        200);
    writer.setLogAnswering(false, monotonicNow());
    Stored late;
    late.store(writer, "job/2");
    BOOST_REQUIRE(it.wait());
    BOOST_TEST((it.answer->verdict == SubmitVerdict::Unknown));
    BOOST_TEST((late.answer->verdict == SubmitVerdict::Refused));
}

// Fault: the store turns appends and reads away; nobody waits for the end of the time that is left.
BOOST_AUTO_TEST_CASE(aBusyLogRefusesSoonToo)
{
    MemoryLog log;
    log.isBusy = true;
    RecordWriter writer(log, StateTopic::Jobs);
    Stored it;
    it.store(writer, "job/1");
    waitFor(
        []() {
            return false;
        },
        50);
    writer.setLogAnswering(false, monotonicNow());
    BOOST_REQUIRE(it.wait());
    BOOST_TEST((it.answer->verdict == SubmitVerdict::Refused));
    BOOST_TEST((it.answeredAt - it.askedAt).count() < 900);
}

BOOST_AUTO_TEST_SUITE_END()
