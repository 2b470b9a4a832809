#include <boost/test/unit_test.hpp>

#include "marjoramhaven/fleet/StepFit.h"

using namespace marjoramhaven;

namespace {

const TimePoint Now = atMillis(100'000);
const TimePoint Later = Now + Millis(10'000);

// One worker of 8 cores and a job of one step.
struct OneWorker {
    FleetState state;
    FleetJobRequest request;

    OneWorker()
    {
        request.id = "j";
        request.queue.name = "q";
        request.queue.service = "svc";
        request.steps.emplace_back();
        step().taskCount = 4;
        step().needs = {3000, 500, 0};
        step().estimateMs = 1000;
        auto &it = worker();
        it.report.service = "svc";
        it.report.labels = {"a"};
        it.report.capacity = {8000, 8000, 0};
    }

    StepSpec &step() { return request.steps.front(); }
    FleetWorker &worker() { return state.findOrCreateWorker("w0"); }

    void allocate(std::int64_t cpu, bool isLasting, TimePoint expectedEnd = Later)
    {
        RunAllocation out;
        out.needs = {cpu, 100, 0};
        out.isLasting = isLasting;
        out.expectedEnd = expectedEnd;
        worker().allocate({{"other", 0, 0, static_cast<int>(worker().allocations.size())}, 1}, out);
    }

    template<typename Use>
    auto withFit(Use use)
    {
        FleetJob job(request, Now, 64);
        StepFit fit(state, job, 0, 0, job.occurrence(0).steps.front(), Now);
        return use(fit);
    }

    FitObstacle obstacle()
    {
        return withFit([this](StepFit &fit) {
            return fit.obstacle(worker());
        });
    }

    std::size_t slots()
    {
        return withFit([this](StepFit &fit) {
            return fit.slots(worker());
        });
    }
};

} // namespace

BOOST_TEST_DONT_PRINT_LOG_VALUE(FitObstacle)

// Which workers may run a task of a step, and what keeps the others from it.
BOOST_AUTO_TEST_SUITE(Fit)

BOOST_AUTO_TEST_CASE(emptyWorkerHasRoomForAsManyTasksAsFit)
{
    OneWorker it;
    BOOST_TEST(it.obstacle() == FitObstacle::None);
    BOOST_TEST(it.slots() == 2U);
    it.step().maxPerWorker = 1;
    BOOST_TEST(it.slots() == 1U);
}

BOOST_AUTO_TEST_CASE(workerOfAnotherServiceOrWithoutTheLabelIsUnsuited)
{
    OneWorker it;
    it.step().requiredLabel = "b";
    BOOST_TEST(it.obstacle() == FitObstacle::Unsuited);
    it.step().requiredLabel = "a";
    BOOST_TEST(it.obstacle() == FitObstacle::None);
    it.worker().report.service = "other";
    BOOST_TEST(it.obstacle() == FitObstacle::Unsuited);
}

// Guards against waiting for room that never comes.
BOOST_AUTO_TEST_CASE(roomOfRunsThatEndComesBackAndThatOfLastingRunsDoesNot)
{
    OneWorker it;
    it.allocate(5500, false);
    BOOST_TEST(it.obstacle() == FitObstacle::Room);
    OneWorker other;
    other.allocate(5500, true);
    BOOST_TEST(other.obstacle() == FitObstacle::NeverRoom);
    OneWorker small;
    small.worker().report.capacity.cpuMilli = 2000;
    BOOST_TEST(small.obstacle() == FitObstacle::NeverRoom);
}

BOOST_AUTO_TEST_CASE(runsOfTheSameStepCountUpToTheLimitOfAWorker)
{
    OneWorker it;
    it.step().maxPerWorker = 1;
    it.withFit([&it](StepFit &fit) {
        fit.addRun(it.worker());
        BOOST_TEST(fit.obstacle(it.worker()) == FitObstacle::Spread);
        BOOST_TEST(fit.slots(it.worker()) == 0U);
        fit.removeRun(it.worker());
        BOOST_TEST(fit.obstacle(it.worker()) == FitObstacle::None);
    });
}

BOOST_AUTO_TEST_CASE(adviceIsUnknownExpiredValidOrForbidding)
{
    OneWorker it;
    it.request.queue.needsAdvice = true;
    it.request.queue.ticketValidityMs = 2500;
    BOOST_TEST(it.obstacle() == FitObstacle::Ticket);
    it.state.advice.addProxy("p");
    const auto ask = [&it](bool isAllowed, TimePoint at) {
        const auto request = it.state.advice.createRequest("j.0.0", it.request.queue, {{"w0", 0}}, at);
        AdviceResponse answer;
        answer.isAnswered = true;
        if (isAllowed) {
            answer.allowed.push_back({"w0", "ticket"});
        }
        it.state.advice.handleResponse(request->proxy, request->step, answer, at);
    };
    ask(true, Now - Millis(3000));
    BOOST_TEST(it.obstacle() == FitObstacle::Ticket);
    ask(true, Now);
    BOOST_TEST(it.obstacle() == FitObstacle::None);
    ask(false, Now);
    BOOST_TEST(it.obstacle() == FitObstacle::Forbidden);
}

BOOST_AUTO_TEST_CASE(heldRoomIsFreeForTasksThatEndBeforeTheGangStarts)
{
    OneWorker it;
    it.worker().hold = WorkerHold {{4000, 500, 0}, Now};
    BOOST_TEST(it.slots() == 1U);
    it.worker().hold->resources.cpuMilli = 6000;
    BOOST_TEST(it.obstacle() == FitObstacle::Held);
    it.worker().hold->until = Later;
    BOOST_TEST(it.obstacle() == FitObstacle::None);
    it.step().isLongRunning = true;
    BOOST_TEST(it.obstacle() == FitObstacle::Held);
    it.withFit([&it](StepFit &fit) {
        fit.ignoreHolds();
        BOOST_TEST(fit.obstacle(it.worker()) == FitObstacle::None);
    });
}

BOOST_AUTO_TEST_CASE(roomIsExpectedWhenEnoughRunsHaveEnded)
{
    OneWorker it;
    auto &worker = it.worker();
    BOOST_TEST((worker.roomExpectedAt({8000, 100, 0}, Now) == Now));
    it.allocate(2000, true);
    it.allocate(3000, false, Later);
    it.allocate(3000, false, Now + Millis(4000));
    BOOST_TEST((worker.roomExpectedAt({3000, 100, 0}, Now) == Now + Millis(4000)));
    BOOST_TEST((worker.roomExpectedAt({6000, 100, 0}, Now) == Later));
    BOOST_TEST((worker.roomExpectedAt({6000, 100, 0}, Later + Millis(1)) == Later + Millis(1)));
    BOOST_TEST((worker.roomExpectedAt({7000, 100, 0}, Now) == TimePoint::max()));
}

BOOST_AUTO_TEST_SUITE_END()
