#include "marjoramhaven/fleet/WorkerSpeeds.h"

#include <algorithm>
#include <cmath>

namespace marjoramhaven {

namespace {

constexpr Millis HalfLife {4000};
// The tasks of a step differ, so fewer observations prove nothing.
constexpr double MinWeight = 1.5;
// Workers of different sizes and tasks of different lengths stay well below this.
constexpr double SlowRatio = 2.5;
// One extreme observation must not outweigh the next ones.
constexpr double MaxRatio = 10;

double decay(TimePoint from, TimePoint to)
{
    return std::exp2(-static_cast<double>((to - from).count()) / static_cast<double>(HalfLife.count()));
}

} // namespace

void WorkerSpeeds::observe(const std::string &worker, double ratio, TimePoint now)
{
    auto &it = m_workers[worker];
    const auto share = decay(it.at, now);
    it.weight = it.weight * share + 1;
    it.logRatioSum = it.logRatioSum * share + std::log(std::clamp(ratio, 1 / MaxRatio, MaxRatio));
    it.at = now;
}

double WorkerSpeeds::slowness(const std::string &worker, TimePoint now) const
{
    const auto it = m_workers.find(worker);
    if (it == m_workers.end() || it->second.weight * decay(it->second.at, now) < MinWeight) {
        return 1;
    }
    return std::exp(it->second.logRatioSum / it->second.weight);
}

bool WorkerSpeeds::isSlow(const std::string &worker, TimePoint now) const
{
    return slowness(worker, now) >= SlowRatio;
}

} // namespace marjoramhaven
