#include <algorithm>
#include <chrono>
#include <cstdio>
#include <random>
#include <vector>

#include "marjoramhaven/base/Json.h"
#include "marjoramhaven/config/MergePatch.h"
#include "marjoramhaven/zone/ZoneScheduler.h"

using namespace marjoramhaven;

namespace {

constexpr int Teams = 61;
constexpr int Rounds = 3000;

std::shared_ptr<const Configuration> configuration()
{
    QJsonObject teams;
    for (int i = 0; i < Teams; ++i) {
        teams.insert(QStringLiteral("team%1").arg(i), QJsonObject {{QLatin1String("share"), 1 + i % 5}, {QLatin1String("cap"), 0.9}});
    }
    Findings findings;
    return Configuration::read(applyMergePatch(Configuration::initialDocument(), {{QLatin1String("teams"), teams}}), findings);
}

JobSpec shortSpec(int n, std::mt19937_64 &random)
{
    JobSpec out;
    out.id = "s" + std::to_string(n);
    out.team = "team" + std::to_string(random() % Teams);
    out.urgency = "urgent";
    out.resources = Resources(200, 128, 0, 1, 1);
    return out;
}

void printPercentiles(const char *name, std::vector<double> us)
{
    std::sort(us.begin(), us.end());
    std::printf("%-44s median %8.1f us  99th %8.1f us  n %zu\n", name, us[us.size() / 2], us[us.size() * 99 / 100], us.size());
}

template<typename F>
double measureMicros(F function)
{
    const auto startedAt = std::chrono::steady_clock::now();
    function();
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - startedAt).count();
}

// Measures scheduling decisions in one zone with a full queue and most worker capacity in use, while tasks end and queued ones replace them.
void run(int workers, int running, int waiting, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    ZoneScheduler scheduler(configuration());
    for (int i = 0; i < workers; ++i) {
        scheduler.setWorker("w" + std::to_string(i), "r" + std::to_string(i / 8), Resources(32'000, 131'072, 0, 24, 64), 1);
    }
    const char *const classes[] = {"urgent", "standard", "background"};
    for (int i = 0; i < (running + waiting) / 10; ++i) {
        QueuedTasks job;
        job.jobId = "j" + std::to_string(i);
        job.team = "team" + std::to_string(random() % Teams);
        job.urgency = classes[random() % 3];
        job.resources = Resources(static_cast<std::int64_t>(500 + random() % 2500), static_cast<std::int64_t>(512 + random() % 8000), 0, 1, 0);
        for (int k = 0; k < 10; ++k) {
            job.indices.push_back(k);
        }
        scheduler.enqueue(std::move(job));
    }
    std::vector<TaskPlacement> placed;
    while (static_cast<int>(placed.size()) < running) {
        const auto more = scheduler.placeQueued(atMillis(1), 100);
        if (more.empty()) {
            break;
        }
        placed.insert(placed.end(), more.begin(), more.end());
    }
    std::vector<double> queuePlacementTimes;
    std::vector<double> shortRequestTimes;
    for (int i = 0; i < Rounds && !placed.empty(); ++i) {
        const std::size_t ended = random() % placed.size();
        scheduler.release(placed[ended].worker, placed[ended].attempt);
        placed[ended] = placed.back();
        placed.pop_back();
        std::vector<TaskPlacement> more;
        const double us = measureMicros([&]() {
            more = scheduler.placeQueued(atMillis(2 + i), 1);
        });
        if (!more.empty()) {
            queuePlacementTimes.push_back(us);
            placed.insert(placed.end(), more.begin(), more.end());
        }
        const auto spec = shortSpec(i, random);
        std::optional<TaskPlacement> placement;
        PlacementFailure cause {};
        shortRequestTimes.push_back(measureMicros([&]() {
            placement = scheduler.placeShortRequest(spec, cause);
        }));
        if (placement) {
            scheduler.release(placement->worker, placement->attempt);
        }
    }
    std::printf("workers %d, running %zu, waiting %d, seed %llu\n", workers, placed.size(), scheduler.waiting(), static_cast<unsigned long long>(seed));
    if (!queuePlacementTimes.empty()) {
        printPercentiles("  next task from the queue", queuePlacementTimes);
    }
    printPercentiles("  short request, placed or refused", shortRequestTimes);
}

} // namespace

int main()
{
    for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
        run(95, 1500, 5000, seed);
    }
    for (const int workers : {12, 24, 48, 190}) {
        run(workers, workers * 16, workers * 50, 1);
    }
    return 0;
}
