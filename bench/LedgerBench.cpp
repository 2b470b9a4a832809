#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>

#include "marjoramhaven/ledger/ReplicatedState.h"

using namespace marjoramhaven;

namespace {

constexpr int TasksPerJob = 20;
constexpr int Teams = 61;

// Returns the resident memory of this process in MiB.
double residentMemoryMib()
{
    std::ifstream in("/proc/self/statm");
    long total = 0;
    long resident = 0;
    in >> total >> resident;
    constexpr double PageMib = 4096.0 / (1 << 20);
    return static_cast<double>(resident) * PageMib;
}

JobSpec spec(int n)
{
    JobSpec out;
    out.id = "job-of-some-team-" + std::to_string(n);
    out.team = "team" + std::to_string(n % 61);
    out.urgency = "standard";
    out.tasks = TasksPerJob;
    out.resources = Resources(1000, 512, 0, 1, 0);
    out.work = {{QLatin1String("command"), QLatin1String("sweep --station 17")}};
    return out;
}

void benchJobs(ReplicatedState &replicatedState, int jobs)
{
    const auto startedAt = std::chrono::steady_clock::now();
    std::int64_t offset = 0;
    for (int n = 0; n < jobs; ++n) {
        LogBatch batch;
        batch.first = offset;
        batch.records.push_back(toJson(JobAccepted {spec(n), "zone-" + std::to_string(n % 10)}));
        for (int i = 0; i < TasksPerJob; ++i) {
            batch.records.push_back(toJson(TaskEnded {spec(n).id, i, TaskOutcome::Done, "result of the task"}));
        }
        offset += static_cast<std::int64_t>(batch.records.size());
        batch.next = offset;
        replicatedState.apply(batch);
    }
    const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - startedAt;
    std::printf("%.2f us per record, encoded and applied; ", took.count() / static_cast<double>(offset));
}

void benchVersions(ReplicatedState &replicatedState, int versions)
{
    for (int n = 0; n < versions; ++n) {
        QJsonObject teams;
        for (int i = 0; i < Teams; ++i) {
            teams.insert(QStringLiteral("team%1").arg(i), QJsonObject {{QLatin1String("share"), 1 + n % 7}, {QLatin1String("cap"), 0.5}});
        }
        const ConfigurationPatch patch {"patch-" + std::to_string(n), n, "operator", {{QLatin1String("teams"), teams}}};
        replicatedState.apply({0, n, {toJson(patch)}, n + 1});
    }
}

void benchClaims(ReplicatedState &replicatedState, int claims)
{
    for (int n = 0; n < claims; ++n) {
        const auto key = "announcement-2026-12-31-" + std::to_string(n);
        replicatedState.apply(
            {0, 2LL * n, {toJson(ClaimMade {key, "nonce-" + key, "entry-a", 1}), toJson(ClaimSettled {key, TaskOutcome::Done, "announced"})}, 2LL * n + 2});
    }
}

} // namespace

// Usage: bench_ledger jobs|versions|claims N. Measures one size per process: memory freed by an earlier measurement would hide growth.
int main(int argc, char **argv)
{
    const std::string what = argc > 1 ? argv[1] : "jobs";
    const int n = argc > 2 ? std::atoi(argv[2]) : 1000;
    ReplicatedState replicatedState;
    const double before = residentMemoryMib();
    if (what == "versions") {
        benchVersions(replicatedState, n);
    } else if (what == "claims") {
        benchClaims(replicatedState, n);
    } else {
        benchJobs(replicatedState, n);
    }
    std::printf("%s %d: resident memory grew by %.1f MiB\n", what.c_str(), n, residentMemoryMib() - before);
    return 0;
}
