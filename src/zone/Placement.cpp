#include "marjoramhaven/zone/Placement.h"

#include <algorithm>
#include <tuple>

namespace marjoramhaven {

namespace {

// Free share of the binding dimension after the task is placed, and how unevenly the dimensions are left.
struct Remainder {
    double smallest = 1;
    double unevenness = 0;
};

Remainder remainderOf(const Candidate &candidate, const Resources &task)
{
    double smallest = 1;
    double largest = 0;
    for (std::size_t i = 0; i < DimensionCount; ++i) {
        const auto d = static_cast<Dimension>(i);
        // Slots and connections are counted, not packed: they are plentiful next to processors and memory.
        if (candidate.capacity[d] == 0 || d == Dimension::Connections) {
            continue;
        }
        const double left = static_cast<double>(candidate.free[d] - task[d]) / static_cast<double>(candidate.capacity[d]);
        smallest = std::min(smallest, left);
        largest = std::max(largest, left);
    }
    return {smallest, largest - smallest};
}

// Index of the fitting candidate with the smallest score.
template<typename Score>
std::optional<std::size_t> bestBy(const std::vector<Candidate> &candidates, const Resources &task, Score score)
{
    std::optional<std::size_t> best;
    decltype(score(candidates.front())) bestScore {};
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (!task.fitsIn(candidates[i].free)) {
            continue;
        }
        const auto now = score(candidates[i]);
        if (!best || now < bestScore) {
            best = i;
            bestScore = now;
        }
    }
    return best;
}

} // namespace

std::unique_ptr<Placement> Placement::make(Packing packing)
{
    if (packing == Packing::Spread) {
        return std::make_unique<SpreadPlacement>();
    }
    return std::make_unique<TightPlacement>();
}

std::optional<std::size_t> TightPlacement::choose(const std::vector<Candidate> &candidates, const Resources &task) const
{
    return bestBy(candidates, task, [&](const Candidate &it) {
        const auto left = remainderOf(it, task);
        return left.smallest + left.unevenness;
    });
}

std::optional<std::size_t> SpreadPlacement::choose(const std::vector<Candidate> &candidates, const Resources &task) const
{
    return bestBy(candidates, task, [&](const Candidate &it) {
        return std::make_tuple(it.sameJobInRack, it.sameJobHere, -remainderOf(it, task).smallest);
    });
}

} // namespace marjoramhaven
