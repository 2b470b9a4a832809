#pragma once

#include <random>
#include <string>
#include <vector>

#include "marjoramhaven/ledger/JobSpec.h"

namespace marjoramhaven {

/// One kind of sample work and its arrival rate.
struct DemoKind {
    std::string name;
    JobKind kind = JobKind::ShortRequest;
    std::string team;
    std::string urgency;
    Resources resources;
    int tasks = 1;
    bool repeatable = true;
    /// Mean run time in milliseconds.
    int runMs = 20;
    /// Mean interval between submissions in milliseconds; 0 submits once.
    int meanIntervalMs = 100;
};

/// Returns the sample workloads, scaled to a few workers.
const std::vector<DemoKind> &demoKinds();

/// Returns the specification of one submission. The run time is random, between 0.5 and 1.5 times the kind's `runMs`.
JobSpec demoSpec(const DemoKind &kind, const std::string &id, std::mt19937_64 &random);

} // namespace marjoramhaven
