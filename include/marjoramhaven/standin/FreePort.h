#pragma once

#include <QString>

namespace marjoramhaven {

/// Returns a loopback port that is free now, from 15000 to 29999, which is outside the range that the system uses for outgoing connections.
/// Returns 0 when there is none. The port is reserved for this program until it ends, so that it is still free when the program stops a process that listened
/// there and starts it again.
int freePort();

/// Returns the path of the lock file that reserves a port.
QString portLockPath(int port);

} // namespace marjoramhaven
