#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "marjoramhaven/base/EnumNames.h"
#include "marjoramhaven/base/Time.h"

namespace marjoramhaven {

/// Resources that a task needs, or that a worker has.
struct FleetResources {
    /// Thousandths of a processor core.
    std::int64_t cpuMilli = 0;
    std::int64_t memoryMb = 0;
    std::int64_t gpus = 0;

    FleetResources &operator+=(const FleetResources &other)
    {
        cpuMilli += other.cpuMilli;
        memoryMb += other.memoryMb;
        gpus += other.gpus;
        return *this;
    }
    FleetResources &operator-=(const FleetResources &other)
    {
        cpuMilli -= other.cpuMilli;
        memoryMb -= other.memoryMb;
        gpus -= other.gpus;
        return *this;
    }
    friend FleetResources operator+(FleetResources a, const FleetResources &b) { return a += b; }
    friend FleetResources operator-(FleetResources a, const FleetResources &b) { return a -= b; }
    friend FleetResources operator*(const FleetResources &a, std::int64_t times) { return {a.cpuMilli * times, a.memoryMb * times, a.gpus * times}; }
    /// Returns true if none of these resources exceeds the same one of `room`.
    bool fitIn(const FleetResources &room) const { return cpuMilli <= room.cpuMilli && memoryMb <= room.memoryMb && gpus <= room.gpus; }
    /// Returns true if these resources and `others` together fit into `capacity`. Asked for each worker and each step that waits, so it makes no sums that it
    /// does not need.
    bool fitBeside(const FleetResources &others, const FleetResources &capacity) const
    {
        return cpuMilli + others.cpuMilli <= capacity.cpuMilli && memoryMb + others.memoryMb <= capacity.memoryMb && gpus + others.gpus <= capacity.gpus;
    }
    /// Returns how many times these resources fit into `room`; a large number if they are all 0.
    std::size_t timesIn(const FleetResources &room) const;
};

/// One step of a job: a number of identical tasks.
struct StepSpec {
    int taskCount = 0;
    FleetResources needs;
    /// Rough estimate of one task's duration in milliseconds.
    std::int64_t estimateMs = 0;
    /// Indices of earlier steps, all of whose tasks must be done before this step starts.
    std::vector<int> after;
    /// The tasks write checkpoints and resume from the last one after a stop.
    bool checkpoints = false;
    /// Gang: all tasks run at the same time or not at all.
    bool isGang = false;
    /// The tasks run more slowly if they are spread over more than one rack.
    bool isRackLocal = false;
    /// A second, speculative run of a task may run at the same time as the first.
    bool allowsSpeculation = false;
    /// Long-running tasks: they run until the job is cancelled and are restarted whenever they end, for any reason.
    bool isLongRunning = false;
    /// Best-effort tasks: they use CPU time that other tasks leave idle, and their CPU is not counted against the worker's capacity.
    bool isBestEffort = false;
    /// Label that a worker must have to run the tasks; empty if there is no such requirement.
    std::string requiredLabel;
    /// Rack that holds the data; empty if all racks are equal.
    std::string preferredRack;
    /// Maximum number of tasks of the step on one worker; 0 means unlimited.
    int maxPerWorker = 0;
    /// Name of the image that the tasks run; tasks with the same image behave alike.
    std::string image;
    /// Upper limit for the tail response time of a long-running task in milliseconds; 0 means no limit.
    std::int64_t latencyTargetMs = 0;
    /// Maximum number of tasks of a long-running step that the scheduler itself may make unavailable at the same time; 0 means unlimited.
    int maxUnavailable = 0;
};

/// Scheduling policy of a queue.
struct QueuePolicy {
    std::string name;
    /// The host and the path prefix by which callers address the queue.
    std::string host;
    std::string prefix;
    /// Service whose workers run the queue's tasks.
    std::string service;
    /// Priority of the queue's jobs; 0 is the highest, larger values are lower.
    int priority = 0;
    /// Number of failed runs of one task after which its job fails.
    int maxAttempts = 1;
    /// A job is on time if it completes within its critical path times this factor, plus the objective.
    double slackFactor = 1;
    /// Time in milliseconds that a job may take in addition to its scaled critical path and still be on time.
    std::int64_t objectiveMs = 0;
    /// True if the advisor decides which workers may run a step.
    bool needsAdvice = false;
    /// Processing time of an advisor request in milliseconds, without the part for each worker.
    double adviceBaseMs = 0;
    /// Additional processing time of an advisor request in milliseconds for each worker that it names.
    double advicePerWorkerMs = 0;
    /// How long the advisor's tickets stay valid, in milliseconds.
    std::int64_t ticketValidityMs = 0;
};

/// One accepted configuration. Finding a queue by host and prefix takes time logarithmic in the number of queues, because operators may have thousands.
class FleetConfiguration
{
public:
    std::int64_t version = 0;

    /// Adds a queue; a second one with the same host and prefix replaces the first.
    void add(QueuePolicy queue);
    /// Returns the queue of the host whose prefix is the longest match for the path, or nullptr if none matches.
    const QueuePolicy *route(const std::string &host, const std::string &path) const;
    /// Returns the queue with exactly this host and prefix, or nullptr.
    const QueuePolicy *find(const std::string &host, const std::string &prefix) const;
    /// Returns the queue that had this policy in an earlier configuration, or nullptr if it is gone. A queue is known by its name: it keeps its jobs if its
    /// host or prefix changes, and another queue that takes over its host and prefix does not get them.
    const QueuePolicy *findAgain(const QueuePolicy &earlier) const;
    std::size_t queueCount() const;

private:
    /// By host, then by prefix.
    std::map<std::string, std::map<std::string, QueuePolicy>> m_queues;
    /// Host and prefix of each queue, by its name.
    std::map<std::string, std::pair<std::string, std::string>> m_places;
};

/// A job as its caller submitted it, with the policy of its queue at the time of submission.
struct FleetJobRequest {
    std::string id;
    QueuePolicy queue;
    /// Opaque data that is passed on to the workers.
    std::string payload;
    std::vector<StepSpec> steps;
    /// First due time in milliseconds since the Unix epoch, interval and number of repetitions of a repeated job; 0 repetitions for a job that runs once.
    std::int64_t firstDueUnixMs = 0;
    std::int64_t repeatIntervalMs = 0;
    int repeatCount = 0;
    std::int64_t acceptedUnixMs = 0;
};

/// Returns true if a job's steps and repetitions are consistent and few enough for a planner to hold; otherwise sets the lastReason(). A request that a caller
/// sent or that was stored is checked once, so that the planner may rely on it.
bool isValidRequest(const FleetJobRequest &request);

/// Identifies one task. `occurrence` counts the repetitions of the job, `step` and `index` count its steps and the tasks of a step; all start at 0.
struct FleetTaskId {
    std::string job;
    int occurrence = 0;
    int step = 0;
    int index = 0;

    bool operator==(const FleetTaskId &other) const { return fields() == other.fields(); }
    bool operator<(const FleetTaskId &other) const { return fields() < other.fields(); }
    /// Returns the text form "JOB.OCCURRENCE.STEP.INDEX".
    std::string toString() const;
    /// Parses the text form. Returns `std::nullopt`, with a lastReason(), if the text has another form.
    static std::optional<FleetTaskId> parse(const std::string &text);

private:
    std::tuple<const std::string &, int, int, int> fields() const { return {job, occurrence, step, index}; }
};

/// State of a job as reported to callers.
enum class FleetJobState {
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
};

template<>
struct EnumTable<FleetJobState> {
    static constexpr EnumName<FleetJobState> Rows[] = {
        {FleetJobState::Queued, "queued"},
        {FleetJobState::Running, "running"},
        {FleetJobState::Completed, "completed"},
        {FleetJobState::Failed, "failed"},
        {FleetJobState::Cancelled, "cancelled"},
    };
};

/// Stored form of one run that may exist on a worker.
struct RunRecord {
    std::int64_t attempt = 0;
    std::string worker;
    /// Start of the worker's incarnation in milliseconds since the Unix epoch; tells restarts of one worker apart.
    std::int64_t workerStartedUnixMs = 0;
    /// True if no leader meant the run to exist, so that it has to be stopped whatever becomes of its task.
    bool isOrphaned = false;
    /// See FleetRun::mayHoldLateLease.
    bool mayHoldLateLease = false;
    /// See FleetRun::mayStartLate. Versions that don't know the field ignore it.
    bool mayStartLate = false;
};

/// Stored form of a start request without an answer, which its worker, or a later incarnation of it, may still carry out.
struct GivenUpStartRecord {
    std::int64_t attempt = 0;
    std::string worker;
};

/// Stored form of one task.
struct TaskRecord {
    int occurrence = 0;
    int step = 0;
    int index = 0;
    /// Attempt number of the newest run; 0 before the first run.
    std::int64_t lastAttempt = 0;
    /// Attempt numbers of the runs that failed.
    std::vector<std::int64_t> failedAttempts;
    bool isDone = false;
    std::string checkpoint;
    std::vector<RunRecord> runs;
    /// Number of failed runs that `failedAttempts` does not list.
    int olderFailures = 0;
    /// Start requests without an answer that may still be carried out, whether their runs are given up or at work; empty once the task is done. Versions that
    /// don't know the field ignore it.
    std::vector<GivenUpStartRecord> givenUpStarts = {};
};

/// One part of a job's stored progress. The tasks of all steps and repetitions are numbered in order, and each part holds the same number of them, so that the
/// size of a record does not grow with the job. Part 0 also holds the state of the job.
struct JobRecord {
    std::string job;
    /// State of the job when the part was written; valid in part 0 only.
    FleetJobState state = FleetJobState::Queued;
    std::vector<TaskRecord> tasks;
    /// Number of the part; the first is 0.
    int part = 0;
};

/// Returns the key under which a part of a job's progress is stored. Part 0 has the id of the job as its key.
std::string progressKey(const std::string &job, int part);
/// Returns the id of the job that a key from progressKey() belongs to.
std::string jobOfProgressKey(const std::string &key);

/// Encode and decode the binary forms of the stored records. Decoding returns `std::nullopt`, with a lastReason(), if the bytes are malformed.
std::string encodeJobRequest(const FleetJobRequest &request);
std::optional<FleetJobRequest> decodeJobRequest(const std::string &bytes);
std::string encodeJobRecord(const JobRecord &record);
std::optional<JobRecord> decodeJobRecord(const std::string &bytes);

} // namespace marjoramhaven
