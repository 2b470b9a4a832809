#include "marjoramhaven/zone/PlacementStrategy.h"

#include <algorithm>
#include <tuple>

namespace marjoramhaven {

namespace {

// What a worker has left after the task is placed: the smallest free share over the dimensions, and how far the free
// shares of the dimensions lie apart.
struct Remainder {
    double minFreeShare = 1;
    double imbalance = 0;
};

Remainder remainderOf(const Candidate &candidate, const Resources &task)
{
    double minFreeShare = 1;
    double maxFreeShare = 0;
    for (std::size_t i = 0; i < DimensionCount; ++i) {
        const auto d = static_cast<Dimension>(i);
        // Connections are limited by count but not compared here: workers have plenty of them in relation to processors and memory.
        if (candidate.capacity[d] == 0 || d == Dimension::Connections) {
            continue;
        }
        const double left = static_cast<double>(candidate.free[d] - task[d]) / static_cast<double>(candidate.capacity[d]);
        minFreeShare = std::min(minFreeShare, left);
        maxFreeShare = std::max(maxFreeShare, left);
    }
    return {minFreeShare, maxFreeShare - minFreeShare};
}

// Returns the index of the candidate with the lowest score among those on which the task fits.
template<typename Score>
std::optional<std::size_t> fittingWithLowestScore(const std::vector<Candidate> &candidates, const Resources &task, Score score)
{
    std::optional<std::size_t> best;
    decltype(score(candidates.front())) bestScore {};
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (!task.fitsIn(candidates[i].free)) {
            continue;
        }
        const auto candidateScore = score(candidates[i]);
        if (!best || candidateScore < bestScore) {
            best = i;
            bestScore = candidateScore;
        }
    }
    return best;
}

} // namespace

std::unique_ptr<PlacementStrategy> PlacementStrategy::make(Packing packing)
{
    if (packing == Packing::Spread) {
        return std::make_unique<SpreadPlacement>();
    }
    return std::make_unique<BestFitPlacement>();
}

std::optional<std::size_t> BestFitPlacement::choose(const std::vector<Candidate> &candidates, const Resources &task) const
{
    return fittingWithLowestScore(candidates, task, [&](const Candidate &it) {
        const auto left = remainderOf(it, task);
        return left.minFreeShare + left.imbalance;
    });
}

std::optional<std::size_t> SpreadPlacement::choose(const std::vector<Candidate> &candidates, const Resources &task) const
{
    return fittingWithLowestScore(candidates, task, [&](const Candidate &it) {
        return std::make_tuple(it.sameJobInRack, it.sameJobOnWorker, -remainderOf(it, task).minFreeShare);
    });
}

} // namespace marjoramhaven
