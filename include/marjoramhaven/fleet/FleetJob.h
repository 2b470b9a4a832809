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

/// What one task occupies on its worker.
struct TaskNeeds {
    /// Thousandths of a processor core.
    std::int64_t cpuMilli = 0;
    std::int64_t memoryMb = 0;
    std::int64_t gpus = 0;
};

/// One step of a job: a number of alike tasks.
struct StepSpec {
    int taskCount = 0;
    TaskNeeds needs;
    /// A rough guess of one task's duration in milliseconds.
    std::int64_t estimateMs = 0;
    /// Numbers of earlier steps, all of whose tasks must have ended before this step starts.
    std::vector<int> after;
    bool checkpoints = false;
    /// All tasks run together or not at all.
    bool isGang = false;
    /// The tasks slow down when they stand in more than one rack.
    bool isRackLocal = false;
    /// A second copy of a task may run at the same time.
    bool allowsCopies = false;
    /// The tasks serve until the job is cancelled, and are started again however they end.
    bool isLasting = false;
    /// The tasks use processor time that others leave over; their processors are not counted against the worker.
    bool isFiller = false;
    std::string requiredLabel;
    /// The rack that holds the data; empty when it makes no difference.
    std::string preferredRack;
    /// Most tasks of the step on one worker; 0 when there is no bound.
    int maxPerWorker = 0;
    /// Tasks with the same image behave alike.
    std::string image;
    /// Bound on the tail of a lasting task's response times in milliseconds; 0 when there is none.
    std::int64_t targetMs = 0;
    /// Most tasks of a lasting step that may be away at once by the scheduler's own doing; 0 when there is no bound.
    int maxUnavailable = 0;
};

/// How a queue wants its jobs treated.
struct QueuePolicy {
    std::string name;
    /// The host and the path prefix by which callers address the queue.
    std::string host;
    std::string prefix;
    std::string service;
    /// 0 comes first.
    int priority = 0;
    /// Runs of a task that may end as failed before its job has failed.
    int maxAttempts = 1;
    /// A job is on time when it completes within this factor of its longest criticalPath of work, plus the objective.
    double slackFactor = 1;
    std::int64_t objectiveMs = 0;
    /// True when only an advisor knows which workers may run a step.
    bool needsAdvice = false;
    double adviceBaseMs = 0;
    double advicePerWorkerMs = 0;
    std::int64_t ticketValidityMs = 0;
};

/// One accepted configuration. Found by host and prefix in the logarithm of the number of queues, since operators may have thousands.
class FleetConfiguration
{
public:
    std::int64_t version = 0;

    /// Adds a queue; a second one with the same host and prefix replaces the first.
    void add(QueuePolicy queue);
    /// The queue with the longest prefix of the path on a host, or none.
    const QueuePolicy *route(const std::string &host, const std::string &path) const;
    /// The queue with exactly this host and prefix, or none.
    const QueuePolicy *find(const std::string &host, const std::string &prefix) const;
    std::size_t queueCount() const;

private:
    /// By host, then by prefix.
    std::map<std::string, std::map<std::string, QueuePolicy>> m_queues;
};

/// A job as its caller submitted it, with the policy of its queue at that time.
struct FleetJobRequest {
    std::string id;
    QueuePolicy queue;
    /// Passed on to the workers unread.
    std::string payload;
    std::vector<StepSpec> steps;
    /// First due time in milliseconds since the Unix epoch, interval and number of repetitions; 0 repetitions for a plain job.
    std::int64_t firstDueUnixMs = 0;
    std::int64_t repeatIntervalMs = 0;
    int repeatCount = 0;
    std::int64_t acceptedUnixMs = 0;
};

/// Names one task of the fleet.
struct FleetTaskId {
    std::string job;
    int occurrence = 0;
    int step = 0;
    int index = 0;

    bool operator==(const FleetTaskId &other) const { return fields() == other.fields(); }
    bool operator<(const FleetTaskId &other) const { return fields() < other.fields(); }
    /// Renders "JOB.OCCURRENCE.STEP.INDEX".
    std::string toString() const;
    /// Reads that form; nothing, with a last reason, when it is not that.
    static std::optional<FleetTaskId> parse(const std::string &text);

private:
    std::tuple<const std::string &, int, int, int> fields() const { return {job, occurrence, step, index}; }
};

/// What callers are told of a job.
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

/// What is kept of one run that may exist on a worker.
struct RunRecord {
    std::int64_t attempt = 0;
    std::string worker;
    /// Start of the worker's incarnation in milliseconds since the Unix epoch.
    std::int64_t workerStartedUnixMs = 0;
};

/// What is kept of one task.
struct TaskRecord {
    int occurrence = 0;
    int step = 0;
    int index = 0;
    /// Number of the newest run; 0 before the first.
    std::int64_t lastAttempt = 0;
    /// Attempts whose runs ended as failed.
    std::vector<std::int64_t> failedAttempts;
    bool isDone = false;
    std::string checkpoint;
    std::vector<RunRecord> runs;
};

/// What is kept of one job's progress.
struct JobRecord {
    std::string job;
    FleetJobState state = FleetJobState::Queued;
    std::vector<TaskRecord> tasks;
};

/// Binary forms of the stored records. Decoding gives nothing, with a last reason, when the bytes can't be read.
std::string encodeJobRequest(const FleetJobRequest &request);
std::optional<FleetJobRequest> decodeJobRequest(const std::string &bytes);
std::string encodeJobRecord(const JobRecord &record);
std::optional<JobRecord> decodeJobRecord(const std::string &bytes);

} // namespace marjoramhaven
