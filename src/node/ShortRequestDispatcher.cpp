#include "marjoramhaven/node/ShortRequestDispatcher.h"

#include <QTimer>
#include <algorithm>

namespace marjoramhaven {

namespace {

// Retry budget of each team.
constexpr double RetriesPerRequest = 0.2;
constexpr double MaxRetryTokens = 20;
constexpr Millis DecisionTimeout {1500};
constexpr Millis FirstRetryDelay {40};
constexpr int MaxRetryDoublings = 4;
constexpr Millis ResolveRetryDelay {300};
// How long past its deadline a request still waits for a worker that does not answer about an open attempt.
constexpr Millis ResolveGrace {1000};
constexpr Millis DefaultRetryAfter {1000};
constexpr Millis ClaimTimeout {3000};

bool isSettled(const std::optional<ClaimEntry> &claim)
{
    return claim && claim->end.has_value();
}

} // namespace

// The state of one request, from its receipt to its answer.
struct ShortRequestDispatcher::PendingRequest {
    JobSpec spec;
    std::string traceparent;
    TimePoint deadline {};
    AnswerCallback callback;
    bool finished = false;
    int tries = 0;
    /// Nonce of this process's claim; empty when it holds or requests none.
    std::string nonce;
    /// The leader's decision for the last attempt; that attempt is open at its worker while hasOpenAttempt is true.
    ShortRequestDecision openDecision;
    bool hasOpenAttempt = false;
    /// True when the same request was submitted more than once and another submission, possibly through another entry process, may still run.
    bool mayRunElsewhere = false;
};

ShortRequestDispatcher::ShortRequestDispatcher(NodeCore &core, NodeSharedState &shared, std::uint64_t seed)
    : m_core(core)
    , m_shared(shared)
    , m_workers(m_http)
    , m_budget(RetriesPerRequest, MaxRetryTokens)
    , m_random(seed)
    , m_noncePrefix(std::to_string(std::random_device {}()) + "-" + std::to_string(m_random()))
{
}

Millis ShortRequestDispatcher::jitter(Millis upTo)
{
    return Millis(static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(upTo.count() + 1)));
}

void ShortRequestDispatcher::dispatch(const JobSpec &spec, const std::string &traceparent, TimePoint now, AnswerCallback callback)
{
    auto request = std::make_shared<PendingRequest>();
    request->spec = spec;
    request->traceparent = traceparent;
    request->deadline = now + spec.deadline;
    request->callback = std::move(callback);
    ++m_inFlight;
    m_budget.onFirstAttempt(spec.team);
    QTimer::singleShot(static_cast<int>(spec.deadline.count()), this, [this, request]() {
        // The state of an attempt that is open at the deadline is queried once more. Without an open attempt, nothing can start any more.
        if (request->finished) {
            return;
        }
        if (request->hasOpenAttempt) {
            resolveAttempt(request);
        } else {
            finishNotRun(request, "the deadline passed before the request was started at a worker", DefaultRetryAfter);
        }
    });
    if (spec.repeatable) {
        requestDecision(request);
    } else {
        acquireClaim(request);
    }
}

void ShortRequestDispatcher::acquireClaim(const PendingRequestPtr &request)
{
    const auto known = m_shared.replicatedState.claims().claim(request->spec.id);
    if (known && (known->end || !known->nonce.empty())) {
        answerFromExistingClaim(request, *known);
        return;
    }
    request->nonce = m_noncePrefix + "-" + std::to_string(++m_nonceCount);
    const ClaimMade record {request->spec.id, request->nonce, m_noncePrefix, request->spec.fingerprint()};
    const auto wait = std::min(request->spec.deadline, ClaimTimeout);
    postTo(&m_core, [this, request, record, wait]() {
        const bool evenIfFailing = false;
        if (!m_core.append(record, evenIfFailing)) {
            postTo(this, [this, request]() {
                request->nonce.clear();
                finishNotRun(
                    request,
                    "the claim that an unrepeatable request needs can't be recorded, because the log does not answer or the queue of records for it is full",
                    DefaultRetryAfter);
            });
            return;
        }
        const auto condition = [this, key = record.key]() {
            const auto entry = m_shared.replicatedState.claims().claim(key);
            return entry && (entry->end || !entry->nonce.empty());
        };
        m_core.whenApplied(condition, wait, [this, request](bool applied) {
            postTo(this, [this, request, applied]() {
                if (applied) {
                    handleClaimRecorded(request);
                } else {
                    finishNotRun(request, "the log did not confirm the claim of this unrepeatable request in time", DefaultRetryAfter);
                }
            });
        });
    });
}

void ShortRequestDispatcher::handleClaimRecorded(const PendingRequestPtr &request)
{
    if (request->finished) {
        return;
    }
    const auto entry = m_shared.replicatedState.claims().claim(request->spec.id);
    if (entry && entry->nonce == request->nonce && !entry->end) {
        requestDecision(request);
    } else if (entry) {
        request->nonce.clear();
        answerFromExistingClaim(request, *entry);
    }
}

// Answers with the outcome of a claim that another entry process, or an earlier submission of the request, holds.
void ShortRequestDispatcher::answerFromExistingClaim(const PendingRequestPtr &request, const ClaimEntry &claim)
{
    if (claim.fingerprint != 0 && claim.fingerprint != request->spec.fingerprint()) {
        finishNotRun(request, "the id is already in use for a different request; send this one under a new id", Millis(0));
        return;
    }
    if (claim.end) {
        finishWithOutcome(request, claim.end->outcome, claim.end->result);
        return;
    }
    request->mayRunElsewhere = true;
    const auto wait = std::max(Millis(0), request->deadline - monotonicNow());
    const auto condition = [this, key = request->spec.id]() {
        return isSettled(m_shared.replicatedState.claims().claim(key));
    };
    postTo(&m_core, [this, request, condition, wait]() {
        m_core.whenApplied(condition, wait, [this, request](bool settled) {
            postTo(this, [this, request, settled]() {
                const auto entry = m_shared.replicatedState.claims().claim(request->spec.id);
                if (settled && entry && entry->end) {
                    finishWithOutcome(request, entry->end->outcome, entry->end->result);
                } else {
                    finish(request,
                           {ShortRequestOutcome::Unknown,
                            "the same request was sent before and holds the claim; its outcome was not recorded before the deadline",
                            "",
                            {},
                            {},
                            ""});
                }
            });
        });
    });
}

void ShortRequestDispatcher::requestDecision(const PendingRequestPtr &request)
{
    if (request->finished) {
        return;
    }
    const auto left = request->deadline - monotonicNow();
    if (left <= Millis(0)) {
        finishNotRun(request, "the deadline passed before the request was started at a worker", DefaultRetryAfter);
        return;
    }
    ++request->tries;
    // The leader measures the deadline from its receipt of the spec, so the spec carries the remaining time.
    auto spec = request->spec;
    spec.deadline = left;
    postTo(&m_core, [this, request, spec, budget = std::min(left, DecisionTimeout)]() {
        m_core.requestShortDecision(spec, budget, request->traceparent, [this, request](const ShortRequestDecision &decision) {
            postTo(this, [this, request, decision]() {
                handleDecision(request, decision);
            });
        });
    });
}

void ShortRequestDispatcher::handleDecision(const PendingRequestPtr &request, const ShortRequestDecision &decision)
{
    const bool reservesAttempt = decision.verdict == ShortRequestVerdict::Start;
    if (request->finished) {
        // The request is already answered: releases the reservation at the leader without starting the attempt.
        if (reservesAttempt) {
            postTo(&m_core, [this, request, attempt = decision.start.attempt]() {
                m_core.reportAttemptClosed(request->spec.zone, request->spec.id, attempt);
            });
        }
        return;
    }
    switch (decision.verdict) {
    case ShortRequestVerdict::Refused:
        finishNotRun(request, decision.reason, decision.retryAfter);
        return;
    case ShortRequestVerdict::Ended:
        finishWithOutcome(request, decision.outcome, decision.result);
        return;
    case ShortRequestVerdict::NotLeader:
        retryDecision(
            request, decision.reason.empty() ? "the asked process does not lead the zone, or has only just begun to" : decision.reason, DefaultRetryAfter);
        return;
    case ShortRequestVerdict::Start:
    case ShortRequestVerdict::Attach:
        sendStart(request, decision);
        return;
    }
}

// Requests another decision after a back-off delay. Must be called only while the request has no open attempt.
void ShortRequestDispatcher::retryDecision(const PendingRequestPtr &request, const std::string &reason, Millis retryAfter)
{
    const auto pause = FirstRetryDelay * (1 << std::min(request->tries, MaxRetryDoublings));
    const auto wait = pause + jitter(pause);
    const bool inTime = monotonicNow() + wait < request->deadline;
    if (!inTime || (request->tries > 1 && !m_budget.consumeRetry(request->spec.team))) {
        finishNotRun(request, reason, retryAfter);
        return;
    }
    m_shared.metrics.count("short_retries_total");
    QTimer::singleShot(static_cast<int>(wait.count()), this, [this, request]() {
        requestDecision(request);
    });
}

void ShortRequestDispatcher::sendStart(const PendingRequestPtr &request, const ShortRequestDecision &decision)
{
    request->openDecision = decision;
    request->hasOpenAttempt = true;
    m_workers.worker(decision.workerUrl).start(decision.start, [this, request](const std::optional<StartResponse> &answer, TimePoint) {
        handleStartAnswer(request, answer);
    });
}

void ShortRequestDispatcher::handleStartAnswer(const PendingRequestPtr &request, const std::optional<StartResponse> &answer)
{
    if (request->finished) {
        return;
    }
    if (!answer) {
        resolveAttempt(request);
        return;
    }
    handleAttemptReport(request, answer->report);
}

// Finds out the state of the open attempt, after an unanswered start or at the deadline. Closes the attempt if it has not started.
void ShortRequestDispatcher::resolveAttempt(const PendingRequestPtr &request)
{
    if (request->finished) {
        return;
    }
    m_workers.worker(request->openDecision.workerUrl)
        .close(request->openDecision.start.attempt, [this, request](const std::optional<AttemptReport> &answer, TimePoint) {
            handleAttemptReport(request, answer);
        });
}

void ShortRequestDispatcher::handleAttemptReport(const PendingRequestPtr &request, const std::optional<AttemptReport> &answer)
{
    if (request->finished) {
        return;
    }
    const auto now = monotonicNow();
    const auto state = answer ? answer->state : AttemptState::NotKnown;
    if (state == AttemptState::Ended) {
        finishWithOutcome(request, answer->outcome, answer->result);
        return;
    }
    if (state == AttemptState::Closed && now > request->deadline + ClosedReportValidity) {
        finish(request,
               {ShortRequestOutcome::Unknown,
                "this process resumed too long after the deadline to rely on the worker's report that the attempt did not run",
                "",
                {},
                request->openDecision.start.attempt,
                request->openDecision.workerUrl});
        return;
    }
    if (state == AttemptState::Closed) {
        request->hasOpenAttempt = false;
        postTo(&m_core, [this, request, attempt = request->openDecision.start.attempt]() {
            m_core.reportAttemptClosed(request->spec.zone, request->spec.id, attempt);
        });
        request->mayRunElsewhere = request->mayRunElsewhere || request->openDecision.verdict == ShortRequestVerdict::Attach;
        retryDecision(request, "the worker refused or did not receive the start", DefaultRetryAfter);
        return;
    }
    if (now >= request->deadline + (state == AttemptState::Running ? Millis(0) : ResolveGrace)) {
        const auto *reason = state == AttemptState::Running ? "the request is still running at its deadline"
                                                            : "the worker did not report the state of the attempt within 1 s after the deadline";
        finish(request, {ShortRequestOutcome::Unknown, reason, "", {}, request->openDecision.start.attempt, request->openDecision.workerUrl});
        return;
    }
    if (state == AttemptState::Running) {
        // A repeated start of a running attempt returns when the attempt ends.
        sendStart(request, request->openDecision);
        return;
    }
    QTimer::singleShot(static_cast<int>(ResolveRetryDelay.count()), this, [this, request]() {
        resolveAttempt(request);
    });
}

void ShortRequestDispatcher::finishWithOutcome(const PendingRequestPtr &request, TaskOutcome outcome, const std::string &result)
{
    ShortRequestAnswer out;
    out.attempt = request->openDecision.start.attempt;
    out.worker = request->openDecision.workerUrl;
    out.result = result;
    switch (outcome) {
    case TaskOutcome::Done:
        out.outcome = ShortRequestOutcome::Done;
        break;
    case TaskOutcome::Failed:
        out.outcome = ShortRequestOutcome::Failed;
        break;
    case TaskOutcome::NotRun:
        out.outcome = ShortRequestOutcome::NotRun;
        break;
    case TaskOutcome::Unknown:
    case TaskOutcome::Stopped:
        out.outcome = ShortRequestOutcome::Unknown;
        out.reason = "the request was stopped before it finished, or its outcome was lost";
        break;
    }
    finish(request, out);
}

void ShortRequestDispatcher::finishNotRun(const PendingRequestPtr &request, const std::string &reason, Millis retryAfter)
{
    if (request->finished) {
        return;
    }
    if (!request->nonce.empty()) {
        // This process sends no further start under the claim, so the claim is released for another submission of the request.
        postTo(&m_core, [this, record = ClaimReleased {request->spec.id, request->nonce}]() {
            const bool evenIfFailing = true;
            m_core.append(record, evenIfFailing);
        });
    }
    const auto outcome = request->mayRunElsewhere ? ShortRequestOutcome::Unknown : ShortRequestOutcome::NotRun;
    finish(request, {outcome, reason, "", retryAfter, {}, ""});
}

void ShortRequestDispatcher::finish(const PendingRequestPtr &request, const ShortRequestAnswer &answer)
{
    if (request->finished) {
        return;
    }
    request->finished = true;
    --m_inFlight;
    m_shared.metrics.count("short_answers_total{answer=\"" + std::string(nameOf(answer.outcome)) + "\"}");
    const auto callback = std::move(request->callback);
    callback(answer);
}

} // namespace marjoramhaven
