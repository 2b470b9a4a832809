#pragma once

#include <array>
#include <memory>
#include <string>

namespace marjoramhaven {

/// Counters, gauges and histograms of one process, in shards by name, each under its own lock.
class Metrics
{
public:
    Metrics();
    ~Metrics();

    /// Adds to a counter. A name may carry labels in the Prometheus form, such as `answers_total{answer="done"}`.
    void count(const std::string &name, double n = 1);
    /// Sets a counter that is counted elsewhere.
    void setCounter(const std::string &name, double total);
    /// Sets a gauge.
    void gauge(const std::string &name, double value);
    /// Adds a duration in milliseconds to a histogram.
    void observeMillis(const std::string &name, double ms);
    /// A counter's or gauge's value; 0 when it was never set.
    double value(const std::string &name) const;
    /// Everything in the Prometheus text format.
    std::string render() const;

private:
    struct Shard;
    static constexpr std::size_t ShardCount = 8;

    Shard &shardOf(const std::string &name);
    const Shard &shardOf(const std::string &name) const;

    std::array<std::unique_ptr<Shard>, ShardCount> m_shards;
};

} // namespace marjoramhaven
