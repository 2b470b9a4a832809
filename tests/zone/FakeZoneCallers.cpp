#include "FakeZoneParts.h"

namespace marjoramhaven::test {

namespace {
constexpr Millis ShortDeadline {4000};
}

// What callers and operators do.

void FakeZone::submitJob(int member, const JobSpec &spec)
{
    step(Step::Submit, member);
    auto &it = *m_members[member];
    if (it.alive && !it.paused) {
        it.appender->add(JobAccepted {spec, "north"});
    }
}

void FakeZone::cancelJob(int member, const std::string &id)
{
    auto &it = *m_members[member];
    if (it.alive && !it.paused) {
        it.appender->add(JobCancelled {id});
    }
}

void FakeZone::sendPatch(int member, const std::string &id, const QJsonObject &patch)
{
    step(Step::Patch, member);
    auto &it = *m_members[member];
    if (it.alive && !it.paused) {
        it.appender->add(ConfigurationPatch {id, it.fold->configuration().number(), memberName(member), patch});
    }
}

void FakeZone::sendShort(int member, const JobSpec &spec)
{
    auto &it = *m_members[member];
    if (!it.alive || it.paused) {
        return;
    }
    auto call = std::make_shared<ShortCall>();
    call->spec = spec;
    call->member = member;
    call->incarnation = it.incarnation;
    call->deadline = m_now + ShortDeadline;
    call->index = m_history.calls.size();
    CallSeen seen;
    seen.id = spec.id;
    seen.repeatable = spec.repeatable;
    seen.expected = spec.work.value(QLatin1String("echo")).toString().toStdString();
    seen.sentAt = millisOf(m_now);
    // Holds the carrier's name until the answer comes.
    seen.answerId = memberName(member);
    m_history.calls.push_back(seen);
    if (spec.repeatable) {
        ask(call);
        return;
    }
    call->nonce = "n" + std::to_string(++m_nonces);
    step(Step::Claim, member);
    if (!it.alive || it.appender->isFailing()) {
        answer(call, ToldAnswer::NotRun, "");
        return;
    }
    it.appender->add(ClaimMade {spec.id, call->nonce, memberName(member), spec.fingerprint()});
    ask(call);
}

void FakeZone::ask(const std::shared_ptr<ShortCall> &call)
{
    if (call->finished) {
        return;
    }
    auto &self = *m_members[call->member];
    if (m_now >= call->deadline) {
        if (!call->nonce.empty()) {
            self.appender->add(ClaimReleased {call->spec.id, call->nonce});
        }
        answer(call, ToldAnswer::NotRun, "");
        return;
    }
    const auto again = [this, call](Millis delay) {
        after(delay, [this, call]() {
            onMember(call->member, call->incarnation, [this, call]() {
                ask(call);
            });
        });
    };
    if (!call->nonce.empty()) {
        const auto claim = self.fold->claims().claim(call->spec.id);
        if (!claim || (claim->nonce.empty() && !claim->end)) {
            again(Millis(20));
            return;
        }
        if (claim->nonce != call->nonce && !claim->end && m_now + Millis(50) < call->deadline) {
            // Another send holds the claim; its outcome is the answer.
            again(Millis(50));
            return;
        }
        if (claim->nonce != call->nonce || claim->end) {
            call->nonce.clear();
            const bool isDone = claim->end && claim->end->outcome == TaskOutcome::Done;
            answer(call, isDone ? ToldAnswer::Done : ToldAnswer::Unknown, isDone ? claim->end->result : "");
            return;
        }
    }
    const auto leaderName = self.leadership->leader();
    const int target = leaderName.empty() ? -1 : std::stoi(leaderName.substr(1));
    const bool cut = target != call->member && target >= 0 && (self.peersCut || m_members[target]->peersCut);
    if (target < 0 || cut || !m_members[target]->alive) {
        again(Millis(50));
        return;
    }
    step(Step::Answer, target);
    auto isDone = std::make_shared<bool>(false);
    after(Latency, [this, call, target, isDone, incarnation = m_members[target]->incarnation]() {
        onMember(target, incarnation, [this, call, target, isDone]() {
            auto &it = *m_members[target];
            const ShortDecided reply = [this, call, isDone](const ShortDecision &decision) {
                after(Latency, [this, call, decision, isDone]() {
                    onMember(call->member, call->incarnation, [this, call, decision, isDone]() {
                        if (!*isDone) {
                            *isDone = true;
                            decided(call, decision);
                        }
                    });
                });
            };
            if (it.leader) {
                auto spec = call->spec;
                spec.deadline = call->deadline - m_now;
                it.leader->decideShort(spec, m_now, reply);
            } else {
                ShortDecision none;
                none.verdict = ShortVerdict::NotLeader;
                reply(none);
            }
        });
    });
    after(CallTimeout, [this, call, isDone]() {
        onMember(call->member, call->incarnation, [this, call, isDone]() {
            if (!*isDone) {
                *isDone = true;
                ask(call);
            }
        });
    });
}

void FakeZone::decided(const std::shared_ptr<ShortCall> &call, const ShortDecision &decision)
{
    if (call->finished) {
        return;
    }
    if (decision.verdict == ShortVerdict::Ended) {
        answer(call, decision.outcome == TaskOutcome::Done ? ToldAnswer::Done : ToldAnswer::Unknown, decision.result);
    } else if (decision.verdict == ShortVerdict::Refused) {
        if (!call->nonce.empty()) {
            m_members[call->member]->appender->add(ClaimReleased {call->spec.id, call->nonce});
        }
        answer(call, ToldAnswer::NotRun, "");
    } else if (decision.verdict == ShortVerdict::NotLeader) {
        after(Millis(50), [this, call]() {
            onMember(call->member, call->incarnation, [this, call]() {
                ask(call);
            });
        });
    } else {
        call->open = decision;
        auto &port = m_members[call->member]->directory->worker(decision.workerUrl);
        port.start(decision.start, [this, call](const std::optional<Started> &reply, TimePoint) {
            started(call, reply ? std::optional<AttemptReport>(reply->report) : std::nullopt);
        });
    }
}

void FakeZone::started(const std::shared_ptr<ShortCall> &call, const std::optional<AttemptReport> &report)
{
    if (call->finished) {
        return;
    }
    if (report && report->state == AttemptState::Ended) {
        answer(call, report->outcome == TaskOutcome::Done ? ToldAnswer::Done : ToldAnswer::Unknown, report->result);
        return;
    }
    if (report && report->state == AttemptState::Closed && m_now > call->deadline + TrustClosedAfterDeadline) {
        answer(call, ToldAnswer::Unknown, "");
        return;
    }
    if (report && report->state == AttemptState::Closed) {
        const auto key = call->spec.id;
        const int target = leader();
        if (target >= 0 && m_members[target]->leader) {
            m_members[target]->leader->onShortClosed(key, call->open.start.attempt, m_now);
        }
        ask(call);
        return;
    }
    if (m_now >= call->deadline + Millis(1000)) {
        answer(call, ToldAnswer::Unknown, "");
        return;
    }
    after(Millis(100), [this, call]() {
        onMember(call->member, call->incarnation, [this, call]() {
            m_members[call->member]->directory->worker(call->open.workerUrl).close(call->open.start.attempt, [this, call](const auto &reply, TimePoint) {
                started(call, reply);
            });
        });
    });
}

void FakeZone::answer(const std::shared_ptr<ShortCall> &call, ToldAnswer word, const std::string &result)
{
    call->finished = true;
    auto &seen = m_history.calls[call->index];
    seen.answer = word;
    seen.result = result;
    seen.answeredAt = millisOf(m_now);
    seen.answerId = call->spec.id;
    ++m_answered;
}

} // namespace marjoramhaven::test
