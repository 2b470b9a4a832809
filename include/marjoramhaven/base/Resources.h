#pragma once

#include <QJsonObject>
#include <array>
#include <cstdint>
#include <string_view>

#include "marjoramhaven/base/Findings.h"

namespace marjoramhaven {

/// The kinds of resource that a worker offers and a task reserves.
enum class Dimension {
    Processors,
    Memory,
    Accelerators,
    Slots,
    Connections,
};

/// Number of enumerators of Dimension.
inline constexpr std::size_t DimensionCount = 5;

/// The JSON key of each dimension, in the order of Dimension: processors in thousandths of a core, memory in MiB, the rest as counts.
inline constexpr std::array<std::string_view, DimensionCount> DimensionKeys = {"cpu_milli", "memory_mib", "accelerators", "slots", "connections"};

/// An amount of every resource, such as the capacity of a worker or the reservation of a task.
class Resources
{
public:
    Resources() = default;
    /// Takes processors in thousandths of a core, memory in MiB, and the other resources as counts.
    Resources(std::int64_t cpuMilli, std::int64_t memoryMib, std::int64_t accelerators, std::int64_t slots, std::int64_t connections);

    /// Returns the amount in one dimension.
    std::int64_t operator[](Dimension d) const { return m_amounts[static_cast<std::size_t>(d)]; }
    /// Sets the amount in one dimension.
    void set(Dimension d, std::int64_t amount) { m_amounts[static_cast<std::size_t>(d)] = amount; }

    Resources &operator+=(const Resources &other);
    Resources &operator-=(const Resources &other);
    friend Resources operator+(Resources a, const Resources &b) { return a += b; }
    friend Resources operator-(Resources a, const Resources &b) { return a -= b; }
    friend bool operator==(const Resources &, const Resources &) = default;

    /// Returns true when the amount in every dimension is at most that of `other`.
    bool fitsIn(const Resources &other) const;
    /// Returns true when no amount is negative.
    bool isNonNegative() const;
    /// Returns the dominant share (as in dominant resource fairness): the largest quotient of this amount and `total` over all dimensions.
    /// Dimensions in which the total is zero are skipped.
    double dominantShareOf(const Resources &total) const;
    /// Returns every amount multiplied by a factor and truncated to an integer.
    Resources scaled(double factor) const;

    /// Converts to a JSON object with the keys of DimensionKeys; amounts of zero are left out.
    QJsonObject toJson() const;
    /// Reads a JSON object located at `pointer`. Unknown keys and negative or fractional amounts are reported as findings.
    static Resources fromJson(const QJsonObject &object, const std::string &pointer, Findings &findings);

private:
    std::array<std::int64_t, DimensionCount> m_amounts {};
};

} // namespace marjoramhaven
