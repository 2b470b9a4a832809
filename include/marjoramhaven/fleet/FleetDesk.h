#pragma once

#include <functional>
#include <string>

#include "marjoramhaven/base/EnumNames.h"
#include "marjoramhaven/fleet/FleetJob.h"

namespace marjoramhaven {

/// How a submission ended.
enum class SubmitVerdict {
    /// Stored.
    Accepted,
    /// Not stored and never will be; the caller may come back after the given time.
    Refused,
    /// It may be stored, now or later; the caller asks again with the same id.
    Unknown,
};

template<>
struct EnumTable<SubmitVerdict> {
    static constexpr EnumName<SubmitVerdict> Rows[] = {
        {SubmitVerdict::Accepted, "accepted"},
        {SubmitVerdict::Refused, "refused"},
        {SubmitVerdict::Unknown, "unknown"},
    };
};

struct SubmitAnswer {
    SubmitVerdict verdict = SubmitVerdict::Unknown;
    Millis retryAfter {0};
    std::string reason;
};

/// What is known of a job or a cancellation.
enum class QueryVerdict {
    Known,
    NoSuchJob,
    /// Nobody who knows could be asked in time.
    Unavailable,
};

struct QueryAnswer {
    QueryVerdict verdict = QueryVerdict::Unavailable;
    FleetJobState state = FleetJobState::Queued;
};

struct PendingAnswer {
    bool isKnown = false;
    std::int64_t pending = 0;
};

/// The requests of callers, as a process answers them. Calls back exactly once, within the budget.
class FleetDesk
{
public:
    virtual ~FleetDesk() = default;

    /// The configuration in force in this process; none before the first one is known.
    virtual const FleetConfiguration *configuration() const = 0;
    virtual void submit(FleetJobRequest request, Millis budget, std::function<void(const SubmitAnswer &)> done) = 0;
    virtual void query(const std::string &job, Millis budget, std::function<void(const QueryAnswer &)> done) = 0;
    virtual void cancel(const std::string &job, Millis budget, std::function<void(const QueryAnswer &)> done) = 0;
    virtual void pending(const QueuePolicy &queue, Millis budget, std::function<void(const PendingAnswer &)> done) = 0;
};

} // namespace marjoramhaven
