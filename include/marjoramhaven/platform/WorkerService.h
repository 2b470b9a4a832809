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

/// Identifies one attempt to run a task. A worker runs an attempt at most once.
struct AttemptId {
    std::string task;
    std::int64_t number = 0;

    friend bool operator==(const AttemptId &, const AttemptId &) = default;
    friend bool operator<(const AttemptId &a, const AttemptId &b) { return a.task != b.task ? a.task < b.task : a.number < b.number; }
};

/// The state of an attempt at a worker.
enum class AttemptState {
    /// The worker never received the attempt, or has forgotten it.
    NotKnown,
    Running,
    Ended,
    /// The attempt has not run at this worker and never will.
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
    /// The label of the StartRequest, unchanged.
    std::string label;
    TaskOutcome outcome = TaskOutcome::Done;
    std::string result;
};

/// The response to opening a session, with the worker's capacity and all its attempts.
struct OpenSessionResponse {
    /// The fencing token of the session. It increases with every session that is opened at this worker, and starts under an older session are refused.
    std::int64_t session = 0;
    /// The worker's own clock in milliseconds.
    std::int64_t clock = 0;
    Resources capacity;
    std::vector<AttemptReport> attempts;
};

/// Extends the leases of all attempts at a worker and asks for the attempts that have ended.
struct RenewRequest {
    std::int64_t session = 0;
    /// New expiry time of every lease, in milliseconds on the worker's clock.
    std::int64_t leaseUntil = 0;
    /// Ended attempts whose reports the sender has processed; the worker may forget them.
    std::vector<AttemptId> acknowledged;
    /// How long the worker may delay its response while no attempt has ended (long polling).
    Millis wait {0};
};

/// The response to a RenewRequest.
struct RenewResponse {
    /// False when a newer session exists; no lease was extended then.
    bool isCurrent = false;
    /// The worker's clock in milliseconds.
    std::int64_t clock = 0;
    /// Attempts that have ended and are not acknowledged yet.
    std::vector<AttemptReport> ended;
    /// Measured resource usage of all running tasks; it lags behind the actual usage.
    Resources usage;
};

/// A request to start an attempt.
struct StartRequest {
    std::int64_t session = 0;
    AttemptId attempt;
    Resources reservation;
    /// The worker refuses the start after this time, in milliseconds on its clock.
    std::int64_t notAfter = 0;
    /// Expiry time of the attempt's first lease, in milliseconds on the worker's clock.
    std::int64_t leaseUntil = 0;
    /// Opaque text that the worker returns in its reports.
    std::string label;
    /// Description of the work to do.
    QJsonObject work;
    /// Whether the worker responds only when the attempt has ended; otherwise it responds when the attempt has started.
    bool awaitEnd = false;
};

/// The response to a StartRequest.
struct StartResponse {
    /// The state is Running or Ended, or Closed when the worker refused the start.
    AttemptReport report;
    /// Why the worker refused the start.
    std::string reason;
};

/// The interface of one worker. A callback receives std::nullopt when there was no response; it is then unknown whether the call took effect.
class WorkerService
{
public:
    virtual ~WorkerService() = default;

    /// The TimePoint of each callback is the time at which the response arrived or the call failed.
    using OpenDone = std::function<void(std::optional<OpenSessionResponse>, TimePoint)>;
    using RenewDone = std::function<void(std::optional<RenewResponse>, TimePoint)>;
    using StartDone = std::function<void(std::optional<StartResponse>, TimePoint)>;
    using ReportDone = std::function<void(std::optional<AttemptReport>, TimePoint)>;

    /// Opens a session for the entry process named `owner`.
    virtual void open(const std::string &owner, OpenDone done) = 0;
    /// Extends all leases and collects the attempts that have ended.
    virtual void renew(const RenewRequest &request, RenewDone done) = 0;
    /// Starts an attempt. The call is idempotent: for an attempt that runs or has ended, it only reports the attempt.
    virtual void start(const StartRequest &request, StartDone done) = 0;
    /// Closes an attempt that has not started, so that it never will. For an attempt that has started, it only reports the attempt.
    virtual void close(const AttemptId &attempt, ReportDone done) = 0;
    /// Stops a running attempt and reports its end.
    virtual void stop(std::int64_t session, const AttemptId &attempt, ReportDone done) = 0;
};

/// Provides the interface of each worker.
class WorkerDirectory
{
public:
    virtual ~WorkerDirectory() = default;

    /// Returns the interface of the worker with a base URL. The reference stays valid as long as the directory.
    virtual WorkerService &worker(const std::string &url) = 0;
};

} // namespace marjoramhaven
