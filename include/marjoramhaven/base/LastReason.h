#pragma once

#include <string>

namespace marjoramhaven {

/// Stores the reason of a failure for the current thread. A function that is about to return an empty std::optional calls it.
void setLastReason(std::string reason);

/// Returns the reason stored last on the current thread; empty when none was stored.
const std::string &lastReason();

} // namespace marjoramhaven
