#include <boost/test/unit_test.hpp>

#include "FakeFleet.h"

using namespace marjoramhaven;
using namespace marjoramhaven::test;

namespace {

constexpr Millis BusyTime {15000};
constexpr Millis SettleTime {2500};

// A fleet of workers of 8 cores, all but the first of which are busy for BusyTime, and a gang that waits for room beside the first worker and one other.
class FleetWithWaitingGang : public FakeFleet
{
public:
    // Each busy worker runs a task with the first needs; the second are those of each task of the gang.
    explicit FleetWithWaitingGang(const FleetResources &busyNeeds = {4500, 500, 0}, const FleetResources &gangNeeds = {4000, 500, 0})
        : FakeFleet(options())
    {
        // Long enough that the gang still has value when it starts.
        queue.slackFactor = 20;
        for (int i = 1; i < options().workers; ++i) {
            auto busy = step(0, BusyTime.count());
            busy.needs = busyNeeds;
            busy.requiredLabel = "only-w" + std::to_string(i);
            submitStep("busy" + std::to_string(i), busy, 0);
        }
        run(Millis(500));
        auto gang = step(0, 1000);
        gang.needs = gangNeeds;
        gang.taskCount = 2;
        gang.isGang = true;
        gang.maxPerWorker = 1;
        submitStep("gang", gang, 1);
        run(SettleTime);
    }

    static StepSpec step(std::int64_t cpu, std::int64_t ms)
    {
        StepSpec out;
        out.taskCount = 1;
        out.needs = {cpu, 500, 0};
        out.estimateMs = ms;
        return out;
    }

    void submitStep(const std::string &job, const StepSpec &step, int priority)
    {
        auto request = makeJob(job, {step});
        request.queue.priority = priority;
        submit(request);
    }

    // Returns how long the first task of a job has waited for its start, or `std::nullopt` if it has not started within this time.
    std::optional<Millis> startOf(const std::string &job, const StepSpec &step, Millis within)
    {
        const auto at = now();
        submitStep(job, step, 2);
        runUntil(
            [&]() {
                return firstStart(job + ".0.0.0").has_value();
            },
            within);
        const auto begun = firstStart(job + ".0.0.0");
        return begun ? std::optional(*begun - at) : std::nullopt;
    }

private:
    static FakeFleetOptions options()
    {
        FakeFleetOptions out;
        out.workers = 12;
        return out;
    }
};

} // namespace

// Room that is held for a gang on the only worker that has any.
BOOST_AUTO_TEST_SUITE(HeldRoom)

// Guards against a step that waits for a gang although both have room.
BOOST_AUTO_TEST_CASE(roomBeyondTheNeedOfTheGangIsFree)
{
    FleetWithWaitingGang fleet;
    const auto waited = fleet.startOf("small", FleetWithWaitingGang::step(3800, 60'000), Millis(6000));
    BOOST_REQUIRE(waited.has_value());
    BOOST_TEST(waited->count() < 500);
    BOOST_TEST(fleet.violations().empty());
}

// Guards against a step that waits although it ends before the gang can start.
BOOST_AUTO_TEST_CASE(stepThatEndsBeforeTheGangStartsUsesItsRoom)
{
    FleetWithWaitingGang fleet;
    const auto waited = fleet.startOf("short", FleetWithWaitingGang::step(8000, 1000), Millis(6000));
    BOOST_REQUIRE(waited.has_value());
    BOOST_TEST(waited->count() < 500);
    fleet.run(BusyTime);
    BOOST_TEST((fleet.stateOf("gang") == FleetJobState::Completed));
    BOOST_TEST(fleet.violations().empty());
}

// Guards against a long step that takes the room of a gang which is about to start.
BOOST_AUTO_TEST_CASE(longStepWaitsForTheGangIfItMayRunElsewhere)
{
    FleetWithWaitingGang fleet;
    BOOST_TEST(!fleet.startOf("long", FleetWithWaitingGang::step(8000, 60'000), Millis(6000)).has_value());
    fleet.run(BusyTime);
    BOOST_TEST((fleet.stateOf("gang") == FleetJobState::Completed));
    BOOST_TEST(fleet.startsOf("long.0.0.0") == 1);
    BOOST_TEST(fleet.violations().empty());
}

// Guards against a step that waits for as long as a gang does, on the only worker that the step may use.
BOOST_AUTO_TEST_CASE(stepThatMayRunNowhereElseStartsWithinThreeSeconds)
{
    FleetWithWaitingGang fleet;
    auto bound = FleetWithWaitingGang::step(8000, 60'000);
    bound.requiredLabel = "only-w0";
    const auto waited = fleet.startOf("bound", bound, Millis(6000));
    BOOST_REQUIRE(waited.has_value());
    BOOST_TEST(waited->count() < 3000);
    BOOST_TEST(fleet.violations().empty());
}

// Guards against the same where others have room, but the advisor allows none of them.
BOOST_AUTO_TEST_CASE(stepThatIsAllowedNowhereElseStartsWithinThreeSeconds)
{
    FleetWithWaitingGang fleet({500, 10'000, 0}, {4000, 8000, 0});
    fleet.queue.needsAdvice = true;
    fleet.queue.adviceBaseMs = 5;
    fleet.queue.ticketValidityMs = 2500;
    fleet.advisorAllows = [](const std::string & /*step*/, const std::string &worker) {
        return worker == "w0";
    };
    const auto waited = fleet.startOf("bound", FleetWithWaitingGang::step(7000, 60'000), Millis(6000));
    BOOST_REQUIRE(waited.has_value());
    BOOST_TEST(waited->count() < 3000);
    BOOST_TEST(fleet.violations().empty());
}

BOOST_AUTO_TEST_SUITE_END()
