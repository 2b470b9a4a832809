#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <sstream>

#include "FakeFleet.h"

using namespace marjoramhaven;
using namespace marjoramhaven::test;

namespace {

// More seeds can be asked for by hand: FLEET_SEEDS=200 test_fleet --run_test=Faults
std::uint64_t seedCount()
{
    const char *text = std::getenv("FLEET_SEEDS");
    return text == nullptr ? 6 : std::strtoull(text, nullptr, 10);
}

enum class Fault {
    PlannerKilled,
    PlannerFrozen,
    StoreDown,
    WorkerSilent,
    WorkerRestarted,
    WorkerLeaves,
    OrdersLate,
    AnswersLost,
    Cancels,
};

constexpr Fault AllFaults[] = {Fault::PlannerKilled,
                               Fault::PlannerFrozen,
                               Fault::StoreDown,
                               Fault::WorkerSilent,
                               Fault::WorkerRestarted,
                               Fault::WorkerLeaves,
                               Fault::OrdersLate,
                               Fault::AnswersLost,
                               Fault::Cancels};

StepSpec drawStep(std::mt19937_64 &random)
{
    StepSpec out;
    out.taskCount = 1 + static_cast<int>(random() % 5);
    out.needs = {500 + static_cast<std::int64_t>(random() % 5000), 400 + static_cast<std::int64_t>(random() % 3000), 0};
    out.estimateMs = 200 + static_cast<std::int64_t>(random() % 2500);
    out.checkpoints = random() % 2 == 0;
    out.isGang = random() % 6 == 0;
    out.allowsCopies = !out.isGang && random() % 4 == 0;
    return out;
}

void strike(FakeFleet &fleet, Fault fault, std::mt19937_64 &random)
{
    const int worker = static_cast<int>(random() % 6);
    switch (fault) {
    case Fault::PlannerKilled:
        fleet.killPlanner(Millis(300 + random() % 1500));
        return;
    case Fault::PlannerFrozen:
        fleet.freezePlanner(Millis(1500 + random() % 1000), Millis(2600 + random() % 3000));
        return;
    case Fault::StoreDown:
        fleet.setStoreUp(false);
        fleet.run(Millis(500 + random() % 4000));
        fleet.setStoreUp(true);
        return;
    case Fault::WorkerSilent:
        fleet.setSilent(worker, true);
        fleet.run(Millis(500 + random() % 8000));
        fleet.setSilent(worker, false);
        return;
    case Fault::WorkerRestarted:
        fleet.restartWorker(worker);
        return;
    case Fault::WorkerLeaves:
        fleet.drainWorker(worker, Millis(5500));
        return;
    case Fault::OrdersLate:
        fleet.setLateOrders(0.1);
        fleet.run(Millis(4000));
        fleet.setLateOrders(0);
        return;
    case Fault::AnswersLost:
        fleet.setLostAnswers(0.3);
        fleet.run(Millis(3000));
        fleet.setLostAnswers(0);
        return;
    case Fault::Cancels:
        for (int i = 0; i < 12; i += 3) {
            fleet.cancel("j" + std::to_string(i));
        }
        return;
    }
}

// Plays a load with faults; gives what broke, or which job did not end.
std::string play(const std::vector<Fault> &faults, std::uint64_t seed)
{
    FleetSetting setting;
    setting.seed = seed;
    setting.capacity = {12000, 24000, 0};
    FakeFleet fleet(setting);
    std::mt19937_64 random(seed * 7919 + faults.size());
    fleet.queue.needsAdvice = random() % 2 == 0;
    fleet.queue.adviceBaseMs = 5;
    fleet.queue.advicePerWorkerMs = 1;
    fleet.queue.ticketValidityMs = 2000;
    std::vector<Fault> left = faults;
    constexpr int Jobs = 12;
    for (int i = 0; i < Jobs; ++i) {
        std::vector<StepSpec> steps {drawStep(random)};
        if (random() % 2 == 0) {
            auto next = drawStep(random);
            next.after = {0};
            steps.push_back(next);
        }
        fleet.submit(fleet.jobWith("j" + std::to_string(i), steps));
        fleet.run(Millis(random() % 500));
        if (i % 3 == 2 && !left.empty()) {
            strike(fleet, left.back(), random);
            left.pop_back();
        }
    }
    const auto areAllEnded = [&]() {
        for (int i = 0; i < Jobs; ++i) {
            const auto state = fleet.stateOf("j" + std::to_string(i));
            if (state != FleetJobState::Completed && state != FleetJobState::Cancelled) {
                return false;
            }
        }
        return true;
    };
    const bool isEnded = fleet.runUntil(areAllEnded, Millis(90000));
    if (!fleet.broken().empty()) {
        return fleet.broken().front();
    }
    for (int i = 0; !isEnded && i < Jobs; ++i) {
        const auto id = "j" + std::to_string(i);
        const auto state = fleet.stateOf(id);
        if (state != FleetJobState::Completed && state != FleetJobState::Cancelled) {
            return id + " is " + (state ? std::string(nameOf(*state)) : "unknown");
        }
    }
    return {};
}

} // namespace

BOOST_AUTO_TEST_SUITE(Faults)

BOOST_AUTO_TEST_CASE(eachFaultAloneBreaksNoPromise)
{
    for (const auto fault : AllFaults) {
        for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
            const auto result = play({fault}, seed);
            BOOST_TEST(result.empty(), "fault " << static_cast<int>(fault) << " seed " << seed << ": " << result);
        }
    }
}

// One play by hand: FLEET_PLAY="4 4 1" FLEET_LOG=1 test_fleet --run_test=Faults/thePlayAskedFor (the last number is the seed).
BOOST_AUTO_TEST_CASE(thePlayAskedFor)
{
    const char *text = std::getenv("FLEET_PLAY");
    std::istringstream in(text == nullptr ? "0 1" : text);
    std::vector<Fault> faults;
    std::uint64_t number = 0;
    std::vector<std::uint64_t> numbers;
    while (in >> number) {
        numbers.push_back(number);
    }
    for (std::size_t i = 0; i + 1 < numbers.size(); ++i) {
        faults.push_back(static_cast<Fault>(numbers[i]));
    }
    const auto result = play(faults, numbers.back());
    BOOST_TEST(result.empty(), result);
}

BOOST_AUTO_TEST_CASE(eachPairOfFaultsBreaksNoPromise)
{
    for (const auto first : AllFaults) {
        for (const auto second : AllFaults) {
            for (std::uint64_t seed = 1; seed <= (seedCount() + 2) / 3; ++seed) {
                const auto result = play({first, second}, seed);
                BOOST_TEST(result.empty(), "faults " << static_cast<int>(first) << "+" << static_cast<int>(second) << " seed " << seed << ": " << result);
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
