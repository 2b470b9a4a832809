#pragma once

#include <QJsonObject>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "marjoramhaven/base/EnumNames.h"
#include "marjoramhaven/base/Resources.h"
#include "marjoramhaven/base/Time.h"
#include "marjoramhaven/ledger/LogRecord.h"

namespace marjoramhaven {

/// Names one start of one task. A worker runs an attempt at most once.
struct AttemptId {
    std::string task;
    std::int64_t number = 0;

    friend bool operator==(const AttemptId &, const AttemptId &) = default;
    friend bool operator<(const AttemptId &a, const AttemptId &b) { return a.task != b.task ? a.task < b.task : a.number < b.number; }
};

/// What a worker says of an attempt.
enum class AttemptState {
    /// The worker never had it, or no longer remembers it.
    NotKnown,
    Running,
    Ended,
    /// It did not run here and never will.
    Closed,
};

template<>
struct EnumTable<AttemptState> {
    static constexpr EnumName<AttemptState> Rows[] = {
        {AttemptState::NotKnown, "not-known"},
        {AttemptState::Running, "running"},
        {AttemptState::Ended, "ended"},
        {AttemptState::Closed, "closed"},
    };
};

/// An attempt as a worker reports it.
struct AttemptReport {
    AttemptId attempt;
    AttemptState state = AttemptState::Running;
    Resources reservation;
    /// The label given with the start, returned untouched.
    std::string label;
    TaskOutcome outcome = TaskOutcome::Done;
    std::string result;
};

/// The answer to opening a session: the worker's whole inventory.
struct SessionOpened {
    /// Grows with every session opened at this worker. Starts under an older one are refused.
    std::int64_t session = 0;
    /// The worker's own clock in milliseconds.
    std::int64_t clock = 0;
    Resources capacity;
    std::vector<AttemptReport> attempts;
};

/// Extends the leases of all tasks of a worker and collects ends.
struct RenewRequest {
    std::int64_t session = 0;
    /// New end of every lease, on the worker's clock.
    std::int64_t leaseUntil = 0;
    /// Ended attempts that the worker may forget.
    std::vector<AttemptId> acknowledged;
    /// The worker may hold its answer this long while there is nothing to tell.
    Millis wait {0};
};

/// The answer to a renewal.
struct Renewed {
    /// False when a newer session exists; nothing was extended.
    bool current = false;
    std::int64_t clock = 0;
    /// Attempts that ended and are not acknowledged yet.
    std::vector<AttemptReport> ended;
    /// Measured use of all running tasks; it lags.
    Resources usage;
};

/// Starts an attempt.
struct StartRequest {
    std::int64_t session = 0;
    AttemptId attempt;
    Resources reservation;
    /// The start is refused after this instant on the worker's clock.
    std::int64_t notAfter = 0;
    /// End of the first lease, on the worker's clock.
    std::int64_t leaseUntil = 0;
    std::string label;
    QJsonObject work;
    /// True to be answered when the attempt ends, false when it has started.
    bool awaitEnd = false;
};

/// The answer to a start.
struct Started {
    /// Running or Ended, or Closed when the worker refused.
    AttemptReport report;
    /// Why the worker refused.
    std::string reason;
};

/// The interface of one worker. Calls with no answer call back with nothing: their effect is then not known.
class WorkerService
{
public:
    virtual ~WorkerService() = default;

    using OpenDone = std::function<void(std::optional<SessionOpened>, TimePoint)>;
    using RenewDone = std::function<void(std::optional<Renewed>, TimePoint)>;
    using StartDone = std::function<void(std::optional<Started>, TimePoint)>;
    using ReportDone = std::function<void(std::optional<AttemptReport>, TimePoint)>;

    /// Opens a session in the name of an entry process.
    virtual void open(const std::string &owner, OpenDone done) = 0;
    virtual void renew(const RenewRequest &request, RenewDone done) = 0;
    /// Starts an attempt. Sent again for an attempt that runs or ended, it reports that one.
    virtual void start(const StartRequest &request, StartDone done) = 0;
    /// Closes an attempt that has not started, so that it never will; reports one that has.
    virtual void close(const AttemptId &attempt, ReportDone done) = 0;
    /// Stops a running attempt and reports its end.
    virtual void stop(std::int64_t session, const AttemptId &attempt, ReportDone done) = 0;
};

/// Gives the interface of the worker at a base URL.
class WorkerDirectory
{
public:
    virtual ~WorkerDirectory() = default;

    /// The worker's interface; lives as long as the directory.
    virtual WorkerService &worker(const std::string &url) = 0;
};

} // namespace marjoramhaven
