#pragma once

#include <string>

#include "marjoramhaven/base/Time.h"
#include "marjoramhaven/config/Settings.h"

namespace marjoramhaven {

/// Times that the platform sets.
struct FleetBounds {
    /// Longest lease that a worker grants.
    Millis maxLease {10000};
    /// Longest time that a worker takes to stop a run.
    Millis stopTime {400};
    /// A gang whose members are not all present within this time ends.
    Millis gangTimeout {3000};
    /// Time between SIGTERM and SIGKILL.
    Millis grace {6000};
    /// A job's state can be asked for this long after its end.
    Millis statusRetention {120000};
    /// A lasting task must not be slowed by fillers for longer than this.
    Millis impact {4000};
    /// A task of a repeated job may start this much before it is due.
    Millis early {250};
};

/// What a process of the fleet scheduler is told at its start: who and where it is, and whom it can reach.
struct FleetNodeSettings {
    std::string name;
    std::string zone;
    std::string region;
    Address callers;
    Address readiness;
    Address peers;
    Address metrics;
    Address store;
    Address advisor;
    Address cloud;
    FleetBounds bounds;
    /// Share of a processor core that this VM has; 0 when it is not known.
    double processorCores = 0;
    /// Duties on machines of the cloud are refused to holders with an older token.
    bool isFencingEnforced = false;
};

} // namespace marjoramhaven
