#pragma once

#include <functional>
#include <string>

#include "marjoramhaven/base/EnumNames.h"
#include "marjoramhaven/fleet/FleetJob.h"

namespace marjoramhaven {

/// Outcome of a job submission, or of a cancellation.
enum class SubmitOutcome {
    /// The request is stored.
    Accepted,
    /// The request is not stored and never will be; the caller may retry after the given time.
    Refused,
    /// The request can never be stored, whenever it is sent; the reason names the limit.
    Invalid,
    /// The request may be stored, now or later; the caller retries with the same id.
    Unknown,
};

template<>
struct EnumTable<SubmitOutcome> {
    static constexpr EnumName<SubmitOutcome> Rows[] = {
        {SubmitOutcome::Accepted, "accepted"},
        {SubmitOutcome::Refused, "refused"},
        {SubmitOutcome::Invalid, "invalid"},
        {SubmitOutcome::Unknown, "unknown"},
    };
};

/// Answer to a job submission, or to a cancellation.
struct SubmitResult {
    SubmitOutcome outcome = SubmitOutcome::Unknown;
    Millis retryAfter {0};
    std::string reason;
};

/// Outcome of a query for a job's state.
enum class QueryOutcome {
    Known,
    NoSuchJob,
    /// No process that knows the job's state answered in time.
    Unavailable,
};

/// Answer to a query for a job's state.
struct QueryResult {
    QueryOutcome outcome = QueryOutcome::Unavailable;
    FleetJobState state = FleetJobState::Queued;
};

/// Answer to a query for the backlog of a queue.
struct PendingJobsResult {
    bool isKnown = false;
    /// Accepted jobs of the queue none of whose tasks has started.
    std::int64_t pending = 0;
};

/// Outcome of looking up the queue that a request names.
enum class RouteOutcome {
    Found,
    NoSuchQueue,
    /// This process knows no such queue, but a newer configuration may have it.
    Unproven,
    /// A newer configuration has been known for so long that the one in force in this process must not be used.
    Outdated,
    /// This process has no configuration yet.
    NoConfiguration,
};

template<>
struct EnumTable<RouteOutcome> {
    static constexpr EnumName<RouteOutcome> Rows[] = {
        {RouteOutcome::Found, "found"},
        {RouteOutcome::NoSuchQueue, "no-such-queue"},
        {RouteOutcome::Unproven, "unproven"},
        {RouteOutcome::Outdated, "outdated"},
        {RouteOutcome::NoConfiguration, "no-configuration"},
    };
};

/// The queue that a request names.
struct RouteResult {
    RouteOutcome outcome = RouteOutcome::NoConfiguration;
    /// The queue if it was found, else nullptr. Valid until the configuration changes.
    const QueuePolicy *queue = nullptr;
};

/// Serves the requests of API callers. Each call invokes its callback exactly once, within the time budget.
class JobService
{
public:
    virtual ~JobService() = default;

    /// Looks up the queue with the longest prefix of the path under the host.
    virtual RouteResult route(const std::string &host, const std::string &path, TimePoint now) = 0;
    virtual void submit(FleetJobRequest request, Millis budget, std::function<void(const SubmitResult &)> done) = 0;
    /// Returns true when an earlier submission of the job is stored, or may be, so that a refusal would wrongly tell the caller that the job never runs.
    virtual bool mayBeStored(const std::string &job, TimePoint now) const = 0;
    virtual void query(const std::string &job, Millis budget, std::function<void(const QueryResult &)> done) = 0;
    virtual void cancel(const std::string &job, Millis budget, std::function<void(const SubmitResult &)> done) = 0;
    virtual void pending(const QueuePolicy &queue, Millis budget, std::function<void(const PendingJobsResult &)> done) = 0;
};

} // namespace marjoramhaven
