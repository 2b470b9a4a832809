#include "marjoramhaven/node/ShortCarrier.h"

#include <QTimer>
#include <algorithm>

namespace marjoramhaven {

namespace {

constexpr double RetriesPerTry = 0.2;
constexpr double MostRetries = 20;
constexpr Millis AskWithin {1500};
constexpr Millis FirstRetry {40};
constexpr int MaxRetryDoublings = 4;
constexpr Millis ResolveAgain {300};
constexpr Millis ResolveGrace {1000};
constexpr Millis RetrySoon {1000};
constexpr Millis ClaimWithin {3000};

bool isSettled(const std::optional<ClaimEntry> &claim)
{
    return claim && claim->end.has_value();
}

} // namespace

// One request on its way, from the caller's question to the answer.
struct ShortCarrier::Errand {
    JobSpec spec;
    std::string traceparent;
    TimePoint deadline {};
    Answered answered;
    bool finished = false;
    int tries = 0;
    std::string nonce;
    /// The attempt that is open at a worker; empty when there is none.
    ShortDecision open;
    bool isOpen = false;
    /// True when another send of the same request may still be carried by its own entry process.
    bool mayRunElsewhere = false;
};

ShortCarrier::ShortCarrier(NodeCore &core, NodeShared &shared, std::uint64_t seed)
    : m_core(core)
    , m_shared(shared)
    , m_workers(m_http)
    , m_budget(RetriesPerTry, MostRetries)
    , m_random(seed)
    , m_nonceBase(std::to_string(std::random_device {}()) + "-" + std::to_string(m_random()))
{
}

Millis ShortCarrier::jitter(Millis upTo)
{
    return Millis(static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(upTo.count() + 1)));
}

void ShortCarrier::carry(const JobSpec &spec, const std::string &traceparent, TimePoint now, Answered answered)
{
    auto errand = std::make_shared<Errand>();
    errand->spec = spec;
    errand->traceparent = traceparent;
    errand->deadline = now + spec.deadline;
    errand->answered = std::move(answered);
    ++m_inFlight;
    m_budget.onTry(spec.team);
    QTimer::singleShot(static_cast<int>(spec.deadline.count()), this, [this, errand]() {
        // An attempt that is open at the deadline is looked up once more; otherwise nothing can start any more.
        if (errand->finished) {
            return;
        }
        if (errand->isOpen) {
            resolve(errand);
        } else {
            notRun(errand, "the deadline passed before the start", RetrySoon);
        }
    });
    if (spec.repeatable) {
        ask(errand);
    } else {
        claim(errand);
    }
}

void ShortCarrier::claim(const ErrandPtr &errand)
{
    const auto known = m_shared.fold.claims().claim(errand->spec.id);
    if (known && (known->end || !known->nonce.empty())) {
        answerFromClaim(errand, *known);
        return;
    }
    errand->nonce = m_nonceBase + "-" + std::to_string(++m_nonces);
    const ClaimMade record {errand->spec.id, errand->nonce, m_nonceBase, errand->spec.fingerprint()};
    const auto wait = std::min(errand->spec.deadline, ClaimWithin);
    postTo(&m_core, [this, errand, record, wait]() {
        const bool evenIfFailing = false;
        if (!m_core.append(record, evenIfFailing)) {
            postTo(this, [this, errand]() {
                errand->nonce.clear();
                notRun(errand, "the log can't record the claim that an unrepeatable request needs", RetrySoon);
            });
            return;
        }
        const auto condition = [this, key = record.key]() {
            const auto entry = m_shared.fold.claims().claim(key);
            return entry && (entry->end || !entry->nonce.empty());
        };
        m_core.whenFolded(condition, wait, [this, errand](bool folded) {
            postTo(this, [this, errand, folded]() {
                if (folded) {
                    handleClaimed(errand);
                } else {
                    notRun(errand, "the log did not record the claim in time", RetrySoon);
                }
            });
        });
    });
}

void ShortCarrier::handleClaimed(const ErrandPtr &errand)
{
    if (errand->finished) {
        return;
    }
    const auto entry = m_shared.fold.claims().claim(errand->spec.id);
    if (entry && entry->nonce == errand->nonce && !entry->end) {
        ask(errand);
    } else if (entry) {
        errand->nonce.clear();
        answerFromClaim(errand, *entry);
    }
}

// Another entry process, or an earlier send, holds the claim: its outcome is the answer.
void ShortCarrier::answerFromClaim(const ErrandPtr &errand, const ClaimEntry &claim)
{
    if (claim.fingerprint != 0 && claim.fingerprint != errand->spec.fingerprint()) {
        notRun(errand, "the id was used before for another request", Millis(0));
        return;
    }
    if (claim.end) {
        finishEnded(errand, claim.end->outcome, claim.end->result);
        return;
    }
    errand->mayRunElsewhere = true;
    const auto wait = std::max(Millis(0), errand->deadline - monotonicNow());
    const auto condition = [this, key = errand->spec.id]() {
        return isSettled(m_shared.fold.claims().claim(key));
    };
    postTo(&m_core, [this, errand, condition, wait]() {
        m_core.whenFolded(condition, wait, [this, errand](bool settled) {
            postTo(this, [this, errand, settled]() {
                const auto entry = m_shared.fold.claims().claim(errand->spec.id);
                if (settled && entry && entry->end) {
                    finishEnded(errand, entry->end->outcome, entry->end->result);
                } else {
                    finish(errand, {ShortAnswerKind::Unknown, "another send of the request holds the claim, and its outcome is not known yet", "", {}, {}, ""});
                }
            });
        });
    });
}

void ShortCarrier::ask(const ErrandPtr &errand)
{
    if (errand->finished) {
        return;
    }
    const auto left = errand->deadline - monotonicNow();
    if (left <= Millis(0)) {
        notRun(errand, "the deadline passed before the start", RetrySoon);
        return;
    }
    ++errand->tries;
    // The leader counts from now on how long the caller still waits.
    auto spec = errand->spec;
    spec.deadline = left;
    postTo(&m_core, [this, errand, spec, budget = std::min(left, AskWithin)]() {
        m_core.askShort(spec, budget, errand->traceparent, [this, errand](const ShortDecision &decision) {
            postTo(this, [this, errand, decision]() {
                handleDecision(errand, decision);
            });
        });
    });
}

void ShortCarrier::handleDecision(const ErrandPtr &errand, const ShortDecision &decision)
{
    const bool givesAttempt = decision.verdict == ShortVerdict::Start;
    if (errand->finished) {
        // Nobody waits any more: the reservation goes back without a start.
        if (givesAttempt) {
            postTo(&m_core, [this, errand, attempt = decision.start.attempt]() {
                m_core.shortClosed(errand->spec.zone, errand->spec.id, attempt);
            });
        }
        return;
    }
    switch (decision.verdict) {
    case ShortVerdict::Refused:
        notRun(errand, decision.reason, decision.retryAfter);
        return;
    case ShortVerdict::Ended:
        finishEnded(errand, decision.outcome, decision.result);
        return;
    case ShortVerdict::NotLeader:
        askAgain(errand, decision.reason.empty() ? "the zone has no leader yet" : decision.reason, RetrySoon);
        return;
    case ShortVerdict::Start:
    case ShortVerdict::Attach:
        send(errand, decision);
        return;
    }
}

// Asks for another decision after a pause; nothing of the request is open anywhere.
void ShortCarrier::askAgain(const ErrandPtr &errand, const std::string &reason, Millis retryAfter)
{
    const auto pause = FirstRetry * (1 << std::min(errand->tries, MaxRetryDoublings));
    const auto wait = pause + jitter(pause);
    const bool inTime = monotonicNow() + wait < errand->deadline;
    if (!inTime || (errand->tries > 1 && !m_budget.takeRetry(errand->spec.team))) {
        notRun(errand, reason, retryAfter);
        return;
    }
    m_shared.metrics.count("short_retries_total");
    QTimer::singleShot(static_cast<int>(wait.count()), this, [this, errand]() {
        ask(errand);
    });
}

void ShortCarrier::send(const ErrandPtr &errand, const ShortDecision &decision)
{
    errand->open = decision;
    errand->isOpen = true;
    m_workers.worker(decision.workerUrl).start(decision.start, [this, errand](const std::optional<Started> &answer, TimePoint) {
        handleStarted(errand, answer);
    });
}

void ShortCarrier::handleStarted(const ErrandPtr &errand, const std::optional<Started> &answer)
{
    if (errand->finished) {
        return;
    }
    if (!answer) {
        resolve(errand);
        return;
    }
    handleResolved(errand, answer->report);
}

// The start was not answered, or the deadline came: closes the attempt if it has not started.
void ShortCarrier::resolve(const ErrandPtr &errand)
{
    if (errand->finished) {
        return;
    }
    m_workers.worker(errand->open.workerUrl).close(errand->open.start.attempt, [this, errand](const std::optional<AttemptReport> &answer, TimePoint) {
        handleResolved(errand, answer);
    });
}

void ShortCarrier::handleResolved(const ErrandPtr &errand, const std::optional<AttemptReport> &answer)
{
    if (errand->finished) {
        return;
    }
    const auto now = monotonicNow();
    const auto state = answer ? answer->state : AttemptState::NotKnown;
    if (state == AttemptState::Ended) {
        finishEnded(errand, answer->outcome, answer->result);
        return;
    }
    if (state == AttemptState::Closed && now > errand->deadline + TrustClosedAfterDeadline) {
        finish(errand, {ShortAnswerKind::Unknown, "this process was held up past the deadline", "", {}, errand->open.start.attempt, errand->open.workerUrl});
        return;
    }
    if (state == AttemptState::Closed) {
        errand->isOpen = false;
        postTo(&m_core, [this, errand, attempt = errand->open.start.attempt]() {
            m_core.shortClosed(errand->spec.zone, errand->spec.id, attempt);
        });
        errand->mayRunElsewhere = errand->mayRunElsewhere || errand->open.verdict == ShortVerdict::Attach;
        askAgain(errand, "the worker did not take the start", RetrySoon);
        return;
    }
    if (now >= errand->deadline + (state == AttemptState::Running ? Millis(0) : ResolveGrace)) {
        const auto *reason = state == AttemptState::Running ? "it runs longer than its deadline" : "the worker does not answer";
        finish(errand, {ShortAnswerKind::Unknown, reason, "", {}, errand->open.start.attempt, errand->open.workerUrl});
        return;
    }
    if (state == AttemptState::Running) {
        // Waits for the end of what runs.
        send(errand, errand->open);
        return;
    }
    QTimer::singleShot(static_cast<int>(ResolveAgain.count()), this, [this, errand]() {
        resolve(errand);
    });
}

void ShortCarrier::finishEnded(const ErrandPtr &errand, TaskOutcome outcome, const std::string &result)
{
    ShortAnswer out;
    out.attempt = errand->open.start.attempt;
    out.worker = errand->open.workerUrl;
    out.result = result;
    switch (outcome) {
    case TaskOutcome::Done:
        out.kind = ShortAnswerKind::Done;
        break;
    case TaskOutcome::Failed:
        out.kind = ShortAnswerKind::Failed;
        break;
    case TaskOutcome::NotRun:
        out.kind = ShortAnswerKind::NotRun;
        break;
    case TaskOutcome::Unknown:
    case TaskOutcome::Stopped:
        out.kind = ShortAnswerKind::Unknown;
        out.reason = "it was stopped before its end";
        break;
    }
    finish(errand, out);
}

void ShortCarrier::notRun(const ErrandPtr &errand, const std::string &reason, Millis retryAfter)
{
    if (errand->finished) {
        return;
    }
    if (!errand->nonce.empty()) {
        // No start goes out under this claim any more; another send may claim again.
        postTo(&m_core, [this, record = ClaimReleased {errand->spec.id, errand->nonce}]() {
            const bool evenIfFailing = true;
            m_core.append(record, evenIfFailing);
        });
    }
    const auto kind = errand->mayRunElsewhere ? ShortAnswerKind::Unknown : ShortAnswerKind::NotRun;
    finish(errand, {kind, reason, "", retryAfter, {}, ""});
}

void ShortCarrier::finish(const ErrandPtr &errand, const ShortAnswer &answer)
{
    if (errand->finished) {
        return;
    }
    errand->finished = true;
    --m_inFlight;
    m_shared.metrics.count("short_answers_total{answer=\"" + std::string(nameOf(answer.kind)) + "\"}");
    const auto answered = std::move(errand->answered);
    answered(answer);
}

} // namespace marjoramhaven
