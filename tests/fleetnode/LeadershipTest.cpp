#include "FleetNodeFixture.h"

using namespace marjoramhaven;
using namespace marjoramhaven::test;

namespace {

constexpr Millis Bound = PlannerLimits {}.leadershipBound;

std::unique_ptr<Node> leaderOfOneWorker(MemoryLog &log)
{
    log.put(StateTopic::Operator, ConfigurationKey, "1");
    log.put(StateTopic::Workers, "w", "1");
    auto out = std::make_unique<Node>(log);
    BOOST_REQUIRE(waitFor(
        [&out]() {
            return !out->workers.polled.empty() && out->workers.polled.back().leaseUntilMs > 0;
        },
        8000));
    return out;
}

void runFor(Millis time)
{
    waitFor(
        []() {
            return false;
        },
        static_cast<int>(time.count()));
}

bool hasGrant(const std::vector<PollWorkerRequest> &polls)
{
    return std::any_of(polls.begin(), polls.end(), [](const PollWorkerRequest &it) {
        return it.leaseUntilMs > 0;
    });
}

constexpr char RegistrationKey[] = "node/node";

// Returns the offset of the newest registration of the process, or -1 if there is none.
std::int64_t registrationOffset(MemoryLog &log)
{
    std::optional<std::int64_t> out;
    log.newest(StateTopic::Leadership, {}, Millis(500), [&out](const NewestResult &result) {
        out = -1;
        for (const auto &it : result.records) {
            out = it.key == RegistrationKey ? it.offset : *out;
        }
    });
    waitFor(
        [&out]() {
            return out.has_value();
        },
        1000);
    return out.value_or(-1);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Leadership)

// Guards against tasks that run twice: a leader that the log does not answer extends leases while another process may lead.
BOOST_AUTO_TEST_CASE(leaderGrantsNoLeasesWhileTheLogDoesNotConfirmIt)
{
    MemoryLog log;
    const auto process = leaderOfOneWorker(log);
    log.isUnresponsive = true;
    runFor(Bound + Millis(200));
    auto &polls = process->workers.polled;
    polls.clear();
    runFor(Millis(1500));
    BOOST_TEST(!polls.empty());
    BOOST_TEST(!hasGrant(polls));
    log.isUnresponsive = false;
    polls.clear();
    BOOST_TEST(waitFor(
        [&polls]() {
            return hasGrant(polls);
        },
        2000));
}

// Guards against a healthy leader that pauses leases: each call takes 0.2 s beyond the wait of long polls.
BOOST_AUTO_TEST_CASE(leaderGrantsLeasesWhileTheLogIsSlow)
{
    MemoryLog log;
    log.appendDelay = Millis(200);
    log.readDelays[StateTopic::Leadership] = Millis(200);
    log.readDelays[StateTopic::Progress] = Millis(200);
    const auto process = leaderOfOneWorker(log);
    auto &polls = process->workers.polled;
    polls.clear();
    runFor(2 * Bound);
    BOOST_TEST(!polls.empty());
    for (const auto &it : polls) {
        BOOST_TEST(it.leaseUntilMs > 0);
    }
}

// Guards against elections that fail again and again: each process that starts again appends its registration to the topic at whose end claims are appended.
BOOST_AUTO_TEST_CASE(processThatStartsAgainAtItsAddressIsNotRegisteredAgain)
{
    MemoryLog log;
    const int port = freePort();
    LeadershipRecord own;
    own.node = "node";
    own.host = "127.0.0.1";
    own.port = port;
    const auto registeredAt = log.put(StateTopic::Leadership, RegistrationKey, encodeLeadership(own));
    Node process(log, port);
    BOOST_REQUIRE(waitFor(
        [&log]() {
            return log.end(StateTopic::Leadership) > 1;
        },
        3000));
    waitFor(
        []() {
            return false;
        },
        500);
    BOOST_TEST(registrationOffset(log) == registeredAt);
}

// Guards against a process that nobody can reach: its registration was dropped while it was cut off, or names another address.
BOOST_AUTO_TEST_CASE(processWhoseRegistrationIsMissingRegisters)
{
    MemoryLog log;
    LeadershipRecord elsewhere;
    elsewhere.node = "node";
    elsewhere.host = "127.0.0.1";
    elsewhere.port = 1;
    const auto outdatedAt = log.put(StateTopic::Leadership, RegistrationKey, encodeLeadership(elsewhere));
    Node process(log);
    const auto isRegisteredAfter = [&log](std::int64_t offset) {
        return waitFor(
            [&log, offset]() {
                return registrationOffset(log) > offset;
            },
            3000);
    };
    BOOST_REQUIRE(isRegisteredAfter(outdatedAt));
    AppendRequest drop;
    drop.topic = StateTopic::Leadership;
    drop.records.push_back({RegistrationKey, std::nullopt, 0});
    drop.timeout = Millis(1000);
    std::int64_t droppedAt = -1;
    log.append(std::move(drop), [&droppedAt](const AppendResult &result) {
        droppedAt = result.offset;
    });
    BOOST_REQUIRE(waitFor(
        [&droppedAt]() {
            return droppedAt >= 0;
        },
        1000));
    BOOST_TEST(isRegisteredAfter(droppedAt));
}

// Guards against a lease that a paused leader grants after its pause: the request has to tell when its permission was checked.
BOOST_AUTO_TEST_CASE(requestsToWorkersTellWhenTheyWereDecidedOn)
{
    MemoryLog log;
    const auto before = monotonicNow();
    const auto node = leaderOfOneWorker(log);
    BOOST_REQUIRE(!node->workers.pollLimits.empty());
    for (const auto &it : node->workers.pollLimits) {
        BOOST_REQUIRE(it.decidedAt);
        BOOST_TEST((*it.decidedAt >= before && *it.decidedAt <= monotonicNow()));
    }
}

BOOST_AUTO_TEST_SUITE_END()
