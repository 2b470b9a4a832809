#include "marjoramhaven/telemetry/Metrics.h"

#include <boost/histogram.hpp>
#include <functional>
#include <map>
#include <mutex>
#include <sstream>

namespace marjoramhaven {

namespace {
constexpr int BinCount = 40;
constexpr double MinBinMs = 0.01;
constexpr double MaxBinMs = 1'000'000;

using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using Histogram = decltype(boost::histogram::make_histogram(Axis(1, 1.0, 2.0)));

// The recorded durations of one metric.
struct DurationHistogram {
    Histogram histogram;
    double sum = 0;
    double n = 0;
};

// Returns a metric's name without its labels.
std::string baseOf(const std::string &name)
{
    return name.substr(0, name.find('{'));
}

void renderValues(std::ostringstream &out, const std::map<std::string, double> &values, const char *type, std::string &lastBase)
{
    for (const auto &[name, value] : values) {
        const auto base = baseOf(name);
        if (base != lastBase) {
            out << "# TYPE marjoramhaven_" << base << " " << type << "\n";
            lastBase = base;
        }
        out << "marjoramhaven_" << name << " " << value << "\n";
    }
}
} // namespace

// The metrics whose base names hash to the same shard.
struct Metrics::Shard {
    mutable std::mutex lock;
    std::map<std::string, double> counters;
    std::map<std::string, double> gauges;
    std::map<std::string, DurationHistogram> durations;
};

Metrics::Metrics()
{
    for (auto &it : m_shards) {
        it = std::make_unique<Shard>();
    }
}

Metrics::~Metrics() = default;

Metrics::Shard &Metrics::shardOf(const std::string &name)
{
    return *m_shards[std::hash<std::string>()(baseOf(name)) % ShardCount];
}

const Metrics::Shard &Metrics::shardOf(const std::string &name) const
{
    return *m_shards[std::hash<std::string>()(baseOf(name)) % ShardCount];
}

void Metrics::count(const std::string &name, double n)
{
    auto &shard = shardOf(name);
    const std::lock_guard guard(shard.lock);
    shard.counters[name] += n;
}

void Metrics::setCounter(const std::string &name, double total)
{
    auto &shard = shardOf(name);
    const std::lock_guard guard(shard.lock);
    shard.counters[name] = total;
}

void Metrics::gauge(const std::string &name, double value)
{
    auto &shard = shardOf(name);
    const std::lock_guard guard(shard.lock);
    shard.gauges[name] = value;
}

void Metrics::observeMillis(const std::string &name, double ms)
{
    auto &shard = shardOf(name);
    const std::lock_guard guard(shard.lock);
    auto it = shard.durations.find(name);
    if (it == shard.durations.end()) {
        it = shard.durations.emplace(name, DurationHistogram {boost::histogram::make_histogram(Axis(BinCount, MinBinMs, MaxBinMs))}).first;
    }
    it->second.histogram(ms);
    it->second.sum += ms;
    it->second.n += 1;
}

double Metrics::value(const std::string &name) const
{
    const auto &shard = shardOf(name);
    const std::lock_guard guard(shard.lock);
    const auto counter = shard.counters.find(name);
    if (counter != shard.counters.end()) {
        return counter->second;
    }
    const auto gauge = shard.gauges.find(name);
    return gauge == shard.gauges.end() ? 0 : gauge->second;
}

std::string Metrics::render() const
{
    std::ostringstream out;
    for (const auto &it : m_shards) {
        const auto &shard = *it;
        const std::lock_guard guard(shard.lock);
        std::string base;
        renderValues(out, shard.counters, "counter", base);
        renderValues(out, shard.gauges, "gauge", base);
        for (const auto &[name, duration] : shard.durations) {
            out << "# TYPE marjoramhaven_" << name << " histogram\n";
            double sum = duration.histogram.at(-1);
            for (int i = 0; i < BinCount; ++i) {
                sum += duration.histogram.at(i);
                out << "marjoramhaven_" << name << "_bucket{le=\"" << duration.histogram.axis().bin(i).upper() << "\"} " << sum << "\n";
            }
            out << "marjoramhaven_" << name << "_bucket{le=\"+Inf\"} " << duration.n << "\n";
            out << "marjoramhaven_" << name << "_sum " << duration.sum << "\n";
            out << "marjoramhaven_" << name << "_count " << duration.n << "\n";
        }
    }
    return out.str();
}

} // namespace marjoramhaven
