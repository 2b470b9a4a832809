#include <algorithm>

#include "SilencingProxy.h"
#include "SmallFleet.h"
#include "support/Events.h"

namespace marjoramhaven::review {

namespace {

// Spread over all workers, so that each gets some start requests at the same time.
const std::string Wide = R"({"spec":"s","phases":[{"count":40,"cpu":200,"mem-mb":100,"estimate-ms":300,"anti-affinity":10}]})";
const std::string Long = R"({"spec":"s","phases":[{"count":8,"cpu":200,"mem-mb":100,"estimate-ms":40000,"anti-affinity":2}]})";
const std::string Single = R"({"spec":"s","phases":[{"count":1,"cpu":200,"mem-mb":100,"estimate-ms":300}]})";
const std::string LongJob = "00000000000000c0";
constexpr Millis LongTask {40'000};
constexpr Millis ShortTask {300};
constexpr int Waves = 5;
constexpr Millis WavePause {900};
constexpr int SingleJobs = 5;
// The single jobs are handed in this long after the channels went silent.
constexpr Millis HandInPause {2000};
// A stall counts if it has been calm for this long before (stability-window-ms).
constexpr Millis CalmBefore {4000};
// A job whose turn has come may have nothing running for this long.
constexpr Millis LongestStall {3000};
constexpr Millis Patience {20'000};

std::string jobId(char kind, int number)
{
    return std::string("00000000000000") + kind + std::to_string(number);
}

// Hands a job in and records the answer. Returns whether it was accepted.
bool submit(SmallFleet &fleet, std::size_t process, const std::string &job, const std::string &body)
{
    const auto answer = fleet.call(process, "POST", "/q/" + job, body);
    fleet.note("POST " + job + " at process " + std::to_string(process) + ": " + std::to_string(answer.status));
    return answer.status == 200;
}

} // namespace

CaseResult playSilentChannels(SmallFleet &fleet, bool hasTrouble)
{
    auto &platform = fleet.platform();
    platform.taskBehaviour = [](const FleetTaskId &task) {
        TaskBehaviour out;
        out.needs = {200, 100, 0};
        out.duration = task.job == LongJob ? LongTask : ShortTask;
        return out;
    };
    std::vector<std::unique_ptr<SilencingProxy>> links;
    for (std::size_t i = 0; i < platform.workerCount(); ++i) {
        links.push_back(std::make_unique<SilencingProxy>(platform.workerPort(i)));
        platform.advertisePort(i, links.back()->port());
    }
    if (!fleet.start({platform.storePort(), platform.advisorPort()}) || !submit(fleet, 0, LongJob, Long)) {
        return CaseResult::NotRun;
    }
    for (int i = 0; i < Waves; ++i) {
        if (!submit(fleet, 0, jobId('a', i), Wide)) {
            return CaseResult::NotRun;
        }
        fleet.wait(WavePause);
    }
    const auto silentAt = monotonicNow();
    int silenced = 0;
    for (const auto &it : links) {
        silenced += hasTrouble ? it->silenceOpenChannels() : 0;
    }
    fleet.note(std::to_string(silenced) + " open channels to " + std::to_string(links.size()) + " workers went silent; new ones work");
    fleet.wait(HandInPause);
    std::vector<std::string> jobs;
    for (int i = 0; i < SingleJobs; ++i) {
        if (submit(fleet, static_cast<std::size_t>(i) % fleet.processes().size(), jobId('b', i), Single)) {
            jobs.push_back(jobId('b', i));
        }
    }
    if (jobs.empty()) {
        return CaseResult::NotRun;
    }
    const auto hasStarted = [&platform](const std::string &job) {
        return platform.startCountOf(job + ".0.0.0") > 0;
    };
    test::waitFor(
        [&]() {
            return std::all_of(jobs.begin(), jobs.end(), hasStarted);
        },
        static_cast<int>(Patience.count()));
    const auto stall = monotonicNow() - (silentAt + CalmBefore);
    fleet.note("all single jobs have started, or the wait is over, " + std::to_string((monotonicNow() - silentAt).count())
               + " ms after the channels went silent");
    return stall > LongestStall ? CaseResult::RuleBroken : CaseResult::RuleHeld;
}

} // namespace marjoramhaven::review
