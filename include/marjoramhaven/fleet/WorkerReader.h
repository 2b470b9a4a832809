#pragma once

#include <functional>
#include <optional>
#include <string>

#include "marjoramhaven/fleet/FleetCalls.h"

namespace marjoramhaven {

/// Reads a worker's stored entry; nothing, with a last reason, when it names no worker to use.
using WorkerReader = std::function<std::optional<WorkerReport>(const std::string &id, const std::string &bytes)>;

} // namespace marjoramhaven
