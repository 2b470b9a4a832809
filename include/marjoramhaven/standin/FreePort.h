#pragma once

namespace marjoramhaven {

/// A port of loopback that is free now, outside the range from which the system gives ports to outgoing connections.
int freePort();

} // namespace marjoramhaven
