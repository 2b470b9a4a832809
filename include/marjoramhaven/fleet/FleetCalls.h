#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "marjoramhaven/base/EnumNames.h"
#include "marjoramhaven/fleet/FleetJob.h"

namespace marjoramhaven {

/// Where a call to a worker goes.
struct WorkerTarget {
    std::string id;
    std::string host;
    int port = 0;
};

/// How a worker answered an order.
enum class OrderOutcome {
    /// Done, or already so.
    Done,
    /// Refused: a holder with a higher fencing token has taken over.
    Fenced,
    /// Refused: the run is not newer than one that the worker has stopped or lastSeenEnd end.
    Stale,
    /// Refused: the order came after its lease.
    Late,
    /// Refused: it does not fit.
    NoRoom,
    /// Refused: the advice is missing or has expired.
    NoTicket,
    /// Refused: another incarnation of the worker answers at this address.
    OtherIncarnation,
    /// Refused by an unhealthy worker; nothing was done.
    Unhealthy,
    /// Refused as malformed.
    Invalid,
    /// No answer: done, not done, or done later.
    Unknown,
    /// Surely never reached the worker.
    Unsent,
};

template<>
struct EnumTable<OrderOutcome> {
    static constexpr EnumName<OrderOutcome> Rows[] = {
        {OrderOutcome::Done, "done"},
        {OrderOutcome::Fenced, "fenced"},
        {OrderOutcome::Stale, "stale"},
        {OrderOutcome::Late, "late"},
        {OrderOutcome::NoRoom, "no-room"},
        {OrderOutcome::NoTicket, "no-ticket"},
        {OrderOutcome::OtherIncarnation, "other-incarnation"},
        {OrderOutcome::Unhealthy, "unhealthy"},
        {OrderOutcome::Invalid, "invalid"},
        {OrderOutcome::Unknown, "unknown"},
        {OrderOutcome::Unsent, "unsent"},
    };
};

/// Starts a run of a task.
struct StartOrder {
    WorkerTarget worker;
    FleetTaskId task;
    std::int64_t attempt = 0;
    std::string payload;
    /// On the worker's own clock, in milliseconds; the lease that the run starts under.
    std::int64_t leaseUntilMs = 0;
    std::int64_t fence = 0;
    std::string checkpoint;
    std::string ticket;
};

/// Stops a run.
struct StopOrder {
    WorkerTarget worker;
    FleetTaskId task;
    std::int64_t attempt = 0;
    std::int64_t fence = 0;
};

/// Lets a run work at a share of its speed.
struct PaceOrder {
    WorkerTarget worker;
    FleetTaskId task;
    std::int64_t attempt = 0;
    int percent = 100;
    std::int64_t fence = 0;
};

/// Renews a worker's lease and asks what runs and what has ended.
struct HoldOrder {
    WorkerTarget worker;
    /// On the worker's own clock; 0 leaves the lease as it is.
    std::int64_t leaseUntilMs = 0;
    std::int64_t fence = 0;
    /// The worker forgets ends up to this number.
    std::int64_t acknowledged = 0;
    /// The answer waits up to this long for an end.
    Millis wait {0};
};

/// The answer to a start, stop or pace.
struct OrderAnswer {
    OrderOutcome outcome = OrderOutcome::Unknown;
    /// The worker's clock in milliseconds; 0 when it was not told.
    std::int64_t workerClockMs = 0;
    std::string reason;
};

/// How a run ended.
enum class RunEnd {
    Done,
    Failed,
    Stopped,
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited in vain for the other members of its gang.
    Alone,
};

template<>
struct EnumTable<RunEnd> {
    static constexpr EnumName<RunEnd> Rows[] = {
        {RunEnd::Done, "done"},
        {RunEnd::Failed, "failed"},
        {RunEnd::Stopped, "stopped"},
        {RunEnd::Lapsed, "lapsed"},
        {RunEnd::Broken, "broken"},
        {RunEnd::Alone, "alone"},
    };
};

/// A run that a worker lists as running.
struct RunningRow {
    FleetTaskId task;
    std::int64_t attempt = 0;
    std::string checkpoint;
    int percent = 0;
    /// A lasting task's tail response time in milliseconds; for other tasks the processor use in thousandths of a core. Covers the last half second.
    double usage = 0;
};

/// A run that a worker lists as ended.
struct EndedRow {
    std::int64_t number = 0;
    FleetTaskId task;
    std::int64_t attempt = 0;
    RunEnd end = RunEnd::Failed;
    std::string checkpoint;
};

/// What a worker says of its runs.
struct HoldAnswer {
    OrderOutcome outcome = OrderOutcome::Unknown;
    std::int64_t workerClockMs = 0;
    /// Start of this incarnation in milliseconds since the Unix epoch; 0 when it was not told.
    std::int64_t bornMs = 0;
    std::vector<RunningRow> running;
    std::vector<EndedRow> ended;
    std::string reason;
};

/// Orders to workers. Calls back on the thread of the caller, exactly once for each call.
class WorkerCalls
{
public:
    virtual ~WorkerCalls() = default;

    virtual void start(const StartOrder &order, Millis timeout, std::function<void(const OrderAnswer &)> done) = 0;
    virtual void stop(const StopOrder &order, Millis timeout, std::function<void(const OrderAnswer &)> done) = 0;
    virtual void pace(const PaceOrder &order, Millis timeout, std::function<void(const OrderAnswer &)> done) = 0;
    virtual void hold(const HoldOrder &order, Millis timeout, std::function<void(const HoldAnswer &)> done) = 0;
};

/// One worker that may run a step.
struct AllowedWorker {
    std::string worker;
    std::string ticket;
};

/// The advisor's answer.
struct AdviceAnswer {
    bool isAnswered = false;
    /// The advisor has too many calls waiting from this machine.
    bool isBusy = false;
    std::vector<AllowedWorker> allowed;
    std::string reason;
};

/// Asks which workers may run a step. The service handles one call at a time for each calling machine.
class AdvisorCalls
{
public:
    virtual ~AdvisorCalls() = default;

    virtual void ask(const std::string &step, const std::vector<std::string> &workers, Millis timeout, std::function<void(const AdviceAnswer &)> done) = 0;
};

/// What a worker tells of itself.
struct WorkerReport {
    std::string id;
    std::string service;
    std::string host;
    int port = 0;
    std::string zone;
    bool isDraining = false;
    /// Least time that a draining worker still has, in milliseconds.
    std::int64_t remainingMs = 0;
    TaskNeeds capacity;
    std::vector<std::string> labels;
    /// The rack that the worker stands in, which is one of its labels; empty when it is not told.
    std::string rack;
    std::int64_t clockMs = 0;
    std::int64_t bornMs = 0;
    std::string machine;
};

} // namespace marjoramhaven
