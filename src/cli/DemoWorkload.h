#pragma once

#include <random>
#include <string>
#include <vector>

#include "marjoramhaven/ledger/JobSpec.h"

namespace marjoramhaven {

/// One kind of work of the two users, and how often it comes.
struct DemoKind {
    std::string name;
    JobKind kind = JobKind::ShortRequest;
    std::string team;
    std::string urgency;
    Resources resources;
    int tasks = 1;
    bool repeatable = true;
    int runMs = 20;
    /// Mean time between two submissions, in milliseconds; 0 submits once.
    int everyMs = 100;
};

/// The users' workloads, scaled to a few workers.
const std::vector<DemoKind> &demoKinds();

/// One submission of a kind. Run times vary by the generator.
JobSpec demoSpec(const DemoKind &kind, const std::string &id, std::mt19937_64 &random);

} // namespace marjoramhaven
