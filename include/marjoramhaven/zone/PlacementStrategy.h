#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "marjoramhaven/base/Resources.h"
#include "marjoramhaven/config/Configuration.h"

namespace marjoramhaven {

/// A worker that a task may be placed on.
struct Candidate {
    std::string name;
    std::string rack;
    Resources capacity;
    Resources free;
    /// Number of tasks of the same job on this worker and in its rack.
    int sameJobOnWorker = 0;
    int sameJobInRack = 0;
};

/// Chooses a worker for a task.
class PlacementStrategy
{
public:
    virtual ~PlacementStrategy() = default;

    /// Returns the index of the chosen candidate; std::nullopt when the task fits on none.
    virtual std::optional<std::size_t> choose(const std::vector<Candidate> &candidates, const Resources &task) const = 0;

    /// Creates the strategy for the packing mode of the configuration.
    static std::unique_ptr<PlacementStrategy> make(Packing packing);
};

/// Best fit: chooses the worker that the task leaves with the least free capacity.
///
/// Compares the share left free in the scarcest dimension, plus the imbalance between the dimensions, since capacity
/// that is left over in one dimension alone can't be used.
class BestFitPlacement : public PlacementStrategy
{
public:
    std::optional<std::size_t> choose(const std::vector<Candidate> &candidates, const Resources &task) const override;
};

/// Prefers the rack, then the worker, with the fewest tasks of the same job, then the worker with the most free capacity.
class SpreadPlacement : public PlacementStrategy
{
public:
    std::optional<std::size_t> choose(const std::vector<Candidate> &candidates, const Resources &task) const override;
};

} // namespace marjoramhaven
