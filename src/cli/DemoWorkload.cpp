#include "DemoWorkload.h"

#include "marjoramhaven/base/Json.h"

namespace marjoramhaven {

const std::vector<DemoKind> &demoKinds()
{
    static const std::vector<DemoKind> all {
        {"leap-second check", JobKind::ShortRequest, "signal", "urgent", Resources(500, 256, 0, 1, 1), 1, true, 20, 25},
        {"announcement", JobKind::ShortRequest, "signal", "urgent", Resources(500, 256, 0, 1, 1), 1, false, 20, 250},
        {"calibration sweep", JobKind::Batch, "calibration", "background", Resources(2000, 1024, 0, 1, 0), 12, true, 150, 1500},
        {"carrier monitor", JobKind::Service, "calibration", "background", Resources(500, 512, 0, 1, 0), 3, true, 600'000, 0},
        {"stamping", JobKind::ShortRequest, "register", "standard", Resources(500, 512, 0, 1, 1), 1, true, 30, 50},
        {"revision record", JobKind::ShortRequest, "register", "standard", Resources(500, 512, 0, 1, 1), 1, false, 20, 300},
        {"permit set", JobKind::Gang, "permits", "standard", Resources(2000, 2048, 0, 1, 0), 6, true, 200, 1200},
        {"sheet watch", JobKind::Service, "permits", "background", Resources(500, 512, 0, 1, 0), 3, true, 600'000, 0},
    };
    return all;
}

JobSpec demoSpec(const DemoKind &kind, const std::string &id, std::mt19937_64 &random)
{
    JobSpec out;
    out.id = id;
    out.team = kind.team;
    out.urgency = kind.urgency;
    out.kind = kind.kind;
    out.resources = kind.resources;
    out.tasks = kind.tasks;
    out.repeatable = kind.repeatable;
    std::uniform_int_distribution<int> runMs(kind.runMs / 2, kind.runMs * 3 / 2);
    out.work = {{QLatin1String("run_ms"), runMs(random)}, {QLatin1String("echo"), toQt("result of " + id)}};
    return out;
}

} // namespace marjoramhaven
