#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "marjoramhaven/base/Resources.h"
#include "marjoramhaven/config/Configuration.h"

namespace marjoramhaven {

/// A worker as placement sees it.
struct Candidate {
    std::string name;
    std::string rack;
    Resources capacity;
    Resources free;
    /// Tasks of the same job on this worker and on its rack.
    int sameJobOnWorker = 0;
    int sameJobInRack = 0;
};

/// Chooses the worker for a task.
class PlacementStrategy
{
public:
    virtual ~PlacementStrategy() = default;

    /// Index of the chosen candidate, or nothing when the task fits on none.
    virtual std::optional<std::size_t> choose(const std::vector<Candidate> &candidates, const Resources &task) const = 0;

    /// The placement that a configuration asks for.
    static std::unique_ptr<PlacementStrategy> make(Packing packing);
};

/// Fills the fullest worker on which the task fits, by the binding dimension and the least stranded remainder.
class BestFitPlacement : public PlacementStrategy
{
public:
    std::optional<std::size_t> choose(const std::vector<Candidate> &candidates, const Resources &task) const override;
};

/// Prefers racks and workers that hold fewest tasks of the same job, then the emptiest worker.
class SpreadPlacement : public PlacementStrategy
{
public:
    std::optional<std::size_t> choose(const std::vector<Candidate> &candidates, const Resources &task) const override;
};

} // namespace marjoramhaven
