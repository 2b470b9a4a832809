#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "marjoramhaven/base/EnumNames.h"
#include "marjoramhaven/base/Time.h"
#include "marjoramhaven/fleet/FleetState.h"

namespace marjoramhaven {

/// What keeps a worker from running one more task of a step.
enum class FitObstacle {
    /// Nothing: a task may start there now.
    None,
    /// The worker is of another service or lacks the label that the step requires.
    Unsuited,
    /// The worker is too small, or runs that last leave too little room.
    NeverRoom,
    /// The advisor does not allow the worker.
    Forbidden,
    /// The worker has as many runs of the step as one worker may have.
    Spread,
    /// Other runs take up the room until they end.
    Room,
    /// The free room is held for a gang.
    Held,
    /// The advisor has not issued a ticket, or the ticket has expired.
    Ticket,
};

template<>
struct EnumTable<FitObstacle> {
    static constexpr EnumName<FitObstacle> Rows[] = {
        {FitObstacle::None, "none"},
        {FitObstacle::Unsuited, "unsuited"},
        {FitObstacle::NeverRoom, "never-room"},
        {FitObstacle::Forbidden, "forbidden"},
        {FitObstacle::Spread, "spread"},
        {FitObstacle::Room, "room"},
        {FitObstacle::Held, "held"},
        {FitObstacle::Ticket, "ticket"},
    };
};

/// Tells which workers may run a task of one step at one moment, and what keeps the others from it.
///
/// All that chooses, asks about, holds or empties workers for a step asks here, so that no worker counts as usable for one of them and not for another. What
/// depends on the single task is not decided here: where starts of it were given up, and where it has failed.
class StepFit
{
public:
    /// Describes step `number` of an occurrence of a job; all of these must outlive this object.
    StepFit(const FleetState &state, const FleetJob &job, int occurrence, int number, const FleetStep &step, TimePoint now);

    /// Returns the name of the step in requests to the advisor.
    const std::string &name() const;
    /// Returns the resources that one task takes up.
    const FleetResources &needs() const { return m_needs; }
    /// Returns true if the service and the labels of a worker suit the step.
    bool isSuited(const FleetWorker &worker) const { return FleetState::isEligible(worker, *m_job, *m_spec); }
    /// Returns true if a worker suits the step and has room for a task now. The task may still lack a ticket.
    bool hasRoom(const FleetWorker &worker) const { return hasRoomIfSuited(worker) && isSuited(worker); }
    /// The same for a worker that is known to suit the step.
    bool hasRoomIfSuited(const FleetWorker &worker) const
    {
        return worker.hasRoomFor(m_needs) && (!worker.hold || m_needs.fitIn(freeOn(worker))) && !isFull(worker);
    }
    /// Returns how many tasks have room on a worker now.
    std::size_t slots(const FleetWorker &worker) const;
    /// Returns true if a task has room on a worker now or will have once the runs there that end by themselves have ended.
    bool mayHaveRoom(const FleetWorker &worker) const;
    /// Returns true if a worker has as many runs of the step as one worker may have.
    bool isFull(const FleetWorker &worker) const { return m_spec->maxPerWorker > 0 && runsOn(worker) >= m_spec->maxPerWorker; }
    /// Returns what the advisor has said of a worker; `Allowed` if the queue needs no advice.
    AdviceCache::Verdict verdict(const FleetWorker &worker) const;
    /// Returns true if a start on a worker needs no ticket or has a valid one.
    bool isAllowed(const FleetWorker &worker) const { return verdict(worker) == AdviceCache::Verdict::Allowed; }
    /// Returns what keeps a worker from running one more task now; of several obstacles the one that lasts longest.
    FitObstacle obstacle(const FleetWorker &worker) const;

    /// Returns the resources of a worker that the step may use now: the free ones without those that are held for a gang, unless a task would have ended before
    /// the gang probably starts.
    FleetResources freeOn(const FleetWorker &worker) const;
    /// Lets the step use what is held for gangs.
    void ignoreHolds() { m_ignoresHolds = true; }

    /// Counts one more run of the step on a worker, or takes one back.
    void addRun(const FleetWorker &worker) { changeRuns(worker, 1); }
    void removeRun(const FleetWorker &worker) { changeRuns(worker, -1); }

private:
    // Returns true if a task that starts now has probably ended by then.
    bool endsBefore(TimePoint time) const;
    // Returns how many runs of the step are on a worker.
    int runsOn(const FleetWorker &worker) const;
    void changeRuns(const FleetWorker &worker, int by);
    const std::map<std::string, int> &runsPerWorker() const;

    const FleetState *m_state;
    const FleetJob *m_job;
    int m_occurrence;
    int m_number;
    const FleetStep *m_step;
    const StepSpec *m_spec;
    TimePoint m_now;
    FleetResources m_needs;
    bool m_ignoresHolds = false;
    // Made when first needed, as most steps that wait find no room at all.
    mutable std::string m_name;
    mutable std::optional<std::map<std::string, int>> m_runsPerWorker;
};

} // namespace marjoramhaven
