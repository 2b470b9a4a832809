#include <csignal>

#include "SmallFleet.h"
#include "support/FaultProxy.h"

namespace marjoramhaven::review {

namespace {

const std::string OneTask = R"({"spec":"s","phases":[{"count":1,"cpu":1000,"mem-mb":100,"estimate-ms":150}]})";
constexpr int Jobs = 5;
// The advisor still answers at its earlier address for this long after the settings have changed.
constexpr Millis Overlap {6000};
// The disturbance has been over for this long when the jobs are handed in, so that all machines are in touch.
constexpr Millis Calm {4500};
// Much more than the 3 s in which a job may have nothing running.
constexpr Millis Patience {25'000};

std::string jobId(int number)
{
    return "00000000000000b" + std::to_string(number);
}

// Hands a job in at a process and records the answer. Returns whether it was accepted.
bool submit(SmallFleet &fleet, std::size_t process, const std::string &job)
{
    const auto answer = fleet.call(process, "POST", "/q/" + job, OneTask);
    fleet.note("POST " + job + " at process " + std::to_string(process) + ": " + std::to_string(answer.status));
    return answer.status == 200;
}

// Waits until the jobs are shown as completed, or for this long. Returns how many are.
int completedWithin(SmallFleet &fleet, const std::vector<std::string> &jobs, Millis limit)
{
    const auto until = monotonicNow() + limit;
    int completed = 0;
    while (monotonicNow() < until && completed < static_cast<int>(jobs.size())) {
        fleet.wait(Millis(500));
        completed = 0;
        for (const auto &it : jobs) {
            completed += fleet.stateOf(0, it) == "completed" ? 1 : 0;
        }
    }
    return completed;
}

} // namespace

CaseResult playChangedSettings(SmallFleet &fleet, bool hasTrouble)
{
    auto earlier = std::make_unique<test::FaultProxy>(fleet.platform().advisorPort());
    const test::FaultProxy later(fleet.platform().advisorPort());
    const int store = fleet.platform().storePort();
    if (!fleet.start({store, earlier->port()})) {
        return CaseResult::NotRun;
    }
    const auto first = jobId(0);
    if (!submit(fleet, 0, first) || completedWithin(fleet, {first}, Millis(5000)) != 1) {
        return CaseResult::NotRun;
    }
    if (hasTrouble) {
        for (const auto &it : fleet.processes()) {
            it->writeSettings({store, later.port()});
            it->signal(SIGHUP);
        }
        fleet.note("the settings files name the new address of the advisor; SIGHUP was sent to each process");
        fleet.wait(Overlap);
        earlier.reset();
        fleet.note("the advisor does not answer at its earlier address any more");
    }
    fleet.wait(Calm);
    std::vector<std::string> jobs;
    for (int i = 1; i <= Jobs; ++i) {
        if (submit(fleet, static_cast<std::size_t>(i) % fleet.processes().size(), jobId(i))) {
            jobs.push_back(jobId(i));
        }
    }
    const int completed = completedWithin(fleet, jobs, Patience);
    for (const auto &it : jobs) {
        fleet.note("GET " + it + ": " + fleet.stateOf(0, it) + ", runs started: " + std::to_string(fleet.platform().startCountOf(it + ".0.0.0")));
    }
    return jobs.empty() ? CaseResult::NotRun : completed == static_cast<int>(jobs.size()) ? CaseResult::RuleHeld : CaseResult::RuleBroken;
}

} // namespace marjoramhaven::review
