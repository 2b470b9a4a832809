#include <boost/test/unit_test.hpp>

#include <map>

#include "marjoramhaven/fleet/AdaptiveTimeout.h"
#include "marjoramhaven/fleet/AdviceCache.h"

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

BOOST_AUTO_TEST_CASE(eachProxyHasOneRequestInFlight)
{
    AdviceCache cache;
    const auto now = atMillis(0);
    const auto urgent = queueWith("urgent", 30, 0.5);
    cache.addProxy("a");
    BOOST_TEST(cache.createRequest("s1", urgent, Workers, now).has_value());
    BOOST_TEST(!cache.createRequest("s2", urgent, Workers, now).has_value());
    cache.addProxy("b");
    BOOST_TEST(cache.createRequest("s2", urgent, Workers, now)->proxy == "b");
}

// Load: a burst of steps whose advisor requests take half a second each, together with urgent steps.
BOOST_AUTO_TEST_CASE(longRequestsLeaveProxiesForShortOnes)
{
    AdviceCache cache;
    const auto now = atMillis(0);
    const auto slow = queueWith("slow", 420, 6);
    for (int i = 0; i < 9; ++i) {
        cache.addProxy("h" + std::to_string(i));
    }
    int sent = 0;
    for (int i = 0; i < 30; ++i) {
        sent += cache.createRequest("sweep" + std::to_string(i), slow, Workers, now) ? 1 : 0;
    }
    BOOST_TEST(sent == 6);
    BOOST_TEST(cache.createRequest("check", queueWith("urgent", 30, 0.5), Workers, now).has_value());
}

// Load: a flood of one queue whose steps ask again and again, and a second queue with few steps whose requests are long too.
BOOST_AUTO_TEST_CASE(floodOfOneQueueLeavesTheOthersTheirShareOfProxies)
{
    AdviceCache cache;
    const auto flood = queueWith("flood", 700, 10);
    const auto other = queueWith("other", 200, 3);
    for (int i = 0; i < 12; ++i) {
        cache.addProxy("p" + std::to_string(i));
    }
    AdviceResponse response;
    response.isAnswered = true;
    std::vector<std::pair<AdviceRequest, TimePoint>> inFlight;
    std::map<std::string, int> sent;
    // Every 20 ms the flood asks first.
    for (auto now = atMillis(0); now < atMillis(10'000); now += Millis(20)) {
        std::erase_if(inFlight, [&](const auto &it) {
            const bool isDone = it.second <= now;
            if (isDone) {
                cache.handleResponse(it.first.proxy, it.first.step, response, now);
            }
            return isDone;
        });
        for (const auto *queue : {&flood, &other}) {
            for (int i = 0; i < 20; ++i) {
                const auto request = cache.createRequest(queue->name + std::to_string(i), *queue, Workers, now);
                if (request) {
                    ++sent[queue->name];
                    inFlight.emplace_back(*request, now + Millis(queue == &flood ? 730 : 209));
                }
            }
        }
    }
    // Each queue has half of the eight proxies for long requests: 4 x 10 s / 0.73 s, and 4 x 10 s / 0.22 s.
    BOOST_TEST(sent["other"] > 140);
    BOOST_TEST(sent["flood"] > 40);
}

// Load: a burst of urgent steps whose answers are handled late, so that their short requests are under way all the time.
BOOST_AUTO_TEST_CASE(shortRequestsLeaveProxiesForLongOnesThatWait)
{
    AdviceCache cache;
    const auto urgent = queueWith("urgent", 30, 0.5);
    const auto slow = queueWith("slow", 420, 6);
    for (int i = 0; i < 9; ++i) {
        cache.addProxy("h" + std::to_string(i));
    }
    std::vector<AdviceRequest> inFlight;
    const auto sendShort = [&](TimePoint now) {
        while (const auto request = cache.createRequest("check" + std::to_string(inFlight.size()), urgent, Workers, now)) {
            inFlight.push_back(*request);
        }
    };
    sendShort(atMillis(0));
    BOOST_TEST(inFlight.size() == 9U);
    BOOST_TEST(!cache.createRequest("sweep", slow, Workers, atMillis(0)).has_value());
    AdviceResponse response;
    response.isAnswered = true;
    for (const auto &it : inFlight) {
        cache.handleResponse(it.proxy, it.step, response, atMillis(100));
    }
    inFlight.clear();
    sendShort(atMillis(100));
    BOOST_TEST(inFlight.size() == 6U);
    BOOST_TEST(cache.createRequest("sweep", slow, Workers, atMillis(100)).has_value());
}

// Load: processes in three regions, one of which is near the advisor.
BOOST_AUTO_TEST_CASE(shortRequestsUseNearProxiesAndLongOnesUseOthers)
{
    AdviceCache cache;
    const auto urgent = queueWith("urgent", 30, 0);
    const auto slow = queueWith("slow", 420, 6);
    cache.addProxy("far");
    cache.addProxy("near");
    cache.addProxy("other");
    AdviceResponse response;
    response.isAnswered = true;
    auto now = atMillis(0);
    for (int i = 0; i < 6; ++i) {
        const auto step = "s" + std::to_string(i);
        const auto request = cache.createRequest(step, urgent, Workers, now);
        BOOST_REQUIRE(request);
        now += Millis(request->proxy == "near" ? 35 : 110);
        cache.handleResponse(request->proxy, step, response, now);
        if (i >= 3) {
            BOOST_TEST(request->proxy == "near");
        }
    }
    BOOST_TEST(cache.createRequest("sweep", slow, Workers, now)->proxy != "near");
}

BOOST_AUTO_TEST_CASE(ticketsExpireAndRefusalsDoNot)
{
    AdviceCache cache;
    auto now = atMillis(0);
    cache.addProxy("a");
    const auto request = cache.createRequest("s", queueWith("q", 30, 1), Workers, now);
    AdviceResponse response;
    response.isAnswered = true;
    response.allowed = {{"w1", "t1"}};
    cache.handleResponse(request->proxy, "s", response, now);
    BOOST_TEST((cache.verdict("s", "w1", 1, now) == AdviceCache::Verdict::Allowed));
    BOOST_TEST(cache.ticket("s", "w1") == "t1");
    BOOST_TEST((cache.verdict("s", "w2", 1, now) == AdviceCache::Verdict::Forbidden));
    // Answers don't apply to another incarnation of the worker.
    BOOST_TEST((cache.verdict("s", "w1", 2, now) == AdviceCache::Verdict::Unknown));
    now += Millis(2500);
    BOOST_TEST((cache.verdict("s", "w1", 1, now) == AdviceCache::Verdict::Expired));
    BOOST_TEST((cache.verdict("s", "w2", 1, now) == AdviceCache::Verdict::Forbidden));
}

BOOST_AUTO_TEST_CASE(removingAProxyAllowsANewRequestForItsStep)
{
    AdviceCache cache;
    const auto now = atMillis(0);
    const auto queue = queueWith("q", 30, 1);
    cache.addProxy("a");
    cache.createRequest("s", queue, Workers, now);
    BOOST_TEST(cache.isRequestBlocked("s", now));
    cache.removeProxy("a");
    BOOST_TEST(!cache.isRequestBlocked("s", now));
    cache.addProxy("b");
    BOOST_TEST(cache.createRequest("s", queue, Workers, now)->proxy == "b");
}

BOOST_AUTO_TEST_CASE(slowServiceGetsLongTimeoutAndUnresponsiveOneIsRetriedSoon)
{
    AdaptiveTimeout responseTimes;
    BOOST_TEST(responseTimes.timeout().count() == 1200);
    responseTimes.recordFailure();
    BOOST_TEST(responseTimes.timeout().count() == 700);
    responseTimes.recordFailure();
    BOOST_TEST(responseTimes.timeout().count() == 1500);
    for (int i = 0; i < 20; ++i) {
        responseTimes.recordResponse(Millis(350));
    }
    BOOST_TEST(responseTimes.timeout().count() > 1300);
}

BOOST_AUTO_TEST_SUITE_END()
