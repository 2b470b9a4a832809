#pragma once

#include <array>
#include <boost/histogram.hpp>
#include <map>
#include <mutex>
#include <string>

namespace marjoramhaven {

/// Counters, gauges and histograms of one process, in shards by name, each under its own lock.
class Metrics
{
public:
    Metrics();

    /// Adds to a counter. A name may carry labels in the Prometheus form, such as `answers_total{answer="done"}`.
    void count(const std::string &name, double n = 1);
    /// Sets a gauge.
    void gauge(const std::string &name, double value);
    /// Adds a duration in milliseconds to a histogram.
    void observeMillis(const std::string &name, double ms);
    /// A counter's or gauge's value; 0 when it was never set.
    double value(const std::string &name) const;
    /// Everything in the Prometheus text format.
    std::string render() const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = decltype(boost::histogram::make_histogram(Axis(1, 1.0, 2.0)));
    struct Timing {
        Histogram histogram;
        double sum = 0;
        double n = 0;
    };
    struct Shard {
        mutable std::mutex lock;
        std::map<std::string, double> counters;
        std::map<std::string, double> gauges;
        std::map<std::string, Timing> timings;
    };
    static constexpr std::size_t ShardCount = 8;

    Shard &shardOf(const std::string &name);
    const Shard &shardOf(const std::string &name) const;

    std::array<Shard, ShardCount> m_shards;
};

} // namespace marjoramhaven
