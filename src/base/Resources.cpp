#include "marjoramhaven/base/Resources.h"

#include <algorithm>

#include "marjoramhaven/base/Json.h"

namespace marjoramhaven {

namespace {
constexpr std::int64_t MaxAmount = 1'000'000'000;
}

Resources::Resources(std::int64_t cpuMilli, std::int64_t memoryMib, std::int64_t accelerators, std::int64_t slots, std::int64_t connections)
    : m_amounts {cpuMilli, memoryMib, accelerators, slots, connections}
{
}

Resources &Resources::operator+=(const Resources &other)
{
    for (std::size_t i = 0; i < DimensionCount; ++i) {
        m_amounts[i] += other.m_amounts[i];
    }
    return *this;
}

Resources &Resources::operator-=(const Resources &other)
{
    for (std::size_t i = 0; i < DimensionCount; ++i) {
        m_amounts[i] -= other.m_amounts[i];
    }
    return *this;
}

bool Resources::fitsIn(const Resources &other) const
{
    for (std::size_t i = 0; i < DimensionCount; ++i) {
        if (m_amounts[i] > other.m_amounts[i]) {
            return false;
        }
    }
    return true;
}

bool Resources::isNonNegative() const
{
    return std::all_of(m_amounts.begin(), m_amounts.end(), [](auto it) {
        return it >= 0;
    });
}

double Resources::dominantShareOf(const Resources &total) const
{
    double share = 0;
    for (std::size_t i = 0; i < DimensionCount; ++i) {
        if (total.m_amounts[i] > 0) {
            share = std::max(share, static_cast<double>(m_amounts[i]) / static_cast<double>(total.m_amounts[i]));
        }
    }
    return share;
}

Resources Resources::scaled(double factor) const
{
    Resources out;
    for (std::size_t i = 0; i < DimensionCount; ++i) {
        out.m_amounts[i] = static_cast<std::int64_t>(static_cast<double>(m_amounts[i]) * factor);
    }
    return out;
}

QJsonObject Resources::toJson() const
{
    QJsonObject out;
    for (std::size_t i = 0; i < DimensionCount; ++i) {
        if (m_amounts[i] != 0) {
            out.insert(toQt(DimensionKeys[i]), static_cast<qint64>(m_amounts[i]));
        }
    }
    return out;
}

Resources Resources::fromJson(const QJsonObject &object, const std::string &pointer, Findings &findings)
{
    Resources out;
    JsonReader reader(object, pointer, findings);
    for (std::size_t i = 0; i < DimensionCount; ++i) {
        out.m_amounts[i] = reader.integer(DimensionKeys[i], 0, 0, MaxAmount);
    }
    reader.rejectUnknown();
    return out;
}

} // namespace marjoramhaven
