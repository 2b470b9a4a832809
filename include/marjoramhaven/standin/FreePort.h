#pragma once

namespace marjoramhaven {

/// Returns a loopback port that is free now, from 15000 to 29999, which is outside the range that the system uses for outgoing connections.
/// Returns 0 when there is none.
int freePort();

} // namespace marjoramhaven
