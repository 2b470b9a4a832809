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

/// The outcome of a short request as reported to its caller.
enum class ShortRequestOutcome {
    /// The request ran; the result is complete.
    Done,
    /// The request ran and reported a failure itself.
    Failed,
    /// The request did not run and never will.
    NotRun,
    /// The request may have run, or may still be running.
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
    /// Time after which the caller may retry; 0 when none is suggested.
    Millis retryAfter {0};
    /// The attempt that ran, for tracing.
    AttemptId attempt;
    /// Base URL of the worker of that attempt.
    std::string worker;
};

/// Dispatches short requests from this entry process to the workers that the zone's leader chooses, and returns their results.
///
/// At most one attempt of a request is open at a time: the next one is requested from the leader only after the worker has closed the previous one.
/// Lives on the HTTP thread.
class ShortRequestDispatcher : public QObject
{
    Q_OBJECT

public:
    /// The seed drives the jitter of retry delays.
    ShortRequestDispatcher(NodeCore &core, NodeSharedState &shared, std::uint64_t seed);

    using AnswerCallback = std::function<void(const ShortRequestAnswer &)>;

    /// Dispatches a request. Calls back exactly once, on this thread, at the latest about one second after the request's deadline.
    void dispatch(const JobSpec &spec, const std::string &traceparent, TimePoint now, AnswerCallback callback);
    /// Returns the number of requests without an answer yet.
    int inFlight() const { return m_inFlight; }
    /// Aborts all HTTP calls without calling back. Must be called on the HTTP thread before the object is destroyed.
    void shutDown() { m_http.shutDown(); }

private:
    struct PendingRequest;
    using PendingRequestPtr = std::shared_ptr<PendingRequest>;

    void requestDecision(const PendingRequestPtr &request);
    void acquireClaim(const PendingRequestPtr &request);
    void handleClaimRecorded(const PendingRequestPtr &request);
    void answerFromExistingClaim(const PendingRequestPtr &request, const ClaimEntry &claim);
    void handleDecision(const PendingRequestPtr &request, const ShortRequestDecision &decision);
    void sendStart(const PendingRequestPtr &request, const ShortRequestDecision &decision);
    void handleStartAnswer(const PendingRequestPtr &request, const std::optional<StartResponse> &answer);
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
