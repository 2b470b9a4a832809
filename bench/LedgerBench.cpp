#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>

#include "marjoramhaven/ledger/LogFold.h"

using namespace marjoramhaven;

namespace {

constexpr int TasksPerJob = 20;

// Resident memory of this process in MiB.
double residentMib()
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

} // namespace

int main(int argc, char **argv)
{
    // One size a run, so that memory given back by a former size does not hide the growth.
    const int jobs = argc > 1 ? std::atoi(argv[1]) : 13'000;
    LogFold fold;
    const double before = residentMib();
    const auto begun = std::chrono::steady_clock::now();
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
        fold.apply(batch);
    }
    const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - begun;
    std::printf("jobs %6d of %d tasks: %.1f MiB more, %.2f us a record, written and read\n",
                jobs,
                TasksPerJob,
                residentMib() - before,
                took.count() / static_cast<double>(offset));
    return 0;
}
