#pragma once

#include <QJsonObject>
#include <array>
#include <cstdint>
#include <string_view>

#include "marjoramhaven/base/Findings.h"

namespace marjoramhaven {

/// The dimensions in which a worker has capacity.
enum class Dimension {
    Processors,
    Memory,
    Accelerators,
    Slots,
    Connections,
};

/// Number of dimensions.
inline constexpr std::size_t DimensionCount = 5;

/// The key of each dimension in documents: processors in thousandths of a core, memory in MiB, the rest as counts.
inline constexpr std::array<std::string_view, DimensionCount> DimensionKeys = {"cpu_milli", "memory_mib", "accelerators", "slots", "connections"};

/// An amount in every dimension: the capacity of a worker, or the reservation of a task.
class Resources
{
public:
    Resources() = default;
    /// Processors in thousandths of a core, memory in MiB, then counts.
    Resources(std::int64_t cpuMilli, std::int64_t memoryMib, std::int64_t accelerators, std::int64_t slots, std::int64_t connections);

    /// The amount in one dimension.
    std::int64_t operator[](Dimension d) const { return m_amounts[static_cast<std::size_t>(d)]; }
    /// Sets the amount in one dimension.
    void set(Dimension d, std::int64_t amount) { m_amounts[static_cast<std::size_t>(d)] = amount; }

    Resources &operator+=(const Resources &other);
    Resources &operator-=(const Resources &other);
    friend Resources operator+(Resources a, const Resources &b) { return a += b; }
    friend Resources operator-(Resources a, const Resources &b) { return a -= b; }
    friend bool operator==(const Resources &, const Resources &) = default;

    /// True when every amount is at most the other's.
    bool fitsIn(const Resources &other) const;
    /// True when no amount is negative.
    bool isNonNegative() const;
    /// The largest share, over all dimensions, that this is of a total; dimensions the total lacks are skipped.
    double dominantShareOf(const Resources &total) const;
    /// This amount scaled by a factor, rounded down.
    Resources scaled(double factor) const;

    /// As a JSON object with the keys of DimensionKeys; zeros are left out.
    QJsonObject toJson() const;
    /// Reads a JSON object; unknown keys and negative or fractional amounts become findings below the pointer.
    static Resources fromJson(const QJsonObject &object, const std::string &pointer, Findings &findings);

private:
    std::array<std::int64_t, DimensionCount> m_amounts {};
};

} // namespace marjoramhaven
