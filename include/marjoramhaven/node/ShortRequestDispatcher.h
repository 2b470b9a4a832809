#pragma once

#include <QObject>
#include <functional>
#include <memory>
#include <random>
#include <string>

#include "marjoramhaven/base/EnumNames.h"
#include "marjoramhaven/http/HttpClient.h"
#include "marjoramhaven/node/NodeCore.h"
#include "marjoramhaven/node/RetryBudget.h"
#include "marjoramhaven/platform/HttpWorkerService.h"

namespace marjoramhaven {

/// What a caller is told of its short request.
enum class ShortRequestOutcome {
    /// It ran; the result is whole.
    Done,
    /// It ran and failed by its own account.
    Failed,
    /// It did not run and never will.
    NotRun,
    /// It may have run, or still runs.
    Unknown,
};

template<>
struct EnumTable<ShortRequestOutcome> {
    static constexpr EnumName<ShortRequestOutcome> Rows[] = {
        {ShortRequestOutcome::Done, "done"},
        {ShortRequestOutcome::Failed, "failed"},
        {ShortRequestOutcome::NotRun, "not-run"},
        {ShortRequestOutcome::Unknown, "unknown"},
    };
};

/// The answer to a short request.
struct ShortRequestAnswer {
    ShortRequestOutcome outcome = ShortRequestOutcome::NotRun;
    std::string reason;
    std::string result;
    Millis retryAfter {0};
    /// Name of the attempt that ran, for tracing.
    AttemptId attempt;
    std::string worker;
};

/// Carries short requests from this entry process to the workers that the leader names, and takes their results.
///
/// At most one attempt of a request is open at a time: another is asked for only after the worker closed the one before.
/// Lives on the front thread.
class ShortRequestDispatcher : public QObject
{
    Q_OBJECT

public:
    ShortRequestDispatcher(NodeCore &core, NodeSharedState &shared, std::uint64_t seed);

    using AnswerCallback = std::function<void(const ShortRequestAnswer &)>;

    /// Carries a request; the callback comes once, on this thread, at the deadline plus a second at the latest.
    void dispatch(const JobSpec &spec, const std::string &traceparent, TimePoint now, AnswerCallback callback);
    /// Requests being carried.
    int inFlight() const { return m_inFlight; }
    /// Ends all calls without calling back. Call on the front thread before the object is destroyed.
    void shutDown() { m_http.shutDown(); }

private:
    struct PendingRequest;
    using PendingRequestPtr = std::shared_ptr<PendingRequest>;

    void requestDecision(const PendingRequestPtr &request);
    void acquireClaim(const PendingRequestPtr &request);
    void handleClaimRecorded(const PendingRequestPtr &request);
    void answerFromExistingClaim(const PendingRequestPtr &request, const ClaimEntry &claim);
    void handleDecision(const PendingRequestPtr &request, const ShortDecision &decision);
    void sendStart(const PendingRequestPtr &request, const ShortDecision &decision);
    void handleStartAnswer(const PendingRequestPtr &request, const std::optional<Started> &answer);
    void resolveAttempt(const PendingRequestPtr &request);
    void handleAttemptReport(const PendingRequestPtr &request, const std::optional<AttemptReport> &answer);
    void retryDecision(const PendingRequestPtr &request, const std::string &reason, Millis retryAfter);
    void finishWithOutcome(const PendingRequestPtr &request, TaskOutcome outcome, const std::string &result);
    void finishNotRun(const PendingRequestPtr &request, const std::string &reason, Millis retryAfter);
    void finish(const PendingRequestPtr &request, const ShortRequestAnswer &answer);
    Millis jitter(Millis upTo);

    NodeCore &m_core;
    NodeSharedState &m_shared;
    HttpClient m_http;
    HttpWorkerDirectory m_workers;
    RetryBudget m_budget;
    std::mt19937_64 m_random;
    std::string m_noncePrefix;
    std::uint64_t m_nonceCount = 0;
    int m_inFlight = 0;
};

} // namespace marjoramhaven
