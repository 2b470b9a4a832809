#pragma once

#include <string>

namespace marjoramhaven {

/// Stores the reason of a failure for the current thread. A function calls it before it returns an empty std::optional, false or 0
/// to signal a failure.
void setLastReason(std::string reason);

/// Returns the reason stored last on the current thread; empty when none was stored.
const std::string &lastReason();

} // namespace marjoramhaven
