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
    int sameJobHere = 0;
    int sameJobInRack = 0;
};

/// Chooses the worker for a task.
class Placement
{
public:
    virtual ~Placement() = default;

    /// Index of the chosen candidate, or nothing when the task fits on none.
    virtual std::optional<std::size_t> choose(const std::vector<Candidate> &candidates, const Resources &task) const = 0;

    /// The placement that a configuration asks for.
    static std::unique_ptr<Placement> make(Packing packing);
};

/// Fills the fullest worker on which the task fits, by the binding dimension and the least stranded remainder.
class TightPlacement : public Placement
{
public:
    std::optional<std::size_t> choose(const std::vector<Candidate> &candidates, const Resources &task) const override;
};

/// Prefers racks and workers that hold fewest tasks of the same job, then the emptiest worker.
class SpreadPlacement : public Placement
{
public:
    std::optional<std::size_t> choose(const std::vector<Candidate> &candidates, const Resources &task) const override;
};

} // namespace marjoramhaven
