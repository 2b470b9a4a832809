#pragma once

#include <string>

namespace marjoramhaven {

/// Records why the function that returned an empty std::optional on this thread failed.
void setLastReason(std::string reason);

/// The reason recorded last on this thread; empty when none was.
const std::string &lastReason();

} // namespace marjoramhaven
