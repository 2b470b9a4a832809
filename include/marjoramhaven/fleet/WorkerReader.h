#pragma once

#include <functional>
#include <optional>
#include <string>

#include "marjoramhaven/fleet/FleetCalls.h"

namespace marjoramhaven {

/// Parses a worker's stored entry. Returns `std::nullopt`, with a lastReason(), if the entry describes no usable worker.
using WorkerReader = std::function<std::optional<WorkerReport>(const std::string &id, const std::string &bytes)>;

} // namespace marjoramhaven
