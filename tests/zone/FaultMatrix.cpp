#include "FaultMatrix.h"

#include <sstream>

#include "marjoramhaven/base/Json.h"

namespace marjoramhaven::test {

namespace {

constexpr Millis FaultDuration {3000};
constexpr Millis LongPauseDuration {6000};
constexpr Millis ReconnectBound {3000};
constexpr int ShortRequestCount = 60;

JobSpec makeSpec(const std::string &id, JobKind kind, const char *urgency, int tasks, int runMs)
{
    JobSpec out;
    out.id = id;
    out.team = "signal";
    out.urgency = urgency;
    out.kind = kind;
    out.tasks = tasks;
    out.resources = Resources(1000, 512, 0, 1, 0);
    out.work = {{QLatin1String("run_ms"), runMs}, {QLatin1String("echo"), toQt("result of " + id)}};
    return out;
}

// Returns a random member that accepts calls, as the load balancer would choose one for a caller.
int randomServingMember(ZoneSimulation &zone)
{
    const int first = static_cast<int>(zone.random()() % ZoneSimulation::Members);
    for (int i = 0; i < ZoneSimulation::Members; ++i) {
        const int member = (first + i) % ZoneSimulation::Members;
        if (zone.acceptsCalls(member)) {
            return member;
        }
    }
    return first;
}

void sendBurst(ZoneSimulation &zone, const char *urgency)
{
    for (int i = 0; i < 100; ++i) {
        zone.sendShortRequest(randomServingMember(zone), makeSpec("flood-" + std::to_string(i) + urgency, JobKind::ShortRequest, urgency, 1, 100));
    }
}

void injectFault(ZoneSimulation &zone, Fault fault, int member)
{
    const int worker = static_cast<int>(zone.random()() % ZoneSimulation::Workers);
    switch (fault) {
    case Fault::ProcessDies:
        zone.kill(member);
        break;
    case Fault::ProcessPauses:
    case Fault::PausedPastLease:
        zone.pause(member, true);
        break;
    case Fault::CutFromPeers:
        zone.setCutFromPeers(member, true);
        break;
    case Fault::CutFromLog:
        zone.setCutFromLog(member, true);
        break;
    case Fault::CutFromWorkers:
        zone.setCutFromWorkers(member, true);
        break;
    case Fault::WorkerLost:
        zone.loseWorker(worker);
        break;
    case Fault::RackLost:
        for (int i = 0; i < ZoneSimulation::Workers / 2; ++i) {
            zone.loseWorker(i);
        }
        break;
    case Fault::LogDown:
        zone.setLogDown(true);
        break;
    case Fault::LogSlow:
        zone.setLogSlow(true);
        break;
    case Fault::LogResponsesLost:
        zone.setLogResponsesLost(true);
        break;
    case Fault::StartResponsesLost:
        zone.setStartResponsesLost(true);
        break;
    case Fault::WorkerFailsAll:
        zone.setFailsAll(worker, true);
        break;
    case Fault::MassCancellation:
        for (const char *id : {"batch", "together", "once"}) {
            zone.cancelJob(randomServingMember(zone), id);
        }
        break;
    case Fault::ConflictingPatches:
        for (int i = 0; i < ZoneSimulation::Members; ++i) {
            zone.sendPatch(i, "rival-" + std::to_string(i), {{QLatin1String("packing"), QLatin1String(i % 2 == 0 ? "spread" : "tight")}});
        }
        break;
    case Fault::BurstOfLeastUrgent:
        sendBurst(zone, "background");
        break;
    case Fault::BurstOfMostUrgent:
        sendBurst(zone, "urgent");
        break;
    }
}

Millis durationOf(Fault fault)
{
    return fault == Fault::PausedPastLease ? LongPauseDuration : FaultDuration;
}

void runWorkload(ZoneSimulation &zone)
{
    zone.submitJob(randomServingMember(zone), makeSpec("batch", JobKind::Batch, "background", 8, 300));
    zone.submitJob(randomServingMember(zone), makeSpec("together", JobKind::Gang, "standard", 4, 500));
    auto once = makeSpec("once", JobKind::Batch, "standard", 3, 200);
    once.repeatable = false;
    zone.submitJob(randomServingMember(zone), once);
    zone.submitJob(randomServingMember(zone), makeSpec("service", JobKind::Service, "background", 2, 1'000'000));
    for (int i = 0; i < ShortRequestCount; ++i) {
        auto request = makeSpec("short-" + std::to_string(i), JobKind::ShortRequest, i % 2 == 0 ? "urgent" : "standard", 1, 40);
        request.repeatable = i % 3 != 0;
        zone.sendShortRequest(randomServingMember(zone), request);
        if (i % 10 == 5) {
            // The caller does not wait for the answer and sends the same request again through another process.
            zone.sendShortRequest(randomServingMember(zone), request);
        }
        zone.run(Millis(50));
        if (i == ShortRequestCount / 3) {
            zone.sendPatch(randomServingMember(zone), "patch", {{QLatin1String("packing"), QLatin1String("spread")}});
        }
        if (i == ShortRequestCount / 2 && zone.leader() >= 0) {
            zone.stopGracefully(zone.leader());
        }
    }
}

} // namespace

const char *nameOf(Fault fault)
{
    static constexpr std::array Names = {"process-dies",
                                         "process-pauses",
                                         "paused-past-lease",
                                         "cut-from-peers",
                                         "cut-from-log",
                                         "cut-from-workers",
                                         "worker-lost",
                                         "rack-lost",
                                         "log-down",
                                         "log-slow",
                                         "log-answers-lost",
                                         "start-answers-lost",
                                         "worker-fails-all",
                                         "cancellation-wave",
                                         "rival-patches",
                                         "flood-of-least-urgent",
                                         "flood-of-most-urgent"};
    return Names[static_cast<std::size_t>(fault)];
}

const char *nameOf(Step step)
{
    static constexpr std::array Names = {"submit", "claim", "dispatch", "renew", "finish", "answer", "takeover", "patch", "snapshot", "stop"};
    return Names[static_cast<std::size_t>(step)];
}

std::string CellResult::toString() const
{
    std::ostringstream out;
    out << (wasInjected ? "" : "fault not injected ") << (settled ? "" : "not settled ") << (servesAfterwards ? "" : "does not serve afterwards ");
    for (const auto &it : violations) {
        out << "[" << marjoramhaven::nameOf(it.invariant) << ": " << it.detail << "] ";
    }
    out << "done " << done << " not-run " << notRun << " unknown " << unknown;
    return out.str();
}

CellResult runCell(const std::vector<std::pair<Fault, Step>> &faults, std::uint64_t seed)
{
    ZoneSimulation zone(seed);
    CellResult out;
    std::size_t injectedCount = 0;
    std::vector<int> countdown;
    for (std::size_t i = 0; i < faults.size(); ++i) {
        countdown.push_back(1 + static_cast<int>(zone.random()() % 3));
    }
    const auto longest = std::max(FaultDuration, LongPauseDuration);
    zone.onStep = [&](Step step, int member) {
        for (std::size_t i = 0; i < faults.size(); ++i) {
            // Takeovers, patches, snapshots and stops are rare, so the fault is injected at the first one.
            const bool isRare = step == Step::Takeover || step == Step::Patch || step == Step::Snapshot || step == Step::Stop;
            if (faults[i].second != step || member < 0 || countdown[i] <= 0 || (countdown[i]-- > 1 && !isRare)) {
                continue;
            }
            countdown[i] = 0;
            ++injectedCount;
            zone.post([&zone, fault = faults[i].first, member]() {
                injectFault(zone, fault, member);
            });
        }
    };
    // Lets the zone elect a leader first; a fault at Step::Takeover may already hit this election.
    zone.run(Millis(1500));
    runWorkload(zone);
    Millis longestFault {0};
    for (const auto &[fault, step] : faults) {
        longestFault = std::max(longestFault, durationOf(fault));
    }
    zone.run(std::min(longestFault, longest));
    zone.onStep = {};
    zone.heal();
    const auto healedAt = zone.now();
    out.wasInjected = injectedCount == faults.size();
    zone.runUntil(
        [&]() {
            return zone.leader() >= 0;
        },
        Millis(20'000));
    // The job can be cancelled only after it was accepted.
    zone.runUntil(
        [&]() {
            return zone.replicatedState(randomServingMember(zone)).jobs().job("service").has_value();
        },
        Millis(20'000));
    zone.cancelJob(randomServingMember(zone), "service");
    out.settled = zone.runUntil(
        [&]() {
            return zone.answered() == zone.sent() && zone.jobsFinished();
        },
        Millis(60'000));
    // Members find out at their next attempt that a connection works again. Only then is a probe request required to succeed.
    zone.runUntil(
        [&]() {
            return zone.now() >= healedAt + ReconnectBound;
        },
        ReconnectBound);
    const int doneBefore = zone.answeredAs(ObservedAnswer::Done);
    zone.sendShortRequest(randomServingMember(zone), makeSpec("probe", JobKind::ShortRequest, "urgent", 1, 10));
    zone.run(Millis(1100));
    out.servesAfterwards = zone.answeredAs(ObservedAnswer::Done) == doneBefore + 1;
    out.violations = zone.check();
    out.done = zone.answeredAs(ObservedAnswer::Done);
    out.notRun = zone.answeredAs(ObservedAnswer::NotRun);
    out.unknown = zone.answeredAs(ObservedAnswer::Unknown);
    return out;
}

} // namespace marjoramhaven::test
