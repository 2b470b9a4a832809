#include <boost/test/unit_test.hpp>

#include "marjoramhaven/fleet/PlannerClaim.h"

using namespace marjoramhaven;

namespace {

LeadershipRecord recordOf(const std::string &node)
{
    LeadershipRecord out;
    out.node = node;
    out.host = "127.0.0.1";
    out.port = 1;
    out.incarnation = node + "/1";
    return out;
}

// The leadership stream and the processes that follow it.
struct Stream {
    std::vector<std::pair<std::int64_t, LeadershipRecord>> records;
    TimePoint now = atMillis(1000);

    std::int64_t end() const { return static_cast<std::int64_t>(records.size()); }

    // Lets a process read on, and append when it wants to; false when it wanted nothing.
    bool step(PlannerClaim &claim, std::int64_t &read, bool isAnswered = true)
    {
        std::vector<std::pair<std::int64_t, LeadershipRecord>> news(records.begin() + read, records.end());
        read = end();
        claim.recordsRead(news, end(), now);
        const auto append = claim.nextAppend(now);
        if (!append) {
            return false;
        }
        AppendResult result;
        result.outcome = append->expectedEnd == end() ? AppendOutcome::Stored : AppendOutcome::Moved;
        result.offset = end();
        if (result.outcome == AppendOutcome::Stored) {
            records.emplace_back(end(), append->record);
        }
        if (!isAnswered) {
            result.outcome = AppendOutcome::Unknown;
        }
        claim.appendFinished(result, now);
        return true;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(Claim)

BOOST_AUTO_TEST_CASE(theFirstClaimWinsAndItsTokenIsAboveZero)
{
    Stream stream;
    PlannerClaim a(recordOf("a"), {});
    PlannerClaim b(recordOf("b"), {});
    std::int64_t readA = 0;
    std::int64_t readB = 0;
    BOOST_TEST(stream.step(a, readA));
    stream.step(b, readB);
    BOOST_TEST(a.isLeading());
    BOOST_TEST(!b.isLeading());
    BOOST_TEST(a.fence() == 1);
    BOOST_TEST(b.leader()->node == "a");
}

BOOST_AUTO_TEST_CASE(aClaimWhoseAnswerWasLostIsSettledByReading)
{
    Stream stream;
    PlannerClaim a(recordOf("a"), {});
    std::int64_t read = 0;
    stream.step(a, read, false);
    BOOST_TEST(!a.isLeading());
    stream.step(a, read);
    BOOST_TEST(a.isLeading());
}

BOOST_AUTO_TEST_CASE(whileThePlannerBeatsNobodyElseClaims)
{
    Stream stream;
    PlannerClaim a(recordOf("a"), {});
    PlannerClaim b(recordOf("b"), {});
    std::int64_t readA = 0;
    std::int64_t readB = 0;
    for (int i = 0; i < 200; ++i) {
        stream.step(a, readA);
        stream.step(b, readB);
        stream.now += Millis(50);
    }
    BOOST_TEST(a.isLeading());
    BOOST_TEST(a.fence() == 1);
}

BOOST_AUTO_TEST_CASE(aSilentPlannerIsReplacedAndItsTokenIsLower)
{
    Stream stream;
    PlannerClaim a(recordOf("a"), {});
    PlannerClaim b(recordOf("b"), {});
    std::int64_t readA = 0;
    std::int64_t readB = 0;
    stream.step(a, readA);
    const auto diedAt = stream.now;
    while (!b.isLeading() && stream.now - diedAt < Millis(5000)) {
        stream.step(b, readB);
        stream.now += Millis(50);
    }
    BOOST_TEST(b.isLeading());
    BOOST_TEST((stream.now - diedAt).count() < 1800);
    BOOST_TEST(b.fence() > a.fence());
    // The old one wakes, and learns of it before it writes again.
    stream.step(a, readA);
    BOOST_TEST(!a.isLeading());
}

BOOST_AUTO_TEST_CASE(aLostLinkMakesTheReplacementSooner)
{
    Stream stream;
    PlannerClaim a(recordOf("a"), {});
    PlannerClaim b(recordOf("b"), {});
    std::int64_t readA = 0;
    std::int64_t readB = 0;
    stream.step(a, readA);
    stream.step(b, readB);
    const auto diedAt = stream.now;
    b.setPlannerLinked(false, stream.now);
    while (!b.isLeading() && stream.now - diedAt < Millis(5000)) {
        stream.step(b, readB);
        stream.now += Millis(50);
    }
    BOOST_TEST((stream.now - diedAt).count() < 900);
}

BOOST_AUTO_TEST_CASE(aLogThatDoesNotAnswerSaysNothingOfThePlanner)
{
    Stream stream;
    PlannerClaim a(recordOf("a"), {});
    PlannerClaim b(recordOf("b"), {});
    std::int64_t readA = 0;
    std::int64_t readB = 0;
    stream.step(a, readA);
    stream.step(b, readB);
    stream.now += Millis(9000);
    BOOST_TEST(!b.nextAppend(stream.now).has_value());
    // The log is back: the planner gets time to beat before anyone claims.
    BOOST_TEST(!stream.step(b, readB));
    stream.now += Millis(300);
    BOOST_TEST(stream.step(a, readA));
    for (int i = 0; i < 40; ++i) {
        stream.now += Millis(50);
        stream.step(a, readA);
        stream.step(b, readB);
    }
    BOOST_TEST(a.isLeading());
    BOOST_TEST(!b.isLeading());
}

BOOST_AUTO_TEST_CASE(aPlannerThatStopsIsReplacedAtOnce)
{
    Stream stream;
    PlannerClaim a(recordOf("a"), {});
    PlannerClaim b(recordOf("b"), {});
    std::int64_t readA = 0;
    std::int64_t readB = 0;
    stream.step(a, readA);
    stream.step(b, readB);
    a.retire();
    stream.step(a, readA);
    BOOST_TEST(a.isRetired());
    stream.now += Millis(50);
    stream.step(b, readB);
    BOOST_TEST(b.isLeading());
}

BOOST_AUTO_TEST_CASE(aPlannerLearntFromAPeerCountsOnlyWithAHigherToken)
{
    PlannerClaim a(recordOf("a"), {});
    auto record = recordOf("p");
    record.claimOffset = 7;
    a.learnLeader(record, atMillis(1000));
    BOOST_TEST(a.leader()->node == "p");
    auto older = recordOf("q");
    older.claimOffset = 3;
    a.learnLeader(older, atMillis(1000));
    BOOST_TEST(a.leader()->node == "p");
    BOOST_TEST(a.leaderFence() == 8);
}

BOOST_AUTO_TEST_CASE(smallVmsLeaveTheClaimToLargeOnes)
{
    Stream stream;
    PlannerClaim small(recordOf("small"), {});
    small.setProcessorShare(0.12);
    std::int64_t read = 0;
    BOOST_TEST(!stream.step(small, read));
    stream.now += Millis(350);
    BOOST_TEST(stream.step(small, read));
}

// Load: a rolling restart on a fleet of unlike VMs; each hand-over must find a VM that carries the planner's work.
BOOST_AUTO_TEST_CASE(aHandOverGoesToALargeVm)
{
    Stream stream;
    PlannerClaim leaving(recordOf("leaving"), {});
    PlannerClaim small(recordOf("small"), {});
    PlannerClaim large(recordOf("large"), {});
    small.setProcessorShare(0.12);
    large.setProcessorShare(0.5);
    large.observeDelay(Millis(6));
    std::int64_t readLeaving = 0;
    std::int64_t readSmall = 0;
    std::int64_t readLarge = 0;
    stream.step(leaving, readLeaving);
    for (int i = 0; i < 20; ++i) {
        stream.now += Millis(50);
        stream.step(leaving, readLeaving);
        stream.step(small, readSmall);
        stream.step(large, readLarge);
    }
    leaving.retire();
    stream.step(leaving, readLeaving);
    const auto leftAt = stream.now;
    while (!small.isLeading() && !large.isLeading() && stream.now - leftAt < Millis(2000)) {
        stream.step(small, readSmall);
        stream.step(large, readLarge);
        stream.now += Millis(10);
    }
    BOOST_TEST(large.isLeading());
    BOOST_TEST((stream.now - leftAt).count() <= 100);
}

BOOST_AUTO_TEST_SUITE_END()
