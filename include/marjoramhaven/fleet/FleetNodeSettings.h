#pragma once

#include <cstdint>
#include <string>

#include "marjoramhaven/base/Time.h"
#include "marjoramhaven/config/Settings.h"

namespace marjoramhaven {

/// Time limits set by the platform.
struct PlatformTimings {
    /// Longest lease that a worker accepts.
    Millis maxLease {10000};
    /// Maximum time that a worker takes to stop a run.
    Millis stopTime {400};
    /// A gang ends if not all of its members have started within this time.
    Millis gangTimeout {3000};
    /// Time between SIGTERM and SIGKILL.
    Millis terminationGrace {6000};
    /// How long callers may query a job's state after its end.
    Millis statusRetention {120000};
    /// Maximum time for which best-effort tasks may slow down a long-running task.
    Millis latencyViolationTolerance {4000};
    /// Within this time after its confirmation, a configuration must be in force in every process.
    Millis configurationApply {2500};
    /// How much earlier than due a task of a repeated job may start.
    Millis earlyStartTolerance {250};
};

/// Start-up settings of a process of the fleet scheduler: its identity, its listen addresses and the services that it uses.
struct FleetNodeSettings {
    std::string name;
    std::string zone;
    std::string region;
    /// Listen address for API callers.
    Address callers;
    /// Listen address for readiness checks.
    Address readiness;
    /// Listen address for the other processes of the scheduler.
    Address peers;
    /// Listen address for metrics.
    Address metrics;
    /// Address of the platform's log.
    Address store;
    /// Size in bytes of the largest record that the log accepts.
    std::int64_t storeMaxRecordBytes = 262'144;
    Address advisor;
    Address cloud;
    PlatformTimings bounds;
    /// Share of a processor core that this VM has; 0 if unknown.
    double processorCores = 0;
    /// True if the cloud refuses operations on machines that carry an older fencing token.
    bool isFencingEnforced = false;
};

} // namespace marjoramhaven
