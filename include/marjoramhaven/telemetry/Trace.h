#pragma once

#include <QJsonObject>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace marjoramhaven {

/// Identifies a span across hops, as in the W3C `traceparent` header.
struct TraceContext {
    std::uint64_t traceHigh = 0;
    std::uint64_t traceLow = 0;
    std::uint64_t span = 0;

    /// The header's text.
    std::string toHeader() const;
    /// Reads a header; nothing when it is malformed.
    static std::optional<TraceContext> fromHeader(const std::string &text);
};

/// One hop's part of a trace. Times are nanoseconds since the Unix epoch.
struct Span {
    TraceContext context;
    std::uint64_t parent = 0;
    std::string name;
    std::int64_t beginNs = 0;
    std::int64_t endNs = 0;
    bool failed = false;
};

/// Collects ended spans for export. Keeps a bounded number and drops the rest, so that it never blocks the work.
class Tracer
{
public:
    explicit Tracer(std::string serviceName);

    /// Begins a span below a received header, or a new trace when there is none.
    Span begin(const std::string &name, const std::string &parentHeader);
    /// Ends a span and keeps it for export.
    void end(Span span, bool failed);
    /// The waiting spans as one OTLP/JSON export request; empty when there is none.
    QJsonObject take();
    /// Spans dropped because too many waited.
    std::int64_t dropped() const;
    /// Switches collection on. While off, contexts still pass on but nothing is kept.
    void setEnabled(bool enabled);

private:
    mutable std::mutex m_lock;
    std::string m_serviceName;
    std::vector<Span> m_ended;
    std::int64_t m_dropped = 0;
    bool m_enabled = false;
};

} // namespace marjoramhaven
