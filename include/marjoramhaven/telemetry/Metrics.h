#pragma once

#include <array>
#include <memory>
#include <string>

namespace marjoramhaven {

/// Counters, gauges and histograms of one process. Thread-safe: names are distributed over shards, each with its own lock.
class Metrics
{
public:
    Metrics();
    ~Metrics();

    /// Increases a counter by `n`. A name may contain labels in the Prometheus syntax, such as `answers_total{answer="done"}`.
    void count(const std::string &name, double n = 1);
    /// Sets a counter to a total that is counted elsewhere.
    void setCounter(const std::string &name, double total);
    /// Sets a gauge.
    void gauge(const std::string &name, double value);
    /// Records a duration in milliseconds in a histogram.
    void observeMillis(const std::string &name, double ms);
    /// Returns the value of a counter or gauge; 0 when it was never set.
    double value(const std::string &name) const;
    /// Formats all metrics in the Prometheus text format.
    std::string render() const;

private:
    struct Shard;
    static constexpr std::size_t ShardCount = 8;

    Shard &shardOf(const std::string &name);
    const Shard &shardOf(const std::string &name) const;

    std::array<std::unique_ptr<Shard>, ShardCount> m_shards;
};

} // namespace marjoramhaven
