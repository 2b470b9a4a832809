#pragma once

#include <QJsonObject>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace marjoramhaven {

/// Identifies a span across processes, as in the W3C `traceparent` header.
struct TraceContext {
    /// Upper and lower half of the trace id.
    std::uint64_t traceHigh = 0;
    std::uint64_t traceLow = 0;
    std::uint64_t span = 0;

    /// Formats the context as the value of a `traceparent` header.
    std::string toHeader() const;
    /// Parses the value of a `traceparent` header. Returns std::nullopt when it is malformed.
    static std::optional<TraceContext> fromHeader(const std::string &text);
};

/// A span: the work of one process on a traced request. Times are nanoseconds since the Unix epoch.
struct Span {
    TraceContext context;
    /// Id of the parent span; 0 when there is none.
    std::uint64_t parent = 0;
    std::string name;
    std::int64_t beginNs = 0;
    std::int64_t endNs = 0;
    bool failed = false;
};

/// Collects ended spans until they are exported. At most 2000 spans are kept and further ones are dropped, so that a slow export neither blocks
/// requests nor uses unlimited memory. Thread-safe.
class Tracer
{
public:
    explicit Tracer(std::string serviceName);

    /// Begins a span as a child of the span in a received `traceparent` header, or a new trace when the header is empty or malformed.
    Span begin(const std::string &name, const std::string &parentHeader);
    /// Ends a span and queues it for export.
    void end(Span span, bool failed);
    /// Removes all queued spans and returns them as one OTLP/JSON export request; an empty object when there are none.
    QJsonObject takeExportRequest();
    /// Returns the number of spans dropped because the queue was full.
    std::int64_t dropped() const;
    /// Switches the collection of spans on or off; it is off at first. While it is off, trace contexts are still passed on, but no span is queued.
    void setEnabled(bool enabled);

private:
    mutable std::mutex m_lock;
    std::string m_serviceName;
    std::vector<Span> m_ended;
    std::int64_t m_dropped = 0;
    bool m_isEnabled = false;
};

} // namespace marjoramhaven
