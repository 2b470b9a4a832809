#include <boost/test/unit_test.hpp>

#include <map>

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
    /// How far each process has read.
    std::map<const PlannerClaim *, std::int64_t> readBy;

    std::int64_t end() const { return static_cast<std::int64_t>(records.size()); }

    // Lets a process read on every 50 ms until it leads; how long that took, at most 5 s.
    Millis stepUntilLeading(PlannerClaim &claim)
    {
        const auto begin = now;
        while (!claim.isLeading() && now - begin < Millis(5000)) {
            step(claim);
            now += Millis(50);
        }
        return now - begin;
    }

    // Lets a process read on, and append when it wants to; false when it wanted nothing.
    bool step(PlannerClaim &claim, bool isAnswered = true)
    {
        auto &read = readBy[&claim];
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
    BOOST_TEST(stream.step(a));
    stream.step(b);
    BOOST_TEST(a.isLeading());
    BOOST_TEST(!b.isLeading());
    BOOST_TEST(a.fence() == 1);
    BOOST_TEST(b.leader()->node == "a");
}

BOOST_AUTO_TEST_CASE(aClaimWhoseAnswerWasLostIsSettledByReading)
{
    Stream stream;
    PlannerClaim a(recordOf("a"), {});
    stream.step(a, false);
    BOOST_TEST(!a.isLeading());
    stream.step(a);
    BOOST_TEST(a.isLeading());
}

BOOST_AUTO_TEST_CASE(whileThePlannerBeatsNobodyElseClaims)
{
    Stream stream;
    PlannerClaim a(recordOf("a"), {});
    PlannerClaim b(recordOf("b"), {});
    for (int i = 0; i < 200; ++i) {
        stream.step(a);
        stream.step(b);
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
    stream.step(a);
    BOOST_TEST(stream.stepUntilLeading(b).count() < 1800);
    BOOST_TEST(b.isLeading());
    BOOST_TEST(b.fence() > a.fence());
    // The old one wakes, and learns of it before it writes again.
    stream.step(a);
    BOOST_TEST(!a.isLeading());
}

BOOST_AUTO_TEST_CASE(aLostLinkMakesTheReplacementSooner)
{
    Stream stream;
    PlannerClaim a(recordOf("a"), {});
    PlannerClaim b(recordOf("b"), {});
    stream.step(a);
    stream.step(b);
    b.setPlannerLinked(false, stream.now);
    BOOST_TEST(stream.stepUntilLeading(b).count() < 900);
}

BOOST_AUTO_TEST_CASE(aLogThatDoesNotAnswerSaysNothingOfThePlanner)
{
    Stream stream;
    PlannerClaim a(recordOf("a"), {});
    PlannerClaim b(recordOf("b"), {});
    stream.step(a);
    stream.step(b);
    stream.now += Millis(9000);
    BOOST_TEST(!b.nextAppend(stream.now).has_value());
    // The log is back: the planner gets time to beat before anyone claims.
    BOOST_TEST(!stream.step(b));
    stream.now += Millis(300);
    BOOST_TEST(stream.step(a));
    for (int i = 0; i < 40; ++i) {
        stream.now += Millis(50);
        stream.step(a);
        stream.step(b);
    }
    BOOST_TEST(a.isLeading());
    BOOST_TEST(!b.isLeading());
}

BOOST_AUTO_TEST_CASE(aPlannerThatStopsIsReplacedAtOnce)
{
    Stream stream;
    PlannerClaim a(recordOf("a"), {});
    PlannerClaim b(recordOf("b"), {});
    stream.step(a);
    stream.step(b);
    a.retire();
    stream.step(a);
    BOOST_TEST(a.isRetired());
    stream.now += Millis(50);
    stream.step(b);
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
    BOOST_TEST(!stream.step(small));
    stream.now += Millis(350);
    BOOST_TEST(stream.step(small));
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
    stream.step(leaving);
    for (int i = 0; i < 20; ++i) {
        stream.now += Millis(50);
        stream.step(leaving);
        stream.step(small);
        stream.step(large);
    }
    leaving.retire();
    stream.step(leaving);
    const auto leftAt = stream.now;
    while (!small.isLeading() && !large.isLeading() && stream.now - leftAt < Millis(2000)) {
        stream.step(small);
        stream.step(large);
        stream.now += Millis(10);
    }
    BOOST_TEST(large.isLeading());
    BOOST_TEST((stream.now - leftAt).count() <= 100);
}

// Fault: the planner's VM is gone, and everybody's link to it counts as lost at the same time, 1.1 s after its last heartbeat.
BOOST_AUTO_TEST_CASE(aLargeVmTakesOverFromAPlannerThatIsGone)
{
    Stream stream;
    PlannerClaim gone(recordOf("gone"), {});
    PlannerClaim small(recordOf("small"), {});
    PlannerClaim large(recordOf("large"), {});
    small.setProcessorShare(0.12);
    large.setProcessorShare(0.5);
    large.observeDelay(Millis(6));
    stream.step(gone);
    for (int i = 0; i < 22; ++i) {
        stream.now += Millis(50);
        stream.step(small);
        stream.step(large);
    }
    const auto noticedAt = stream.now;
    small.setPlannerLinked(false, stream.now);
    large.setPlannerLinked(false, stream.now);
    while (!small.isLeading() && !large.isLeading() && stream.now - noticedAt < Millis(2000)) {
        stream.step(small);
        stream.step(large);
        stream.now += Millis(10);
    }
    BOOST_TEST(large.isLeading());
    BOOST_TEST((stream.now - noticedAt).count() <= 100);
}

BOOST_AUTO_TEST_SUITE_END()
