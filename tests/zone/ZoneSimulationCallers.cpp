#include "ZoneSimulationParts.h"

namespace marjoramhaven::test {

namespace {
constexpr Millis ShortDeadline {4000};
}

// Actions of callers and operators.

void ZoneSimulation::submitJob(int member, const JobSpec &spec)
{
    reportStep(Step::Submit, member);
    auto &it = *m_members[member];
    if (it.isAlive && !it.isPaused) {
        it.appender->add(JobAccepted {spec, "north"});
    }
}

void ZoneSimulation::cancelJob(int member, const std::string &id)
{
    auto &it = *m_members[member];
    if (it.isAlive && !it.isPaused) {
        it.appender->add(JobCancelled {id});
    }
}

void ZoneSimulation::sendPatch(int member, const std::string &id, const QJsonObject &patch)
{
    reportStep(Step::Patch, member);
    auto &it = *m_members[member];
    if (it.isAlive && !it.isPaused) {
        it.appender->add(ConfigurationPatch {id, it.replicatedState->configuration().number(), memberName(member), patch});
    }
}

void ZoneSimulation::sendShortRequest(int member, const JobSpec &spec)
{
    auto &it = *m_members[member];
    if (!it.isAlive || it.isPaused) {
        return;
    }
    auto call = std::make_shared<ShortRequestCall>();
    call->spec = spec;
    call->member = member;
    call->incarnation = it.incarnation;
    call->deadline = m_now + ShortDeadline;
    call->index = m_history.calls.size();
    ObservedCall seen;
    seen.id = spec.id;
    seen.repeatable = spec.repeatable;
    seen.expected = spec.work.value(QLatin1String("echo")).toString().toStdString();
    seen.sentAt = millisOf(m_now);
    // Until the answer arrives, this field holds the name of the member that handles the call.
    seen.answerId = memberName(member);
    m_history.calls.push_back(seen);
    if (spec.repeatable) {
        askLeader(call);
        return;
    }
    call->nonce = "n" + std::to_string(++m_nonces);
    reportStep(Step::Claim, member);
    if (!it.isAlive || it.appender->isFailing()) {
        finishCall(call, ObservedAnswer::NotRun, "");
        return;
    }
    it.appender->add(ClaimMade {spec.id, call->nonce, memberName(member), spec.fingerprint()});
    askLeader(call);
}

void ZoneSimulation::askLeader(const std::shared_ptr<ShortRequestCall> &call)
{
    if (call->finished) {
        return;
    }
    auto &self = *m_members[call->member];
    if (m_now >= call->deadline) {
        if (!call->nonce.empty()) {
            self.appender->add(ClaimReleased {call->spec.id, call->nonce});
        }
        finishCall(call, ObservedAnswer::NotRun, "");
        return;
    }
    const auto retryLater = [this, call](Millis delay) {
        postDelayed(delay, [this, call]() {
            onMember(call->member, call->incarnation, [this, call]() {
                askLeader(call);
            });
        });
    };
    if (!call->nonce.empty()) {
        const auto claim = self.replicatedState->claims().claim(call->spec.id);
        if (!claim || (claim->nonce.empty() && !claim->end)) {
            retryLater(Millis(20));
            return;
        }
        if (claim->nonce != call->nonce && !claim->end && m_now + Millis(50) < call->deadline) {
            // Another sending of the request holds the claim; its outcome is the answer to this one too.
            retryLater(Millis(50));
            return;
        }
        if (claim->nonce != call->nonce || claim->end) {
            call->nonce.clear();
            const bool isDone = claim->end && claim->end->outcome == TaskOutcome::Done;
            finishCall(call, isDone ? ObservedAnswer::Done : ObservedAnswer::Unknown, isDone ? claim->end->result : "");
            return;
        }
    }
    const auto leaderName = self.leadership->leader();
    const int target = leaderName.empty() ? -1 : std::stoi(leaderName.substr(1));
    const bool cut = target != call->member && target >= 0 && (self.isCutFromPeers || m_members[target]->isCutFromPeers);
    if (target < 0 || cut || !m_members[target]->isAlive) {
        retryLater(Millis(50));
        return;
    }
    reportStep(Step::Answer, target);
    auto isDone = std::make_shared<bool>(false);
    postDelayed(Latency, [this, call, target, isDone, incarnation = m_members[target]->incarnation]() {
        onMember(target, incarnation, [this, call, target, isDone]() {
            auto &it = *m_members[target];
            const ShortRequestCallback reply = [this, call, isDone](const ShortRequestDecision &decision) {
                postDelayed(Latency, [this, call, decision, isDone]() {
                    onMember(call->member, call->incarnation, [this, call, decision, isDone]() {
                        if (!*isDone) {
                            *isDone = true;
                            handleDecision(call, decision);
                        }
                    });
                });
            };
            if (it.leader) {
                auto spec = call->spec;
                spec.deadline = call->deadline - m_now;
                it.leader->decideShortRequest(spec, m_now, reply);
            } else {
                ShortRequestDecision notLeader;
                notLeader.verdict = ShortRequestVerdict::NotLeader;
                reply(notLeader);
            }
        });
    });
    postDelayed(CallTimeout, [this, call, isDone]() {
        onMember(call->member, call->incarnation, [this, call, isDone]() {
            if (!*isDone) {
                *isDone = true;
                askLeader(call);
            }
        });
    });
}

void ZoneSimulation::handleDecision(const std::shared_ptr<ShortRequestCall> &call, const ShortRequestDecision &decision)
{
    if (call->finished) {
        return;
    }
    if (decision.verdict == ShortRequestVerdict::Ended) {
        finishCall(call, decision.outcome == TaskOutcome::Done ? ObservedAnswer::Done : ObservedAnswer::Unknown, decision.result);
    } else if (decision.verdict == ShortRequestVerdict::Refused) {
        if (!call->nonce.empty()) {
            m_members[call->member]->appender->add(ClaimReleased {call->spec.id, call->nonce});
        }
        finishCall(call, ObservedAnswer::NotRun, "");
    } else if (decision.verdict == ShortRequestVerdict::NotLeader) {
        postDelayed(Millis(50), [this, call]() {
            onMember(call->member, call->incarnation, [this, call]() {
                askLeader(call);
            });
        });
    } else {
        call->decision = decision;
        auto &client = m_members[call->member]->directory->worker(decision.workerUrl);
        client.start(decision.start, [this, call](const std::optional<StartResponse> &reply, TimePoint) {
            handleStarted(call, reply ? std::optional<AttemptReport>(reply->report) : std::nullopt);
        });
    }
}

void ZoneSimulation::handleStarted(const std::shared_ptr<ShortRequestCall> &call, const std::optional<AttemptReport> &report)
{
    if (call->finished) {
        return;
    }
    if (report && report->state == AttemptState::Ended) {
        finishCall(call, report->outcome == TaskOutcome::Done ? ObservedAnswer::Done : ObservedAnswer::Unknown, report->result);
        return;
    }
    if (report && report->state == AttemptState::Closed && m_now > call->deadline + ClosedReportValidity) {
        finishCall(call, ObservedAnswer::Unknown, "");
        return;
    }
    if (report && report->state == AttemptState::Closed) {
        const auto key = call->spec.id;
        const int target = leader();
        if (target >= 0 && m_members[target]->leader) {
            m_members[target]->leader->onShortRequestClosed(key, call->decision.start.attempt, m_now);
        }
        askLeader(call);
        return;
    }
    if (m_now >= call->deadline + Millis(1000)) {
        finishCall(call, ObservedAnswer::Unknown, "");
        return;
    }
    postDelayed(Millis(100), [this, call]() {
        onMember(call->member, call->incarnation, [this, call]() {
            m_members[call->member]
                ->directory->worker(call->decision.workerUrl)
                .close(call->decision.start.attempt, [this, call](const auto &reply, TimePoint) {
                    handleStarted(call, reply);
                });
        });
    });
}

void ZoneSimulation::finishCall(const std::shared_ptr<ShortRequestCall> &call, ObservedAnswer answer, const std::string &result)
{
    call->finished = true;
    auto &seen = m_history.calls[call->index];
    seen.answer = answer;
    seen.result = result;
    seen.answeredAt = millisOf(m_now);
    seen.answerId = call->spec.id;
    ++m_answered;
}

} // namespace marjoramhaven::test
