#include <boost/test/unit_test.hpp>

#include <cstdlib>

#include "FakeFleet.h"

using namespace marjoramhaven;
using namespace marjoramhaven::test;

namespace {

// Number of seeds for each scenario, as in FaultsTest.
std::uint64_t seedCount()
{
    const char *text = std::getenv("FLEET_SEEDS");
    return text == nullptr ? 6 : std::strtoull(text, nullptr, 10);
}

StepSpec smallStep(std::int64_t estimateMs)
{
    StepSpec out;
    out.taskCount = 4;
    out.needs = {500, 500, 0};
    out.estimateMs = estimateMs;
    return out;
}

struct Outcome {
    std::vector<std::string> violations;
    std::vector<std::string> startsAfterAcknowledgedEnds;
};

// Returns what became of a fleet whose workers restart while requests to them are under way, which their next incarnations carry out.
Outcome runScenario(std::uint64_t seed, Millis lateFor)
{
    FakeFleetOptions options;
    options.seed = seed;
    options.delayedRequestsOutliveWorkers = true;
    FakeFleet fleet(options);
    std::mt19937_64 random(seed);
    for (int i = 0; i < 6; ++i) {
        fleet.setDelayedRequestShare(0.3);
        fleet.submit(fleet.makeJob("j" + std::to_string(i), {smallStep(3000 + static_cast<std::int64_t>(random() % 4000))}));
        fleet.run(lateFor);
        fleet.setDelayedRequestShare(0);
        fleet.run(Millis(1000 + random() % 2000));
        // The restarts are noticed late.
        const auto first = static_cast<int>(random() % static_cast<std::uint64_t>(options.workers));
        const auto second = (first + 1) % options.workers;
        for (const auto worker : {first, second}) {
            fleet.setUnresponsive(worker, true);
            fleet.restartWorker(worker);
        }
        fleet.run(Millis(3000 + random() % 3000));
        fleet.setUnresponsive(first, false);
        fleet.setUnresponsive(second, false);
        fleet.run(Millis(random() % 3000));
    }
    return {fleet.violations(), fleet.startsAfterAcknowledgedEnds()};
}

} // namespace

// Starts that their workers carry out late, after the planner has given them up.
BOOST_AUTO_TEST_SUITE(LateStarts)

// Guards against two runs of one task: a start that was given up is carried out by the next incarnation of its worker while the task runs elsewhere.
BOOST_AUTO_TEST_CASE(restartedWorkersThatCarryOutLateStartsCauseNoViolation)
{
    for (std::uint64_t seed = 1; seed <= seedCount() * 2; ++seed) {
        const auto violations = runScenario(seed, Millis(300)).violations;
        BOOST_TEST(violations.empty(), "seed " << seed << ": " << (violations.empty() ? "" : violations.front()));
    }
}

// Guards against the same where several starts of a task are given up one after the other.
BOOST_AUTO_TEST_CASE(tasksWhoseStartsAreLateAgainAndAgainCauseNoViolation)
{
    for (std::uint64_t seed = 1; seed <= seedCount() * 5; ++seed) {
        const auto violations = runScenario(seed, Millis(1500)).violations;
        BOOST_TEST(violations.empty(), "seed " << seed << ": " << (violations.empty() ? "" : violations.front()));
    }
}

// Guards against a task that starts again after its end was acknowledged: an earlier start of it is carried out when its worker restarts afterwards.
BOOST_AUTO_TEST_CASE(restartAfterAnAcknowledgedEndCarriesOutNoLateStart)
{
    for (std::uint64_t seed = 1; seed <= seedCount() * 5; ++seed) {
        const auto starts = runScenario(seed, Millis(1500)).startsAfterAcknowledgedEnds;
        BOOST_TEST(starts.empty(), "seed " << seed << ": started again after its end was acknowledged: " << (starts.empty() ? "" : starts.front()));
    }
}

BOOST_AUTO_TEST_SUITE_END()
