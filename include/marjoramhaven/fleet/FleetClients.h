#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "marjoramhaven/base/EnumNames.h"
#include "marjoramhaven/base/Time.h"
#include "marjoramhaven/fleet/FleetJob.h"

namespace marjoramhaven {

/// Id and network address of a worker that a call goes to.
struct WorkerAddress {
    std::string id;
    std::string host;
    int port = 0;
};

/// Outcome of a call to a worker.
enum class WorkerCallOutcome {
    /// The request was carried out, now or by an earlier call.
    Done,
    /// Refused: the worker has seen a higher fencing token, so another leader has taken over.
    Fenced,
    /// Refused: the worker has already stopped or finished a run of the task with this attempt number or a higher one.
    Stale,
    /// Refused: the request arrived after the end of the lease that it carries.
    Late,
    /// Refused: the worker has too few free resources.
    NoRoom,
    /// Refused: the advisor's ticket is missing or has expired.
    NoTicket,
    /// Refused: another incarnation of the worker answers at this address.
    OtherIncarnation,
    /// Refused: the worker is unhealthy and has done nothing.
    Unhealthy,
    /// Refused: the request is malformed.
    Invalid,
    /// No conclusive answer: the request may have been carried out, may be carried out later, or may be lost.
    Unknown,
    /// The request certainly never reached the worker.
    Unsent,
};

template<>
struct EnumTable<WorkerCallOutcome> {
    static constexpr EnumName<WorkerCallOutcome> Rows[] = {
        {WorkerCallOutcome::Done, "done"},
        {WorkerCallOutcome::Fenced, "fenced"},
        {WorkerCallOutcome::Stale, "stale"},
        {WorkerCallOutcome::Late, "late"},
        {WorkerCallOutcome::NoRoom, "no-room"},
        {WorkerCallOutcome::NoTicket, "no-ticket"},
        {WorkerCallOutcome::OtherIncarnation, "other-incarnation"},
        {WorkerCallOutcome::Unhealthy, "unhealthy"},
        {WorkerCallOutcome::Invalid, "invalid"},
        {WorkerCallOutcome::Unknown, "unknown"},
        {WorkerCallOutcome::Unsent, "unsent"},
    };
};

/// Requests a worker to start a run of a task.
struct StartRunRequest {
    WorkerAddress worker;
    FleetTaskId task;
    std::int64_t attempt = 0;
    std::string payload;
    /// End of the lease under which the run starts, in milliseconds on the worker's own clock.
    std::int64_t leaseUntilMs = 0;
    std::int64_t fencingToken = 0;
    std::string checkpoint;
    std::string ticket;
    /// Start of the incarnation that the request is meant for, in milliseconds since the Unix epoch. Not sent to the worker.
    std::int64_t workerStartedUnixMs = 0;
};

/// Requests a worker to stop a run.
struct StopRunRequest {
    WorkerAddress worker;
    FleetTaskId task;
    std::int64_t attempt = 0;
    std::int64_t fencingToken = 0;
    /// Start of the incarnation that the request is meant for, in milliseconds since the Unix epoch. Not sent to the worker.
    std::int64_t workerStartedUnixMs = 0;
};

/// Requests a worker to limit a run to a percentage of its full speed.
struct ThrottleRunRequest {
    WorkerAddress worker;
    FleetTaskId task;
    std::int64_t attempt = 0;
    int percent = 100;
    std::int64_t fencingToken = 0;
};

/// Renews a worker's lease and polls it for its running and ended runs.
struct PollWorkerRequest {
    WorkerAddress worker;
    /// New end of the lease in milliseconds on the worker's own clock; 0 leaves the lease unchanged.
    std::int64_t leaseUntilMs = 0;
    std::int64_t fencingToken = 0;
    /// The worker may discard ended runs up to this number.
    std::int64_t acknowledged = 0;
    /// How long the worker may hold back its answer while no run ends.
    Millis wait {0};
    /// Position of the request among the planner's own events. Not sent to the worker.
    std::int64_t sequence = 0;
};

/// A worker's answer to a request to start, stop or slow down a run.
struct WorkerResponse {
    WorkerCallOutcome outcome = WorkerCallOutcome::Unknown;
    /// The worker's clock in milliseconds; 0 if the answer does not contain it.
    std::int64_t workerClockMs = 0;
    std::string reason;
    /// How often the request was sent; 0 if it was not, or if the worker is not reached over a network.
    int sendings = 0;
};

/// Why a run ended.
enum class RunEnd {
    Done,
    Failed,
    Stopped,
    LeaseExpired,
    /// Another member of its gang ended.
    GangBroken,
    /// The other members of its gang did not start within the gang's time limit.
    GangTimedOut,
};

template<>
struct EnumTable<RunEnd> {
    static constexpr EnumName<RunEnd> Rows[] = {
        {RunEnd::Done, "done"},
        {RunEnd::Failed, "failed"},
        {RunEnd::Stopped, "stopped"},
        {RunEnd::LeaseExpired, "lapsed"},
        {RunEnd::GangBroken, "broken"},
        {RunEnd::GangTimedOut, "alone"},
    };
};

/// An entry of a worker's list of running runs.
struct RunningRunInfo {
    FleetTaskId task;
    std::int64_t attempt = 0;
    std::string checkpoint;
    int percent = 0;
    /// Tail response time of a long-running task in milliseconds; for other tasks the CPU usage in thousandths of a core. Covers the last half second.
    double usage = 0;
};

/// An entry of a worker's list of ended runs, which it keeps until they are acknowledged.
struct EndedRunInfo {
    /// Position in the worker's list; rises with each ended run and restarts at 1 with each incarnation.
    std::int64_t number = 0;
    FleetTaskId task;
    std::int64_t attempt = 0;
    RunEnd end = RunEnd::Failed;
    std::string checkpoint;
};

/// A worker's answer to a poll.
struct PollWorkerResponse {
    WorkerCallOutcome outcome = WorkerCallOutcome::Unknown;
    std::int64_t workerClockMs = 0;
    /// Start of this incarnation in milliseconds since the Unix epoch; 0 if the answer does not contain it.
    std::int64_t startedUnixMs = 0;
    std::vector<RunningRunInfo> running;
    std::vector<EndedRunInfo> ended;
    /// False if the worker may have runs, or ends of runs, that the lists lack. The absence of a run then proves nothing.
    bool isComplete = true;
    std::string reason;
};

/// Time limit of a request to a worker.
struct CallLimit {
    /// Time limit for the whole call.
    Millis timeout {0};
    /// When the request was decided on. If set, the request is not sent later than `timeout` after that, even if the process stood still in between.
    std::optional<TimePoint> decidedAt {};
};

/// Client for the API of workers. Each call invokes its callback exactly once, on the caller's thread.
class WorkerClient
{
public:
    virtual ~WorkerClient() = default;

    virtual void start(const StartRunRequest &request, const CallLimit &limit, std::function<void(const WorkerResponse &)> done) = 0;
    virtual void stop(const StopRunRequest &request, const CallLimit &limit, std::function<void(const WorkerResponse &)> done) = 0;
    virtual void throttle(const ThrottleRunRequest &request, const CallLimit &limit, std::function<void(const WorkerResponse &)> done) = 0;
    virtual void poll(const PollWorkerRequest &request, const CallLimit &limit, std::function<void(const PollWorkerResponse &)> done) = 0;
};

/// A worker that the advisor allows to run a step, with the ticket to present to it.
struct AllowedWorker {
    std::string worker;
    std::string ticket;
};

/// The advisor's answer on the workers of one step.
struct AdviceResponse {
    bool isAnswered = false;
    /// True if the advisor refused the request because too many requests from this machine are waiting.
    bool isBusy = false;
    std::vector<AllowedWorker> allowed;
    std::string reason;
};

/// Client for the advisor, which decides which workers may run a step. It handles one request at a time for each calling machine.
class AdvisorClient
{
public:
    virtual ~AdvisorClient() = default;

    /// Asks which of these workers may run the step. Invokes the callback exactly once, on the caller's thread.
    virtual void ask(const std::string &step, const std::vector<std::string> &workers, Millis timeout, std::function<void(const AdviceResponse &)> done) = 0;
};

/// A worker's description of itself, from its entry in the platform's log.
struct WorkerReport {
    std::string id;
    std::string service;
    std::string host;
    int port = 0;
    std::string zone;
    bool isDraining = false;
    /// Minimum time until a draining worker stops, in milliseconds.
    std::int64_t remainingMs = 0;
    FleetResources capacity;
    std::vector<std::string> labels;
    /// The worker's rack, which is also one of its labels; empty if unknown.
    std::string rack;
    /// The worker's own clock in milliseconds.
    std::int64_t clockMs = 0;
    /// Start of this incarnation in milliseconds since the Unix epoch.
    std::int64_t startedUnixMs = 0;
    std::string machine;
};

} // namespace marjoramhaven
