#include <boost/test/unit_test.hpp>

#include <map>
#include <memory>

#include "marjoramhaven/fleet/PlannerElection.h"

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

// The leadership topic of a simulated log and the read positions of the processes that follow it.
struct SimulatedLog {
    std::vector<std::pair<std::int64_t, LeadershipRecord>> records;
    TimePoint now = atMillis(1000);
    /// Offset up to which each process has read.
    std::map<const PlannerElection *, std::int64_t> readOffsets;

    std::int64_t end() const { return static_cast<std::int64_t>(records.size()); }

    // Calls step() for a process every 50 ms until it is the leader, for at most 5 s. Returns the time that passed.
    Millis stepUntilLeader(PlannerElection &election)
    {
        const auto begin = now;
        while (!election.isLeading() && now - begin < Millis(5000)) {
            step(election);
            now += Millis(50);
        }
        return now - begin;
    }

    // Lets a process read new records and then make its append, if it has one. Returns false if it has none.
    bool step(PlannerElection &election, bool isAnswered = true)
    {
        auto &read = readOffsets[&election];
        std::vector<std::pair<std::int64_t, LeadershipRecord>> newRecords(records.begin() + read, records.end());
        read = end();
        election.handleRecords(newRecords, end(), now);
        const auto append = election.nextAppend(now);
        if (!append) {
            return false;
        }
        AppendResult result;
        result.outcome = append->expectedEnd == end() ? AppendOutcome::Stored : AppendOutcome::EndMismatch;
        result.offset = end();
        if (result.outcome == AppendOutcome::Stored) {
            records.emplace_back(end(), append->record);
        }
        if (!isAnswered) {
            result.outcome = AppendOutcome::Unknown;
        }
        election.handleAppendResult(result, now);
        return true;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(PlannerElectionTests)

BOOST_AUTO_TEST_CASE(firstClaimWinsWithAPositiveToken)
{
    SimulatedLog log;
    PlannerElection a(recordOf("a"), {});
    PlannerElection b(recordOf("b"), {});
    BOOST_TEST(log.step(a));
    log.step(b);
    BOOST_TEST(a.isLeading());
    BOOST_TEST(!b.isLeading());
    BOOST_TEST(a.fencingToken() == 1);
    BOOST_TEST(b.leader()->node == "a");
}

BOOST_AUTO_TEST_CASE(claimWithLostResponseIsResolvedByReading)
{
    SimulatedLog log;
    PlannerElection a(recordOf("a"), {});
    log.step(a, false);
    BOOST_TEST(!a.isLeading());
    log.step(a);
    BOOST_TEST(a.isLeading());
}

BOOST_AUTO_TEST_CASE(noOtherProcessClaimsWhileTheLeaderSendsHeartbeats)
{
    SimulatedLog log;
    PlannerElection a(recordOf("a"), {});
    PlannerElection b(recordOf("b"), {});
    for (int i = 0; i < 200; ++i) {
        log.step(a);
        log.step(b);
        log.now += Millis(50);
    }
    BOOST_TEST(a.isLeading());
    BOOST_TEST(a.fencingToken() == 1);
}

BOOST_AUTO_TEST_CASE(unresponsiveLeaderIsReplacedUnderAHigherToken)
{
    SimulatedLog log;
    PlannerElection a(recordOf("a"), {});
    PlannerElection b(recordOf("b"), {});
    log.step(a);
    BOOST_TEST(log.stepUntilLeader(b).count() < 1800);
    BOOST_TEST(b.isLeading());
    BOOST_TEST(b.fencingToken() > a.fencingToken());
    // The old leader reads the new claim before it writes again.
    log.step(a);
    BOOST_TEST(!a.isLeading());
}

BOOST_AUTO_TEST_CASE(lostLinkShortensTheTakeover)
{
    SimulatedLog log;
    PlannerElection a(recordOf("a"), {});
    PlannerElection b(recordOf("b"), {});
    log.step(a);
    log.step(b);
    b.setLeaderLinked(false, log.now);
    BOOST_TEST(log.stepUntilLeader(b).count() < 900);
}

BOOST_AUTO_TEST_CASE(logOutageDoesNotCauseATakeover)
{
    SimulatedLog log;
    PlannerElection a(recordOf("a"), {});
    PlannerElection b(recordOf("b"), {});
    log.step(a);
    log.step(b);
    log.now += Millis(9000);
    BOOST_TEST(!b.nextAppend(log.now).has_value());
    // After the log is back, the leader gets time for a heartbeat before another process claims leadership.
    BOOST_TEST(!log.step(b));
    log.now += Millis(300);
    BOOST_TEST(log.step(a));
    for (int i = 0; i < 40; ++i) {
        log.now += Millis(50);
        log.step(a);
        log.step(b);
    }
    BOOST_TEST(a.isLeading());
    BOOST_TEST(!b.isLeading());
}

BOOST_AUTO_TEST_CASE(leaderThatShutsDownIsReplacedAtOnce)
{
    SimulatedLog log;
    PlannerElection a(recordOf("a"), {});
    PlannerElection b(recordOf("b"), {});
    log.step(a);
    log.step(b);
    a.withdraw();
    log.step(a);
    BOOST_TEST(a.isWithdrawn());
    log.now += Millis(50);
    log.step(b);
    BOOST_TEST(b.isLeading());
}

BOOST_AUTO_TEST_CASE(leaderReportedByAPeerNeedsAHigherToken)
{
    PlannerElection a(recordOf("a"), {});
    auto record = recordOf("p");
    record.claimOffset = 7;
    a.learnLeader(record, atMillis(1000));
    BOOST_TEST(a.leader()->node == "p");
    auto older = recordOf("q");
    older.claimOffset = 3;
    a.learnLeader(older, atMillis(1000));
    BOOST_TEST(a.leader()->node == "p");
    BOOST_TEST(a.leaderFencingToken() == 8);
}

BOOST_AUTO_TEST_CASE(smallVmsDelayTheirClaims)
{
    SimulatedLog log;
    PlannerElection small(recordOf("small"), {});
    small.setProcessorCores(0.12);
    BOOST_TEST(!log.step(small));
    log.now += Millis(350);
    BOOST_TEST(log.step(small));
}

// Load: a rolling restart on VMs of different sizes. Each takeover must go to a VM that is large enough for the planner's work.
BOOST_AUTO_TEST_CASE(largeVmTakesOverFromALeaderThatShutsDown)
{
    SimulatedLog log;
    PlannerElection leaving(recordOf("leaving"), {});
    PlannerElection small(recordOf("small"), {});
    PlannerElection large(recordOf("large"), {});
    small.setProcessorCores(0.12);
    large.setProcessorCores(0.5);
    large.observeLogLatency(Millis(6));
    log.step(leaving);
    for (int i = 0; i < 20; ++i) {
        log.now += Millis(50);
        log.step(leaving);
        log.step(small);
        log.step(large);
    }
    leaving.withdraw();
    log.step(leaving);
    const auto leftAt = log.now;
    while (!small.isLeading() && !large.isLeading() && log.now - leftAt < Millis(2000)) {
        log.step(small);
        log.step(large);
        log.now += Millis(10);
    }
    BOOST_TEST(large.isLeading());
    BOOST_TEST((log.now - leftAt).count() <= 100);
}

// Fault: the leader's VM crashes, and all other processes report their link to it as lost at the same time, 1.1 s after its last heartbeat.
BOOST_AUTO_TEST_CASE(largeVmTakesOverFromACrashedLeader)
{
    SimulatedLog log;
    PlannerElection gone(recordOf("gone"), {});
    PlannerElection small(recordOf("small"), {});
    PlannerElection large(recordOf("large"), {});
    small.setProcessorCores(0.12);
    large.setProcessorCores(0.5);
    large.observeLogLatency(Millis(6));
    log.step(gone);
    for (int i = 0; i < 22; ++i) {
        log.now += Millis(50);
        log.step(small);
        log.step(large);
    }
    const auto noticedAt = log.now;
    small.setLeaderLinked(false, log.now);
    large.setLeaderLinked(false, log.now);
    while (!small.isLeading() && !large.isLeading() && log.now - noticedAt < Millis(2000)) {
        log.step(small);
        log.step(large);
        log.now += Millis(10);
    }
    BOOST_TEST(large.isLeading());
    BOOST_TEST((log.now - noticedAt).count() <= 100);
}

// Guards against two planners in turn with one fencing token: a claim was given up before its record was read.
BOOST_AUTO_TEST_CASE(droppedClaimIsNotTakenUpAgain)
{
    PlannerElection election(recordOf("a"), ElectionTimings {});
    auto now = atMillis(1000);
    std::optional<LeadershipAppend> append;
    for (int i = 0; i < 100 && !append; ++i) {
        election.handleRecords({}, 5, now);
        append = election.nextAppend(now);
        now += Millis(50);
    }
    BOOST_REQUIRE(append.has_value());
    AppendResult stored;
    stored.outcome = AppendOutcome::Stored;
    stored.offset = 5;
    election.handleAppendResult(stored, now);
    BOOST_REQUIRE(election.isLeading());
    const auto token = election.fencingToken();
    election.dropLeadership(now);
    BOOST_REQUIRE(!election.isLeading());
    election.handleRecords({{5, append->record}}, 6, now);
    BOOST_TEST(!(election.isLeading() && election.fencingToken() == token));
}

// Guards against an elected process that never plans: other processes read its claim and reported it back before the append was answered, and it took the claim
// for somebody else's.
BOOST_AUTO_TEST_CASE(claimThatPeersReportBeforeItsAnswerIsTakenUp)
{
    enum class Resolved { ByAnswer, ByReadBeforeTheAnswer, ByReadAfterALostAnswer };
    for (const auto how : {Resolved::ByAnswer, Resolved::ByReadBeforeTheAnswer, Resolved::ByReadAfterALostAnswer}) {
        constexpr std::int64_t Offset = 5;
        const auto now = atMillis(1000);
        PlannerElection election(recordOf("a"), {});
        election.handleRecords({}, Offset, now);
        const auto append = election.nextAppend(now);
        BOOST_REQUIRE(append.has_value());
        // Heartbeats between processes name no incarnation.
        auto reported = append->record;
        reported.incarnation.clear();
        reported.claimOffset = Offset;
        election.learnLeader(reported, now);
        AppendResult result;
        result.outcome = how == Resolved::ByReadAfterALostAnswer ? AppendOutcome::Unknown : AppendOutcome::Stored;
        result.offset = Offset;
        if (how != Resolved::ByReadBeforeTheAnswer) {
            election.handleAppendResult(result, now);
        }
        if (how != Resolved::ByAnswer) {
            election.handleRecords({{Offset, append->record}}, Offset + 1, now);
        }
        BOOST_TEST(election.isLeading());
        BOOST_TEST(election.fencingToken() == Offset + 1);
    }
}

// Guards against a leader under a token that no other process knows: a heartbeat was stored after its sender had given up leadership, and was taken for a
// claim.
BOOST_AUTO_TEST_CASE(heartbeatThatIsStoredAfterLeadershipWasGivenUpIsNoClaim)
{
    SimulatedLog log;
    PlannerElection election(recordOf("a"), {});
    log.step(election);
    BOOST_REQUIRE(election.isLeading());
    log.now += Millis(500);
    const auto heartbeat = election.nextAppend(log.now);
    BOOST_REQUIRE(heartbeat.has_value());
    election.dropLeadership(log.now);
    AppendResult stored;
    stored.outcome = AppendOutcome::Stored;
    stored.offset = log.end();
    election.handleAppendResult(stored, log.now);
    BOOST_TEST(!election.isLeading());
}

// Guards against calls of a leader that its worker can't tell from those before the worker restarted: their token is as low.
BOOST_AUTO_TEST_CASE(heartbeatsRaiseTheTokenBelowThatOfEachSuccessor)
{
    SimulatedLog log;
    PlannerElection first(recordOf("first"), {});
    PlannerElection second(recordOf("second"), {});
    log.step(first);
    BOOST_REQUIRE(first.isLeading());
    BOOST_TEST(first.newestFencingToken() == first.fencingToken());
    for (int i = 1; i <= 3; ++i) {
        log.now += Millis(500);
        // A heartbeat counts only once the log has confirmed it, by an answer or in a read.
        BOOST_TEST(log.step(first, i != 2));
        BOOST_TEST(first.newestFencingToken() == first.fencingToken() + (i == 2 ? 1 : i));
        log.step(first);
        BOOST_TEST(first.newestFencingToken() == first.fencingToken() + i);
    }
    const auto newest = first.newestFencingToken();
    log.stepUntilLeader(second);
    BOOST_TEST(second.fencingToken() > newest);
    log.step(first);
    BOOST_TEST(!first.isLeading());
    BOOST_TEST(first.newestFencingToken() == newest);
}

// Guards against a fleet that nobody plans until a timeout: a process won the election after it had begun to stop, and ended without a word.
BOOST_AUTO_TEST_CASE(claimThatIsStoredAfterItsProcessBeganToStopIsGivenUpAtOnce)
{
    for (const bool isAnswered : {true, false}) {
        SimulatedLog log;
        PlannerElection stopping(recordOf("stopping"), {});
        PlannerElection other(recordOf("other"), {});
        stopping.handleRecords({}, 0, log.now);
        other.handleRecords({}, 0, log.now);
        const auto claim = stopping.nextAppend(log.now);
        BOOST_REQUIRE(claim.has_value());
        stopping.withdraw();
        BOOST_TEST(!stopping.isWithdrawn());
        log.records.emplace_back(0, claim->record);
        AppendResult result;
        result.outcome = isAnswered ? AppendOutcome::Stored : AppendOutcome::Unknown;
        stopping.handleAppendResult(result, log.now);
        log.step(stopping);
        BOOST_TEST(stopping.isWithdrawn());
        BOOST_TEST(log.stepUntilLeader(other).count() <= 100);
    }
}

// Guards against an election that takes seconds: the log is slow, and the claims of all processes wait there behind each other, of which only the first counts.
BOOST_AUTO_TEST_CASE(claimsAreSpreadWhileTheLogIsSlow)
{
    constexpr int ProcessCount = 44;
    constexpr int MaxClaims = 12;
    const Millis latency {200};
    SimulatedLog log;
    PlannerElection leaving(recordOf("leaving"), {});
    std::vector<std::unique_ptr<PlannerElection>> others;
    for (int i = 0; i < ProcessCount; ++i) {
        others.push_back(std::make_unique<PlannerElection>(recordOf("p" + std::to_string(i)), ElectionTimings {}));
        others.back()->observeLogLatency(latency);
    }
    log.step(leaving);
    leaving.withdraw();
    log.step(leaving);
    // All processes read at the same time that the leader leaves, and learn of a claim only when it has taken the log's latency.
    std::optional<TimePoint> firstClaimAt;
    int claims = 0;
    for (int ms = 0; ms < 3000 && (!firstClaimAt || log.now - *firstClaimAt < latency); ms += 10) {
        for (const auto &it : others) {
            const auto unread = ms == 0 ? log.records : std::vector<std::pair<std::int64_t, LeadershipRecord>> {};
            it->handleRecords(unread, log.end(), log.now);
            if (it->nextAppend(log.now)) {
                firstClaimAt = firstClaimAt.value_or(log.now);
                ++claims;
            }
        }
        log.now += Millis(10);
    }
    BOOST_TEST(claims >= 1);
    BOOST_TEST(claims <= MaxClaims);
}

BOOST_AUTO_TEST_SUITE_END()
