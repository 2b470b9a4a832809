#include "FaultMatrix.h"

#include <sstream>

#include "marjoramhaven/base/Json.h"

namespace marjoramhaven::test {

namespace {

constexpr Millis FaultLasts {3000};
constexpr Millis PauseLasts {6000};
constexpr Millis HealedWithin {3000};
constexpr int Shorts = 60;

JobSpec spec(const std::string &id, JobKind kind, const char *urgency, int tasks, int runMs)
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

// A member that can be talked to; callers find one through the balancer.
int someMember(FakeZone &zone)
{
    const int first = static_cast<int>(zone.random()() % FakeZone::Members);
    for (int i = 0; i < FakeZone::Members; ++i) {
        const int member = (first + i) % FakeZone::Members;
        if (zone.takesWork(member)) {
            return member;
        }
    }
    return first;
}

void flood(FakeZone &zone, const char *urgency)
{
    for (int i = 0; i < 100; ++i) {
        zone.sendShort(someMember(zone), spec("flood-" + std::to_string(i) + urgency, JobKind::ShortRequest, urgency, 1, 100));
    }
}

void strike(FakeZone &zone, Fault fault, int member)
{
    const int worker = static_cast<int>(zone.random()() % FakeZone::Workers);
    switch (fault) {
    case Fault::ProcessDies:
        zone.kill(member);
        break;
    case Fault::ProcessPauses:
    case Fault::PausedPastLease:
        zone.pause(member, true);
        break;
    case Fault::CutFromPeers:
        zone.cutPeers(member, true);
        break;
    case Fault::CutFromLog:
        zone.cutLog(member, true);
        break;
    case Fault::CutFromWorkers:
        zone.cutWorkers(member, true);
        break;
    case Fault::WorkerLost:
        zone.loseWorker(worker);
        break;
    case Fault::RackLost:
        for (int i = 0; i < FakeZone::Workers / 2; ++i) {
            zone.loseWorker(i);
        }
        break;
    case Fault::LogDown:
        zone.setLogDown(true);
        break;
    case Fault::LogSlow:
        zone.setLogSlow(true);
        break;
    case Fault::LogAnswersLost:
        zone.setLogLosesAnswers(true);
        break;
    case Fault::StartAnswersLost:
        zone.setStartsLoseAnswers(true);
        break;
    case Fault::WorkerFailsAll:
        zone.setFailsAll(worker, true);
        break;
    case Fault::CancellationWave:
        for (const char *id : {"batch", "together", "once"}) {
            zone.cancelJob(someMember(zone), id);
        }
        break;
    case Fault::RivalPatches:
        for (int i = 0; i < FakeZone::Members; ++i) {
            zone.sendPatch(i, "rival-" + std::to_string(i), {{QLatin1String("packing"), QLatin1String(i % 2 == 0 ? "spread" : "tight")}});
        }
        break;
    case Fault::FloodOfLeastUrgent:
        flood(zone, "background");
        break;
    case Fault::FloodOfMostUrgent:
        flood(zone, "urgent");
        break;
    }
}

Millis lastingOf(Fault fault)
{
    return fault == Fault::PausedPastLease ? PauseLasts : FaultLasts;
}

void runWorkload(FakeZone &zone)
{
    zone.submitJob(someMember(zone), spec("batch", JobKind::Batch, "background", 8, 300));
    zone.submitJob(someMember(zone), spec("together", JobKind::AllAtOnce, "standard", 4, 500));
    auto once = spec("once", JobKind::Batch, "standard", 3, 200);
    once.repeatable = false;
    zone.submitJob(someMember(zone), once);
    zone.submitJob(someMember(zone), spec("service", JobKind::Service, "background", 2, 1'000'000));
    for (int i = 0; i < Shorts; ++i) {
        auto request = spec("short-" + std::to_string(i), JobKind::ShortRequest, i % 2 == 0 ? "urgent" : "standard", 1, 40);
        request.repeatable = i % 3 != 0;
        zone.sendShort(someMember(zone), request);
        if (i % 10 == 5) {
            // The caller lost patience and sends the same request through another process.
            zone.sendShort(someMember(zone), request);
        }
        zone.run(Millis(50));
        if (i == Shorts / 3) {
            zone.sendPatch(someMember(zone), "patch", {{QLatin1String("packing"), QLatin1String("spread")}});
        }
        if (i == Shorts / 2 && zone.leader() >= 0) {
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
    out << (struck ? "" : "not struck ") << (settled ? "" : "not settled ") << (servesAfterwards ? "" : "does not serve afterwards ");
    for (const auto &it : breaches) {
        out << "[" << marjoramhaven::nameOf(it.promise) << ": " << it.detail << "] ";
    }
    out << "done " << done << " not-run " << notRun << " unknown " << unknown;
    return out.str();
}

CellResult runCell(const std::vector<std::pair<Fault, Step>> &faults, std::uint64_t seed)
{
    FakeZone zone(seed);
    CellResult out;
    std::size_t struckCount = 0;
    std::vector<int> countdown;
    for (std::size_t i = 0; i < faults.size(); ++i) {
        countdown.push_back(1 + static_cast<int>(zone.random()() % 3));
    }
    const auto longest = std::max(FaultLasts, PauseLasts);
    zone.onStep = [&](Step step, int member) {
        for (std::size_t i = 0; i < faults.size(); ++i) {
            // Takeovers, patches, snapshots and stops are few: the first one counts.
            const bool rare = step == Step::Takeover || step == Step::Patch || step == Step::Snapshot || step == Step::Stop;
            if (faults[i].second != step || member < 0 || countdown[i] <= 0 || (countdown[i]-- > 1 && !rare)) {
                continue;
            }
            countdown[i] = 0;
            ++struckCount;
            zone.soon([&zone, fault = faults[i].first, member]() {
                strike(zone, fault, member);
            });
        }
    };
    // Zones begin with a leader, but the fault may strike the very first takeover.
    zone.run(Millis(1500));
    runWorkload(zone);
    Millis lasting {0};
    for (const auto &[fault, step] : faults) {
        lasting = std::max(lasting, lastingOf(fault));
    }
    zone.run(std::min(lasting, longest));
    zone.onStep = {};
    zone.heal();
    const auto healedAt = zone.now();
    out.struck = struckCount == faults.size();
    zone.runUntil(
        [&]() {
            return zone.leader() >= 0;
        },
        Millis(20'000));
    // Only a job that was accepted can be cancelled.
    zone.runUntil(
        [&]() {
            return zone.fold(someMember(zone)).jobs().job("service").has_value();
        },
        Millis(20'000));
    zone.cancelJob(someMember(zone), "service");
    out.settled = zone.runUntil(
        [&]() {
            return zone.answered() == zone.sent() && zone.jobsFinished();
        },
        Millis(60'000));
    // A healed link is found at the next try; the bound for the probe begins after that.
    zone.runUntil(
        [&]() {
            return zone.now() >= healedAt + HealedWithin;
        },
        HealedWithin);
    const int before = zone.answeredAs(ToldAnswer::Done);
    zone.sendShort(someMember(zone), spec("probe", JobKind::ShortRequest, "urgent", 1, 10));
    zone.run(Millis(1100));
    out.servesAfterwards = zone.answeredAs(ToldAnswer::Done) == before + 1;
    out.breaches = zone.check();
    out.done = zone.answeredAs(ToldAnswer::Done);
    out.notRun = zone.answeredAs(ToldAnswer::NotRun);
    out.unknown = zone.answeredAs(ToldAnswer::Unknown);
    return out;
}

} // namespace marjoramhaven::test
