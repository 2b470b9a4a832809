#include <boost/test/unit_test.hpp>

#include "MemoryLog.h"
#include "marjoramhaven/fleetnode/TopicFollower.h"
#include "support/Events.h"

using namespace marjoramhaven;
using namespace marjoramhaven::test;

namespace {

constexpr Millis Wait {200};

struct FollowedTopic {
    MemoryLog log;
    TopicFollower follower;
    std::vector<std::string> keys;
    bool isReachable = true;

    explicit FollowedTopic(CatchUp catchUp = CatchUp::ReadAll)
        : follower(log, StateTopic::Jobs, Wait, Millis(0), catchUp)
    {
        follower.onRecords = [this](const std::vector<KeyedRecord> &records) {
            for (const auto &it : records) {
                keys.push_back(it.key);
            }
        };
        follower.onReachabilityChanged = [this](bool it, const std::string & /*reason*/) {
            isReachable = it;
        };
        follower.start();
    }

    // Lets the log leave calls unanswered until the follower has noticed.
    void loseLog()
    {
        log.isUnresponsive = true;
        BOOST_REQUIRE(waitFor(
            [this]() {
                return !isReachable;
            },
            4000));
    }

    bool waitForKeys(std::size_t count, int withinMs)
    {
        return waitFor(
            [this, count]() {
                return keys.size() >= count;
            },
            withinMs);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(Follower)

// A refresh is overtaken by the regular reads, which deliver a record and then its deletion. What was deleted must not come back.
BOOST_AUTO_TEST_CASE(refreshThatWasOvertakenBringsNoDeletedRecordBack)
{
    FollowedTopic topic;
    topic.log.put(StateTopic::Jobs, "a", "1");
    BOOST_REQUIRE(topic.waitForKeys(1, 1000));
    topic.log.put(StateTopic::Jobs, "b", "1");
    topic.log.readDelays[StateTopic::Jobs] = Millis(400);
    bool isRefreshed = false;
    topic.follower.refresh([&isRefreshed](bool /*isUpToDate*/) {
        isRefreshed = true;
    });
    topic.log.readDelays.clear();
    BOOST_REQUIRE(topic.waitForKeys(2, 300));
    AppendRequest deletion;
    deletion.topic = StateTopic::Jobs;
    deletion.records.push_back({"b", std::nullopt, 0});
    topic.log.append(std::move(deletion), [](const AppendResult & /*result*/) {});
    BOOST_REQUIRE(topic.waitForKeys(3, 300));
    BOOST_REQUIRE(waitFor(
        [&isRefreshed]() {
            return isRefreshed;
        },
        1000));
    BOOST_TEST(topic.keys.size() == 3U);
}

// The log leaves calls unanswered for seconds// The log leaves calls unanswered for seconds, and then answers new ones at once.
BOOST_AUTO_TEST_CASE(logThatAnswersAgainIsNoticedBeforeOldReadsTimeOut)
{
    FollowedTopic topic;
    topic.log.put(StateTopic::Jobs, "a", "1");
    BOOST_REQUIRE(topic.waitForKeys(1, 1000));
    topic.loseLog();
    waitFor(
        []() {
            return false;
        },
        1600);
    topic.log.isUnresponsive = false;
    topic.log.put(StateTopic::Jobs, "b", "1");
    BOOST_TEST(topic.waitForKeys(2, 450));
    BOOST_TEST(topic.isReachable);
    // Parallel reads deliver each record only once, and the follower continues to read.
    topic.log.put(StateTopic::Jobs, "c", "1");
    BOOST_TEST(topic.waitForKeys(3, 600));
    waitFor(
        []() {
            return false;
        },
        1800);
    BOOST_TEST(topic.keys.size() == 3U);
}

// Guards against a follower that competes with itself for a slow link: however long a read takes, no second one is sent beside it.
BOOST_AUTO_TEST_CASE(slowReadIsTheOnlyOneInFlight)
{
    FollowedTopic topic;
    topic.log.put(StateTopic::Jobs, "a", "1");
    BOOST_REQUIRE(topic.waitForKeys(1, 1000));
    topic.loseLog();
    topic.log.readDelays[StateTopic::Jobs] = Millis(1000);
    topic.log.put(StateTopic::Jobs, "b", "1");
    topic.log.mostReadsInFlight = 0;
    topic.log.isUnresponsive = false;
    BOOST_TEST(topic.waitForKeys(2, 3000));
    BOOST_TEST(topic.log.mostReadsInFlight == 1);
}

// Guards against one read for each query of an unknown job: many of them at once would fetch the same records again and again over a slow link.
BOOST_AUTO_TEST_CASE(callersThatRefreshTogetherShareAReadAndSeeAllRecords)
{
    constexpr int CallerCount = 20;
    FollowedTopic topic;
    topic.log.put(StateTopic::Jobs, "a", "1");
    BOOST_REQUIRE(topic.waitForKeys(1, 1000));
    topic.log.readDelays[StateTopic::Jobs] = Millis(300);
    topic.log.mostReadsInFlight = 0;
    int answered = 0;
    std::size_t keysSeenByLast = 0;
    for (int i = 0; i < CallerCount; ++i) {
        topic.follower.refresh([&answered](bool isUpToDate) {
            answered += isUpToDate ? 1 : 0;
        });
    }
    // The first read may have been answered before this record. A caller that asks now must see it.
    topic.log.put(StateTopic::Jobs, "b", "1");
    topic.follower.refresh([&](bool isUpToDate) {
        answered += isUpToDate ? 1 : 0;
        keysSeenByLast = topic.keys.size();
    });
    BOOST_TEST(waitFor(
        [&answered]() {
            return answered == CallerCount + 1;
        },
        3000));
    BOOST_TEST(keysSeenByLast == 2U);
    // One read for the callers beside the one that follows the topic.
    BOOST_TEST(topic.log.mostReadsInFlight <= 2);
}

// Guards against changes that come faster than they can be read: of many records of one key only the newest is fetched.
BOOST_AUTO_TEST_CASE(supersededRecordsAreSkippedAfterAnOutage)
{
    FollowedTopic topic(CatchUp::SkipToNewest);
    topic.log.put(StateTopic::Jobs, "a", "1");
    BOOST_REQUIRE(topic.waitForKeys(1, 1000));
    topic.loseLog();
    for (int i = 0; i < 12; ++i) {
        topic.log.put(StateTopic::Jobs, "a", std::to_string(i));
    }
    topic.log.isUnresponsive = false;
    BOOST_TEST(topic.waitForKeys(2, 1000));
    const auto currentAsOf = topic.follower.currentAsOf();
    BOOST_REQUIRE(currentAsOf.has_value());
    BOOST_TEST((monotonicNow() - *currentAsOf).count() < 1000);
    topic.log.put(StateTopic::Jobs, "b", "1");
    BOOST_TEST(topic.waitForKeys(3, 1000));
    BOOST_TEST(topic.keys.size() == 3U);
}

// Guards against processes that claim leadership all at once, because they know how fast the log was when they started and not how slow it is now.
BOOST_AUTO_TEST_CASE(latencyIsThatOfTheNewestReadWithoutARecord)
{
    constexpr Millis SlowAnswer {150};
    static constexpr Millis SlowLatency {75};
    FollowedTopic topic;
    BOOST_REQUIRE(waitFor(
        [&topic]() {
            return topic.follower.isLoaded();
        },
        1000));
    const auto waitForLatency = [&topic](bool isSlow) {
        return waitFor(
            [&topic, isSlow]() {
                return (topic.follower.latency() >= SlowLatency) == isSlow;
            },
            3000);
    };
    BOOST_TEST(waitForLatency(false));
    topic.log.readDelays[StateTopic::Jobs] = SlowAnswer;
    BOOST_TEST(waitForLatency(true));
    topic.log.readDelays[StateTopic::Jobs] = Millis(2);
    BOOST_TEST(waitForLatency(false));
}

// Guards against a takeover that takes a second longer: the log answers a load only after the appends that wait at it, just after the load was given up.
BOOST_AUTO_TEST_CASE(loadThatIsAnsweredAfterTheWaitingAppendsIsNotGivenUp)
{
    constexpr Millis LongestQueue {2000};
    MemoryLog log;
    log.readDelays[StateTopic::Jobs] = LongestQueue + Millis(300);
    TopicFollower follower(log, StateTopic::Jobs, Wait, Millis(0));
    follower.loadTimeout = LongestQueue + Millis(1000);
    follower.onRecords = [](const std::vector<KeyedRecord> & /*records*/) {};
    follower.onReachabilityChanged = [](bool /*isReachable*/, const std::string & /*reason*/) {};
    follower.start();
    BOOST_TEST(waitFor(
        [&follower]() {
            return follower.isLoaded();
        },
        2900));
}

BOOST_AUTO_TEST_SUITE_END()
