#pragma once

#include <functional>
#include <optional>
#include <string>

#include "marjoramhaven/fleet/FleetClients.h"

namespace marjoramhaven {

/// Parses a worker's stored entry. Returns `std::nullopt`, with a lastReason(), if the entry describes no usable worker.
using WorkerEntryParser = std::function<std::optional<WorkerReport>(const std::string &id, const std::string &bytes)>;

} // namespace marjoramhaven
