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

BOOST_AUTO_TEST_SUITE_END()
