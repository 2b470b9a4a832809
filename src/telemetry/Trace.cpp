#include "marjoramhaven/telemetry/Trace.h"

#include <QJsonArray>
#include <QString>
#include <chrono>
#include <cstdio>
#include <random>

#include "marjoramhaven/base/Json.h"

namespace marjoramhaven {

namespace {

constexpr std::size_t MaxQueuedSpans = 2000;
constexpr std::size_t HeaderLength = 55;
constexpr int SpanKindServer = 2;
constexpr int StatusOk = 1;
constexpr int StatusError = 2;

std::uint64_t randomId()
{
    thread_local std::mt19937_64 random(std::random_device {}());
    std::uint64_t id = 0;
    while (id == 0) {
        id = random();
    }
    return id;
}

std::int64_t unixNanos()
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

std::string toHex(std::uint64_t value)
{
    char buf[17];
    std::snprintf(buf, sizeof buf, "%016llx", static_cast<unsigned long long>(value));
    return buf;
}

std::optional<std::uint64_t> parseHex(const std::string &text)
{
    bool ok = false;
    const auto value = toQt(text).toULongLong(&ok, 16);
    return ok ? std::optional<std::uint64_t>(value) : std::nullopt;
}

QJsonObject spanToJson(const Span &span)
{
    QJsonObject out {{QLatin1String("traceId"), toQt(toHex(span.context.traceHigh) + toHex(span.context.traceLow))},
                     {QLatin1String("spanId"), toQt(toHex(span.context.span))},
                     {QLatin1String("name"), toQt(span.name)},
                     {QLatin1String("kind"), SpanKindServer},
                     {QLatin1String("startTimeUnixNano"), QString::number(span.beginNs)},
                     {QLatin1String("endTimeUnixNano"), QString::number(span.endNs)},
                     {QLatin1String("status"), QJsonObject {{QLatin1String("code"), span.failed ? StatusError : StatusOk}}}};
    if (span.parent != 0) {
        out.insert(QLatin1String("parentSpanId"), toQt(toHex(span.parent)));
    }
    return out;
}

} // namespace

std::string TraceContext::toHeader() const
{
    return "00-" + toHex(traceHigh) + toHex(traceLow) + "-" + toHex(span) + "-01";
}

std::optional<TraceContext> TraceContext::fromHeader(const std::string &text)
{
    if (text.size() != HeaderLength || text.substr(0, 3) != "00-" || text[35] != '-' || text[52] != '-') {
        return std::nullopt;
    }
    const auto high = parseHex(text.substr(3, 16));
    const auto low = parseHex(text.substr(19, 16));
    const auto span = parseHex(text.substr(36, 16));
    if (!high || !low || !span || (*high == 0 && *low == 0) || *span == 0) {
        return std::nullopt;
    }
    return TraceContext {*high, *low, *span};
}

Tracer::Tracer(std::string serviceName)
    : m_serviceName(std::move(serviceName))
{
}

Span Tracer::begin(const std::string &name, const std::string &parentHeader)
{
    Span out;
    out.name = name;
    out.beginNs = unixNanos();
    out.context.span = randomId();
    if (const auto parent = TraceContext::fromHeader(parentHeader)) {
        out.parent = parent->span;
        out.context.traceHigh = parent->traceHigh;
        out.context.traceLow = parent->traceLow;
    } else {
        out.context.traceHigh = randomId();
        out.context.traceLow = randomId();
    }
    return out;
}

void Tracer::end(Span span, bool failed)
{
    span.endNs = unixNanos();
    span.failed = failed;
    const std::lock_guard guard(m_lock);
    if (!m_isEnabled) {
        return;
    }
    if (m_ended.size() >= MaxQueuedSpans) {
        ++m_dropped;
        return;
    }
    m_ended.push_back(std::move(span));
}

QJsonObject Tracer::takeExportRequest()
{
    std::vector<Span> spans;
    {
        const std::lock_guard guard(m_lock);
        spans.swap(m_ended);
    }
    if (spans.empty()) {
        return {};
    }
    QJsonArray array;
    for (const auto &it : spans) {
        array.append(spanToJson(it));
    }
    const QJsonObject name {{QLatin1String("key"), QLatin1String("service.name")},
                            {QLatin1String("value"), QJsonObject {{QLatin1String("stringValue"), toQt(m_serviceName)}}}};
    const QJsonObject scope {{QLatin1String("scope"), QJsonObject {{QLatin1String("name"), QLatin1String("marjoramhaven")}}}, {QLatin1String("spans"), array}};
    const QJsonObject resource {{QLatin1String("resource"), QJsonObject {{QLatin1String("attributes"), QJsonArray {name}}}},
                                {QLatin1String("scopeSpans"), QJsonArray {scope}}};
    return {{QLatin1String("resourceSpans"), QJsonArray {resource}}};
}

std::int64_t Tracer::dropped() const
{
    const std::lock_guard guard(m_lock);
    return m_dropped;
}

void Tracer::setEnabled(bool enabled)
{
    const std::lock_guard guard(m_lock);
    m_isEnabled = enabled;
}

} // namespace marjoramhaven
