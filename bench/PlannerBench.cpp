#include <chrono>
#include <cstdio>
#include <string>
#include <utility>
#include <vector>

#include "marjoramhaven/fleet/FleetPlanner.h"

using namespace marjoramhaven;

namespace {

constexpr int Workers = 950;
constexpr int WorkersPerRack = 8;
constexpr int TasksAtWork = 11'000;
constexpr int TasksPerJob = 8;
constexpr int AdvisorProxies = 12;
constexpr int Rounds = 50;
constexpr Millis TimeToWait {3000};
constexpr Millis PlanInterval {20};

// Keeps the advisor's requests and drops all others.
struct AdvisedTransport : public PlannerTransport {
    std::vector<AdviceRequest> advice;
    std::vector<PollWorkerRequest> polls;

    void sendStart(const StartRunRequest & /*request*/, TimePoint /*decidedAt*/, Millis /*timeout*/) override { }
    void sendStop(const StopRunRequest & /*request*/, TimePoint /*decidedAt*/, Millis /*timeout*/) override { }
    void sendThrottle(const ThrottleRunRequest & /*request*/, TimePoint /*decidedAt*/, Millis /*timeout*/) override { }
    void sendPoll(const PollWorkerRequest &request, TimePoint /*decidedAt*/, Millis /*timeout*/) override { polls.push_back(request); }
    void sendAdviceRequest(const AdviceRequest &request) override { advice.push_back(request); }
    void fencedByWorker(const std::string & /*worker*/) override { }
};

// A planner of the size to design for. Its workers are full unless `usedShare` is lower than 1.
class Fleet
{
public:
    explicit Fleet(double usedShare)
    {
        m_planner.confirmLeadership(m_now, m_now);
        m_planner.startPlanning(m_now);
        for (int i = 0; i < Workers; ++i) {
            addWorker("w" + std::to_string(i), "r" + std::to_string(i / WorkersPerRack));
        }
        for (int i = 0; i < AdvisorProxies; ++i) {
            m_planner.addAdvisorProxy("p" + std::to_string(i));
        }
        for (int i = 0; i < static_cast<int>(TasksAtWork * usedShare) / TasksPerJob; ++i) {
            submit("busy" + std::to_string(i), false, false);
        }
        m_planner.plan(m_now);
    }

    void submit(const std::string &id, bool isGang, bool needsAdvice)
    {
        FleetJobRequest job;
        job.id = id;
        job.queue.name = "q";
        job.queue.service = "svc";
        job.queue.needsAdvice = needsAdvice;
        job.queue.adviceBaseMs = 300;
        job.queue.advicePerWorkerMs = 2;
        job.queue.ticketValidityMs = 3000;
        StepSpec step;
        step.taskCount = TasksPerJob;
        step.needs = {2700, 1000, 0};
        step.estimateMs = 60'000;
        step.isGang = isGang;
        job.steps.push_back(step);
        m_planner.jobAccepted(std::move(job), m_now);
    }

    // Returns the mean time of a call of plan() in milliseconds, after all that waits has waited for long.
    double planMs()
    {
        m_planner.plan(m_now);
        m_now += TimeToWait;
        std::chrono::duration<double, std::milli> sum {0};
        for (int i = 0; i < Rounds; ++i) {
            m_now += PlanInterval;
            const auto startedAt = std::chrono::steady_clock::now();
            m_planner.plan(m_now);
            sum += std::chrono::steady_clock::now() - startedAt;
            answerAdvice();
        }
        return sum.count() / Rounds;
    }

private:
    void addWorker(const std::string &id, const std::string &rack)
    {
        WorkerReport report;
        report.id = id;
        report.service = "svc";
        report.host = "127.0.0.1";
        report.port = 1;
        report.capacity = {32'000, 131'072, 0};
        report.rack = rack;
        report.labels = {rack};
        report.startedUnixMs = 1;
        m_planner.workerReported(report, m_now);
        m_planner.tick(0, m_now);
        PollWorkerResponse list;
        list.outcome = WorkerCallOutcome::Done;
        list.workerClockMs = millisOf(m_now);
        list.startedUnixMs = 1;
        for (const auto &it : std::exchange(m_transport.polls, {})) {
            if (it.worker.id == id) {
                m_planner.handlePollResponse(it, list, m_now);
            }
        }
    }

    // The advisor allows every second worker.
    void answerAdvice()
    {
        for (const auto &it : std::exchange(m_transport.advice, {})) {
            AdviceResponse answer;
            answer.isAnswered = true;
            for (std::size_t i = 0; i < it.workers.size(); i += 2) {
                answer.allowed.push_back({it.workers[i], "ticket"});
            }
            m_planner.handleAdviceResponse(it, answer, m_now);
        }
    }

    TimePoint m_now = atMillis(100'000);
    EventLog m_events {"bench", -1};
    AdvisedTransport m_transport;
    FleetPlanner m_planner {m_transport, m_events, PlannerLimits {}, 7, m_now};
};

void measure(const char *name, double usedShare, int steps, int gangs, bool needsAdvice)
{
    Fleet fleet(usedShare);
    for (int i = 0; i < steps; ++i) {
        fleet.submit("step" + std::to_string(i), false, needsAdvice);
    }
    for (int i = 0; i < gangs; ++i) {
        fleet.submit("gang" + std::to_string(i), true, needsAdvice);
    }
    std::printf("%-60s %8.2f ms\n", name, fleet.planMs());
}

} // namespace

int main()
{
    measure("1,000 steps that wait, no room", 1, 1000, 0, false);
    measure("1,000 steps and 100 gangs that wait, no room", 1, 1000, 100, false);
    measure("the same with an advisor", 1, 1000, 100, true);
    measure("1,000 steps that wait for the advisor, a third in use", 0.33, 1000, 0, true);
    return 0;
}
