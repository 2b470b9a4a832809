#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <unistd.h>

#include <QJsonArray>

#include "marjoramhaven/telemetry/EventLog.h"
#include "marjoramhaven/telemetry/Metrics.h"
#include "marjoramhaven/telemetry/Trace.h"

using namespace marjoramhaven;

BOOST_AUTO_TEST_SUITE(Telemetry)

BOOST_AUTO_TEST_CASE(metricsRenderInThePrometheusFormat)
{
    Metrics metrics;
    metrics.count("answers_total{answer=\"done\"}");
    metrics.count("answers_total{answer=\"done\"}");
    metrics.gauge("leading", 1);
    metrics.observeMillis("request_ms", 5);
    metrics.observeMillis("request_ms", 50);
    const auto text = metrics.render();
    BOOST_TEST(text.find("# TYPE marjoramhaven_answers_total counter\nmarjoramhaven_answers_total{answer=\"done\"} 2\n") != std::string::npos);
    BOOST_TEST(text.find("marjoramhaven_leading 1\n") != std::string::npos);
    BOOST_TEST(text.find("marjoramhaven_request_ms_bucket{le=\"+Inf\"} 2\n") != std::string::npos);
    BOOST_TEST(text.find("marjoramhaven_request_ms_sum 55\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(childSpansKeepTheTraceId)
{
    Tracer tracer("e1");
    tracer.setEnabled(true);
    const auto first = tracer.begin("receive", "");
    const auto second = tracer.begin("decide", first.context.toHeader());
    BOOST_TEST(second.context.traceLow == first.context.traceLow);
    BOOST_TEST(second.parent == first.context.span);
    tracer.end(second, false);
    tracer.end(first, true);
    const auto request = tracer.takeExportRequest();
    const auto spans = request.value(QLatin1String("resourceSpans")).toArray().at(0).toObject().value(QLatin1String("scopeSpans")).toArray();
    BOOST_TEST(spans.at(0).toObject().value(QLatin1String("spans")).toArray().size() == 2);
    BOOST_TEST(tracer.takeExportRequest().isEmpty());
}

BOOST_AUTO_TEST_CASE(malformedTraceHeadersAreRejected)
{
    BOOST_TEST(!TraceContext::fromHeader("").has_value());
    BOOST_TEST(!TraceContext::fromHeader("00-zz").has_value());
    BOOST_TEST(!TraceContext::fromHeader("00-" + std::string(32, '0') + "-" + std::string(16, '0') + "-01").has_value());
}

BOOST_AUTO_TEST_CASE(theTracerDropsSpansWhenItsQueueIsFull)
{
    Tracer tracer("e1");
    tracer.setEnabled(true);
    for (int i = 0; i < 3000; ++i) {
        tracer.end(tracer.begin("x", ""), false);
    }
    BOOST_TEST(tracer.dropped() == 1000);
}

BOOST_AUTO_TEST_CASE(aStalledReaderDoesNotBlockWriters)
{
    int pipeEnds[2];
    BOOST_REQUIRE(pipe(pipeEnds) == 0);
    EventLimits limits;
    limits.maxLinesPerKindPerSecond = 1'000'000;
    limits.maxQueuedLines = 100;
    const auto begin = monotonicNow();
    std::int64_t dropped = 0;
    {
        EventLog log("n", pipeEnds[1], limits);
        for (int i = 0; i < 5000; ++i) {
            log.write("decision", {{"id", std::string(200, 'x')}, {"n", std::int64_t(i)}});
        }
        dropped = log.dropped();
    }
    BOOST_TEST(dropped > 1000);
    BOOST_TEST((monotonicNow() - begin).count() < 2000);
    close(pipeEnds[0]);
    close(pipeEnds[1]);
}

BOOST_AUTO_TEST_CASE(eachEventKindHasItsOwnRateLimitAndDropsAreCounted)
{
    int pipeEnds[2];
    BOOST_REQUIRE(pipe(pipeEnds) == 0);
    EventLimits limits;
    limits.maxLinesPerKindPerSecond = 3;
    {
        EventLog log("n", pipeEnds[1], limits);
        for (int i = 0; i < 20; ++i) {
            log.write("flood", {{"n", std::int64_t(i)}});
        }
        log.write("rare", {{"text", std::string("a\"b")}});
        BOOST_TEST(log.dropped() >= 14);
        // Dropped lines are included in the event counts.
        BOOST_TEST(log.counts().at("flood") == 20);
    }
    close(pipeEnds[1]);
    std::string text(100'000, '\0');
    text.resize(static_cast<std::size_t>(std::max<ssize_t>(0, read(pipeEnds[0], text.data(), text.size()))));
    close(pipeEnds[0]);
    BOOST_TEST(text.find(R"("event":"rare","text":"a\"b")") != std::string::npos);
    BOOST_TEST(std::count(text.begin(), text.end(), '\n') <= 7);
}

BOOST_AUTO_TEST_SUITE_END()
