#include <algorithm>

#include "marjoramhaven/zone/ZoneLeader.h"

namespace marjoramhaven {

namespace {

// The worker refuses a start that reaches it later than this after the decision.
constexpr Millis StartValidity {1000};
// The worker is asked about an attempt this long after it would refuse the start, and then at every CheckInterval.
constexpr Millis CheckMargin {500};
constexpr Millis CheckInterval {5000};
constexpr Millis RetryAfterDuringTakeover {500};
constexpr Millis RetryAfterWhenFull {2000};
constexpr Millis RetryAfterWhenTooLarge {60'000};
constexpr Millis MaxHoldDuringTakeover {1000};

ShortRequestDecision refusal(std::string reason, Millis retryAfter)
{
    ShortRequestDecision out;
    out.verdict = ShortRequestVerdict::Refused;
    out.reason = std::move(reason);
    out.retryAfter = retryAfter;
    return out;
}

ShortRequestDecision refusalFor(PlacementFailure cause)
{
    return refusal(std::string(nameOf(cause)), cause == PlacementFailure::LargerThanAnyWorker ? RetryAfterWhenTooLarge : RetryAfterWhenFull);
}

} // namespace

std::optional<ShortRequestDecision> ZoneLeader::decisionForKnownRequest(const std::string &key) const
{
    ShortRequestDecision out;
    if (const auto *end = m_shortRequests.result(key)) {
        out.verdict = ShortRequestVerdict::Ended;
        out.outcome = end->outcome;
        out.result = end->result;
        return out;
    }
    const auto *active = m_shortRequests.active(key);
    if (active == nullptr) {
        return std::nullopt;
    }
    out.verdict = ShortRequestVerdict::Attach;
    out.workerUrl = active->workerUrl;
    out.start.session = active->session;
    out.start.attempt = active->attempt;
    out.start.awaitEnd = true;
    return out;
}

ShortRequestDecision ZoneLeader::startDecision(const JobSpec &spec, const TaskPlacement &placed, TimePoint now) const
{
    auto &link = *m_links.at(placed.worker);
    ShortRequestDecision out;
    out.verdict = ShortRequestVerdict::Start;
    out.workerUrl = link.vm().url;
    out.start.session = link.session();
    out.start.attempt = placed.attempt;
    out.start.reservation = placed.reservation;
    out.start.notAfter = link.workerClock(now) + StartValidity.count();
    out.start.leaseUntil = link.grantLease(now);
    out.start.label = TaskLabel {spec.id, ShortRequestIndex, JobKind::ShortRequest, placed.owner, spec.repeatable, spec.deadline}.toText();
    out.start.work = spec.work;
    out.start.awaitEnd = true;
    return out;
}

std::optional<ShortRequestDecision> ZoneLeader::tryStartShortRequest(const JobSpec &spec, TimePoint now, PlacementFailure &cause)
{
    const auto placed = m_scheduler.placeShortRequest(spec, cause);
    if (!placed) {
        return std::nullopt;
    }
    m_shortRequests.add(spec.id,
                        {placed->worker,
                         m_links.at(placed->worker)->vm().url,
                         placed->attempt,
                         m_links.at(placed->worker)->session(),
                         now + StartValidity + CheckMargin,
                         spec.repeatable});
    return startDecision(spec, *placed, now);
}

void ZoneLeader::decideShortRequest(const JobSpec &spec, TimePoint now, ShortRequestCallback callback)
{
    const auto configuration = m_replicatedState.configuration().configuration();
    const auto *policy = configuration->urgencyClass(spec.urgency);
    if (m_isFenced || policy == nullptr) {
        ShortRequestDecision out;
        out.verdict = ShortRequestVerdict::NotLeader;
        callback(out);
        return;
    }
    if (m_recovered) {
        if (const auto known = decisionForKnownRequest(spec.id)) {
            callback(*known);
            return;
        }
        PlacementFailure cause {};
        if (const auto placed = tryStartShortRequest(spec, now, cause)) {
            callback(*placed);
            return;
        }
        if (cause == PlacementFailure::LargerThanAnyWorker || cause == PlacementFailure::QuotaReached || policy->hold <= Millis(0)) {
            callback(refusalFor(cause));
            return;
        }
    }
    if (m_shortRequests.heldInClass(spec.urgency) >= policy->maxQueued) {
        callback(refusal("the urgency class already holds its maximum number of waiting requests", RetryAfterWhenFull));
        return;
    }
    const auto hold = m_recovered ? policy->hold : MaxHoldDuringTakeover;
    m_shortRequests.hold({spec, now + std::min(hold, spec.deadline), std::move(callback)});
}

void ZoneLeader::decideHeld(TimePoint now)
{
    if (m_shortRequests.heldCount() == 0) {
        return;
    }
    auto held = m_shortRequests.takeHeld();
    const auto configuration = m_replicatedState.configuration().configuration();
    // Classes are served in the order of their weight, the requests of a class in the order of arrival.
    std::stable_sort(held.begin(), held.end(), [&](const auto &a, const auto &b) {
        const auto *classOfA = configuration->urgencyClass(a.spec.urgency);
        const auto *classOfB = configuration->urgencyClass(b.spec.urgency);
        return (classOfA == nullptr ? 0 : classOfA->weight) > (classOfB == nullptr ? 0 : classOfB->weight);
    });
    for (auto &it : held) {
        PlacementFailure cause = PlacementFailure::NoReachableWorker;
        std::optional<ShortRequestDecision> decision;
        if (m_recovered) {
            decision = decisionForKnownRequest(it.spec.id);
            if (!decision) {
                decision = tryStartShortRequest(it.spec, now, cause);
            }
        }
        if (!decision && now >= it.until) {
            decision = m_recovered ? refusalFor(cause) : refusal("the zone's leader is still taking over", RetryAfterDuringTakeover);
        }
        if (decision) {
            it.callback(*decision);
        } else {
            m_shortRequests.hold(std::move(it));
        }
    }
}

void ZoneLeader::rejectHeldRequests()
{
    ShortRequestDecision out;
    out.verdict = ShortRequestVerdict::NotLeader;
    for (auto &it : m_shortRequests.takeHeld()) {
        it.callback(out);
    }
}

void ZoneLeader::onShortRequestClosed(const std::string &key, const AttemptId &attempt, TimePoint now)
{
    const auto *active = m_shortRequests.active(key);
    if (active != nullptr && active->attempt == attempt) {
        handleNotStarted(active->worker, attempt, now);
    }
}

void ZoneLeader::handleShortRequestEnded(WorkerLink &link, const AttemptReport &report, const TaskLabel &label, TimePoint now)
{
    const auto &key = report.attempt.task;
    const auto *active = m_shortRequests.active(key);
    if (active != nullptr && active->attempt == report.attempt) {
        m_shortRequests.remove(key);
    }
    m_shortRequests.retainResult(key, {report.outcome, report.result}, now);
    const auto claim = label.repeatable ? std::nullopt : m_replicatedState.claims().claim(key);
    if (label.repeatable || (claim && claim->end)) {
        // The worker must remember that the attempt ran for as long as the entry process may still ask for it.
        m_deferredAcks.push_back({now + label.deadline + EndedAttemptRetention, link.vm().name, report.attempt});
        return;
    }
    // The attempt is acknowledged only after the log holds its outcome; until then the worker keeps the result.
    m_settlingRequests[key] = {link.vm().name, report};
    m_appender.add(ClaimSettled {key, report.outcome, report.result});
}

void ZoneLeader::acknowledgeDueAttempts(TimePoint now)
{
    std::erase_if(m_deferredAcks, [&](const DeferredAck &it) {
        if (now < it.due) {
            return false;
        }
        if (auto *link = findLink(it.worker)) {
            link->acknowledge(it.attempt);
        }
        return true;
    });
}

void ZoneLeader::checkOverdueShortRequests(TimePoint now)
{
    std::vector<std::string> due;
    for (const auto &[key, active] : m_shortRequests.activeRequests()) {
        if (now >= active.checkAt) {
            due.push_back(key);
        }
    }
    const std::weak_ptr<bool> alive = m_alive;
    for (const auto &key : due) {
        m_shortRequests.setCheckAt(key, now + CheckInterval);
        const auto active = *m_shortRequests.active(key);
        auto *link = findLink(active.worker);
        if (link == nullptr || !link->isOpen()) {
            continue;
        }
        link->service().close(active.attempt, [this, alive, active](const std::optional<AttemptReport> &answer, TimePoint at) {
            if (!alive.expired() && answer && answer->state == AttemptState::Closed) {
                handleNotStarted(active.worker, active.attempt, at);
            }
        });
    }
}

} // namespace marjoramhaven
