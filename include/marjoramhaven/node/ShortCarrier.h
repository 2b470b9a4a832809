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
enum class ShortAnswerKind {
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
struct EnumTable<ShortAnswerKind> {
    static constexpr EnumName<ShortAnswerKind> Rows[] = {
        {ShortAnswerKind::Done, "done"},
        {ShortAnswerKind::Failed, "failed"},
        {ShortAnswerKind::NotRun, "not-run"},
        {ShortAnswerKind::Unknown, "unknown"},
    };
};

/// The answer to a short request.
struct ShortAnswer {
    ShortAnswerKind kind = ShortAnswerKind::NotRun;
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
class ShortCarrier : public QObject
{
    Q_OBJECT

public:
    ShortCarrier(NodeCore &core, NodeShared &shared, std::uint64_t seed);

    using Answered = std::function<void(const ShortAnswer &)>;

    /// Carries a request; the callback comes once, on this thread, at the deadline plus a second at the latest.
    void carry(const JobSpec &spec, const std::string &traceparent, TimePoint now, Answered answered);
    /// Requests being carried.
    int inFlight() const { return m_inFlight; }
    /// Ends all calls without calling back. Call on the front thread before the object is destroyed.
    void shutDown() { m_http.shutDown(); }

private:
    struct Errand;
    using ErrandPtr = std::shared_ptr<Errand>;

    void ask(const ErrandPtr &errand);
    void claim(const ErrandPtr &errand);
    void handleClaimed(const ErrandPtr &errand);
    void answerFromClaim(const ErrandPtr &errand, const ClaimEntry &claim);
    void handleDecision(const ErrandPtr &errand, const ShortDecision &decision);
    void send(const ErrandPtr &errand, const ShortDecision &decision);
    void handleStarted(const ErrandPtr &errand, const std::optional<Started> &answer);
    void resolve(const ErrandPtr &errand);
    void handleResolved(const ErrandPtr &errand, const std::optional<AttemptReport> &answer);
    void askAgain(const ErrandPtr &errand, const std::string &reason, Millis retryAfter);
    void finishEnded(const ErrandPtr &errand, TaskOutcome outcome, const std::string &result);
    void notRun(const ErrandPtr &errand, const std::string &reason, Millis retryAfter);
    void finish(const ErrandPtr &errand, const ShortAnswer &answer);
    Millis jitter(Millis upTo);

    NodeCore &m_core;
    NodeShared &m_shared;
    HttpClient m_http;
    HttpWorkerDirectory m_workers;
    RetryBudget m_budget;
    std::mt19937_64 m_random;
    std::string m_nonceBase;
    std::uint64_t m_nonces = 0;
    int m_inFlight = 0;
};

} // namespace marjoramhaven
