#include "marjoramhaven/history/HistoryChecker.h"

#include <algorithm>
#include <limits>
#include <map>

namespace marjoramhaven {

namespace {

constexpr std::int64_t Never = std::numeric_limits<std::int64_t>::max();

std::int64_t endOf(const ObservedRun &run)
{
    return run.endedAt < 0 ? Never : run.endedAt;
}

std::map<std::string, std::vector<const ObservedRun *>> runsByTask(const History &history)
{
    std::map<std::string, std::vector<const ObservedRun *>> out;
    for (const auto &it : history.runs) {
        out[it.task].push_back(&it);
    }
    for (auto &[task, runs] : out) {
        std::sort(runs.begin(), runs.end(), [](const ObservedRun *a, const ObservedRun *b) {
            return a->startedAt < b->startedAt;
        });
    }
    return out;
}

// Checks that at every start of a run, the reservations of all runs on the worker fit into its capacity. A run that ends at the same time as another
// starts is taken to end first. Only the first violation of each worker is reported.
void checkCapacity(const History &history, std::vector<Violation> &out)
{
    for (const auto &worker : history.capacities) {
        struct Event {
            std::int64_t at = 0;
            bool isStart = false;
            const ObservedRun *run = nullptr;
        };
        std::vector<Event> events;
        for (const auto &run : history.runs) {
            if (run.worker == worker.worker) {
                events.push_back({run.startedAt, true, &run});
                events.push_back({endOf(run), false, &run});
            }
        }
        std::stable_sort(events.begin(), events.end(), [](const Event &a, const Event &b) {
            return a.at != b.at ? a.at < b.at : !a.isStart && b.isStart && a.run != b.run;
        });
        Resources used;
        for (const auto &event : events) {
            if (!event.isStart) {
                used -= event.run->reservation;
                continue;
            }
            used += event.run->reservation;
            if (!used.fitsIn(worker.capacity)) {
                out.push_back({Invariant::NoOvercommitment,
                               worker.worker + " runs tasks whose reservations exceed its capacity, starting at " + std::to_string(event.at)});
                break;
            }
        }
    }
}

void checkSinglePlacement(const std::map<std::string, std::vector<const ObservedRun *>> &byTask, std::vector<Violation> &out)
{
    for (const auto &[task, runs] : byTask) {
        for (std::size_t i = 1; i < runs.size(); ++i) {
            if (runs[i]->startedAt < endOf(*runs[i - 1])) {
                out.push_back({Invariant::OnePlaceAtOnce,
                               task + " runs on " + runs[i - 1]->worker + " and " + runs[i]->worker + " at " + std::to_string(runs[i]->startedAt)});
            }
        }
    }
}

// Returns whether another request for the same task, sent before the run began and not answered "not run", can have caused the run. Otherwise the run
// contradicts the "not run" that the client was told.
bool isCausedByAnotherCall(const ObservedRun &run, const ObservedCall &refusedCall, const std::vector<const ObservedCall *> &calls)
{
    return std::any_of(calls.begin(), calls.end(), [&](const ObservedCall *it) {
        return it != &refusedCall && it->answer != ObservedAnswer::NotRun && it->sentAt <= run.startedAt;
    });
}

void checkCalls(const History &history, const std::map<std::string, std::vector<const ObservedRun *>> &byTask, std::vector<Violation> &out)
{
    std::map<std::string, std::vector<const ObservedCall *>> callsById;
    for (const auto &it : history.calls) {
        callsById[it.id].push_back(&it);
    }
    for (const auto &call : history.calls) {
        if (!call.answerId.empty() && call.answerId != call.id) {
            out.push_back({Invariant::WholeOwnAnswer, call.id + " got the answer to " + call.answerId});
        }
        if (call.answer == ObservedAnswer::Done && !call.expected.empty() && call.result != call.expected) {
            out.push_back({Invariant::WholeOwnAnswer, call.id + " got \"" + call.result + "\" instead of \"" + call.expected + "\""});
        }
        const auto runs = byTask.find(call.id);
        if (call.answer == ObservedAnswer::Done && runs == byTask.end()) {
            out.push_back({Invariant::WholeOwnAnswer, call.id + " was told done but never ran"});
        }
        if (call.answer != ObservedAnswer::NotRun || runs == byTask.end()) {
            continue;
        }
        for (const auto *run : runs->second) {
            if (run->startedAt >= call.sentAt && !isCausedByAnotherCall(*run, call, callsById[call.id])) {
                out.push_back({Invariant::NotRunIsTrue, call.id + " was told not run but ran on " + run->worker + " at " + std::to_string(run->startedAt)});
            }
        }
    }
    for (const auto &[id, calls] : callsById) {
        const auto runs = byTask.find(id);
        const bool isAtMostOnce = std::any_of(calls.begin(), calls.end(), [](const ObservedCall *it) {
            return !it->repeatable;
        });
        if (isAtMostOnce && runs != byTask.end() && runs->second.size() > 1) {
            out.push_back({Invariant::AtMostOnce, id + " is not repeatable but ran " + std::to_string(runs->second.size()) + " times"});
        }
    }
}

void checkRemovals(const History &history, const CheckerBounds &bounds, std::vector<Violation> &out)
{
    for (const auto &notice : history.removalNotices) {
        for (const auto &run : history.runs) {
            if (run.worker == notice.worker && run.startedAt > notice.at + bounds.placementGraceMs) {
                out.push_back({Invariant::NoWorkForLeaving,
                               notice.worker + " got task " + run.task + " after its removal was announced, at " + std::to_string(run.startedAt)});
            }
        }
    }
}

void checkVersions(const History &history, std::vector<Violation> &out)
{
    std::map<std::string, ObservedVersion> lastAt;
    std::map<std::int64_t, std::string> hashes;
    for (const auto &it : history.versions) {
        const auto [last, isFirst] = lastAt.try_emplace(it.process, it);
        if (!isFirst) {
            if (it.number < last->second.number) {
                out.push_back(
                    {Invariant::VersionsOnlyRise,
                     it.process + " went from configuration version " + std::to_string(last->second.number) + " back to " + std::to_string(it.number)});
            }
            last->second = it;
        }
        const auto [hash, isNew] = hashes.try_emplace(it.number, it.hash);
        if (!isNew && hash->second != it.hash) {
            out.push_back({Invariant::VersionsAgree, "configuration version " + std::to_string(it.number) + " has a different hash at " + it.process});
        }
    }
}

} // namespace

std::vector<Violation> checkHistory(const History &history, const CheckerBounds &bounds)
{
    std::vector<Violation> out;
    const auto byTask = runsByTask(history);
    checkCapacity(history, out);
    checkSinglePlacement(byTask, out);
    checkCalls(history, byTask, out);
    checkRemovals(history, bounds, out);
    checkVersions(history, out);
    return out;
}

} // namespace marjoramhaven
