#include <map>
#include <set>

#include "SmallFleet.h"
#include "support/Events.h"
#include "support/FaultProxy.h"

namespace marjoramhaven::review {

namespace {

const std::string Lasting = R"({"spec":"s","phases":[{"count":1,"cpu":1000,"mem-mb":100,"estimate-ms":400,"long-running":true}]})";
const std::string Batch = R"({"spec":"s","phases":[{"count":24,"cpu":200,"mem-mb":100,"estimate-ms":300}]})";
// The start that gets no answer is carried out this long after it was sent; the pages allow 2 to 12 s.
constexpr Millis Lateness {5450};
// The worker is cut off, crashes behind the cut and starts again there. The site allows a cut of 5.5 s.
constexpr Millis CutAfter {50};
constexpr Millis CutDuration {5500};
constexpr Millis DarkFor {1000};
constexpr Millis WarmUp {12'000};
constexpr Millis Watch {2500};
constexpr Millis StartWithin {5000};
// A worker writes its entry about every 1.5 s.
constexpr Millis EntryPause {1000};
constexpr Millis BatchTask {300};
constexpr Millis BatchTime {1500};
constexpr Millis PhaseStep {130};
// Whether the planner calls the worker again before the late start is a matter of some 100 ms, so there are some rounds. Another worker each time, as a worker
// that has started again is waited for longer.
constexpr int Rounds = 5;

// Returns how much later than now a worker has to say that it was born, so that the stand-in's clock begins near 0 in that life.
Millis bornChangeForNewClock(std::int64_t bornMs)
{
    constexpr std::uint64_t Spread = 5'000'000;
    constexpr std::uint64_t Multiplier = 2'654'435'761;
    constexpr std::uint64_t Near = 1000;
    std::int64_t out = 1;
    while (static_cast<std::uint64_t>(bornMs + out) * Multiplier % Spread > Near) {
        ++out;
    }
    return Millis(out);
}

// Follows which runs of the task are at work, and whether two ever were at once.
struct RunsAtOnce {
    std::set<std::pair<std::string, std::int64_t>> now;
    std::size_t most = 0;

    void record(const RunEvent &event)
    {
        const std::pair run(event.worker, event.attempt);
        if (event.kind == RunEvent::Kind::Started) {
            now.insert(run);
        } else {
            now.erase(run);
        }
        most = std::max(most, now.size());
    }
};

// Plays one round: a lasting task whose first start is late, on a worker that is cut off and starts again. Returns whether it ran twice at once.
std::optional<bool> playRound(SmallFleet &fleet, std::vector<std::unique_ptr<test::FaultProxy>> &links, int round, bool hasTrouble)
{
    auto &platform = fleet.platform();
    const auto number = std::to_string(round);
    const auto job = "00000000000000d" + number;
    RunsAtOnce runs;
    const auto noteEvent = platform.onRunEvent;
    platform.onRunEvent = [&runs, &noteEvent, &job](const RunEvent &it) {
        noteEvent(it);
        if (it.task.job == job) {
            runs.record(it);
        }
    };
    std::optional<std::size_t> worker;
    TimePoint sentAt = monotonicNow();
    platform.isCallKept = [&](std::size_t called, const HttpRequest &call) {
        if (!hasTrouble || worker || call.path != "/v1/run-start" || !call.body.contains(job.c_str())) {
            return false;
        }
        worker = called;
        sentAt = monotonicNow();
        fleet.note("the start of " + job + " on i-" + std::to_string(called) + " gets no answer");
        return true;
    };
    platform.isKeptCallDue = [&sentAt](std::size_t, const HttpRequest &) {
        return monotonicNow() >= sentAt + Lateness;
    };
    const bool isBatchAccepted = fleet.call(0, "POST", "/q/00000000000000e" + number, Batch).status == 200;
    // The polls of a silent worker come every 0.8 s, at times that follow from the last one before the cut.
    fleet.wait(BatchTime + PhaseStep * round);
    const bool isAccepted = fleet.call(0, "POST", "/q/" + job, Lasting).status == 200;
    fleet.note("POST " + job + (isAccepted ? ": 200" : ": not accepted"));
    const auto isSent = [&worker]() {
        return worker.has_value();
    };
    if (!isBatchAccepted || !isAccepted || (hasTrouble && !test::waitFor(isSent, static_cast<int>(StartWithin.count())))) {
        return std::nullopt;
    }
    if (hasTrouble) {
        fleet.waitUntil(sentAt + CutAfter);
        links[*worker]->setCut(true);
        platform.setHoldingEntriesBack(true);
        platform.crashWorker(*worker);
        fleet.note("i-" + std::to_string(*worker) + " is cut off from all and has crashed");
        fleet.waitUntil(sentAt + CutAfter + DarkFor);
        platform.restartWorker(*worker, bornChangeForNewClock(platform.worker(*worker).report().startedUnixMs));
        fleet.note("i-" + std::to_string(*worker) + " has started again behind the cut");
        fleet.waitUntil(sentAt + CutAfter + CutDuration);
        links[*worker]->setCut(false);
        fleet.note("the cut has healed");
        fleet.waitUntil(sentAt + CutAfter + CutDuration + EntryPause);
        platform.setHoldingEntriesBack(false);
        platform.advertisePort(*worker, links[*worker]->port());
        fleet.note("i-" + std::to_string(*worker) + " has written its entry");
    }
    fleet.waitUntil(sentAt + Lateness + Watch);
    fleet.note("most runs of " + job + " at once: " + std::to_string(runs.most));
    fleet.call(0, "DELETE", "/q/" + job);
    fleet.wait(BatchTime);
    platform.isCallKept = {};
    platform.onRunEvent = noteEvent;
    return runs.most > 1;
}

} // namespace

CaseResult playLateLastingStart(SmallFleet &fleet, bool hasTrouble)
{
    auto &platform = fleet.platform();
    platform.taskBehaviour = [](const FleetTaskId &task) {
        TaskBehaviour out;
        out.isLongRunning = task.job[task.job.size() - 2] == 'd';
        out.needs = {out.isLongRunning ? 1000 : 200, 100, 0};
        out.duration = BatchTask;
        return out;
    };
    std::vector<std::unique_ptr<test::FaultProxy>> links;
    for (std::size_t i = 0; i < platform.workerCount(); ++i) {
        links.push_back(std::make_unique<test::FaultProxy>(platform.workerPort(i)));
        platform.advertisePort(i, links.back()->port());
    }
    if (!fleet.start({platform.storePort(), platform.advisorPort()})) {
        return CaseResult::NotRun;
    }
    // A new leader waits longer for leases that its predecessor may have granted.
    fleet.wait(WarmUp);
    for (int i = 0; i < Rounds; ++i) {
        const auto hasRunTwice = playRound(fleet, links, i, hasTrouble);
        if (!hasRunTwice) {
            return CaseResult::NotRun;
        }
        if (*hasRunTwice) {
            return CaseResult::RuleBroken;
        }
    }
    return CaseResult::RuleHeld;
}

} // namespace marjoramhaven::review
