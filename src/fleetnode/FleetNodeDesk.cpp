#include <algorithm>

#include "FleetNodeCalls.h"

namespace marjoramhaven {

namespace {

// A question that was sent is sent again after this time, as its planner may have gone.
constexpr Millis AskAgainAfter {600};
constexpr Millis AnswerMargin {150};
// While its link to the planner lives, a process stores a record itself only when this much of its time is left.
constexpr Millis DirectStoreNeeds {1100};
constexpr Millis ComeBackAfter {1000};
// A takeover is over within about this time; whoever has no planner for longer reads by itself, and goes on for a while once it is linked again.
constexpr Millis ReadAloneAfter {600};
constexpr Millis ReadAloneAtLeast {4000};
// An accepted job has stored progress, or is known to its planner, within this time.
constexpr Millis RememberAccepted {60'000};

} // namespace

void FleetNode::submit(FleetJobRequest request, Millis budget, std::function<void(const SubmitAnswer &)> done)
{
    const auto id = request.id;
    const auto queue = request.queue.name;
    const auto receivedAt = monotonicNow();
    KeyedRecord record {acceptanceKey(id), encodeJobRequest(request), 0};
    storeRecord(std::move(record), budget, [this, id, queue, receivedAt, done = std::move(done)](const SubmitAnswer &answer) {
        const auto took = (monotonicNow() - receivedAt).count();
        m_events.write("submit",
                       {{"id", id},
                        {"queue", queue},
                        {"verdict", std::string(nameOf(answer.verdict))},
                        {"reason", answer.reason},
                        {"configuration", m_configuration ? m_configuration->version : 0},
                        {"took_ms", took}});
        m_metrics.count("submits_total{verdict=\"" + std::string(nameOf(answer.verdict)) + "\"}");
        m_metrics.observeMillis("submit_ms", static_cast<double>(took));
        if (answer.verdict == SubmitVerdict::Accepted) {
            noteAccepted(id, monotonicNow());
        }
        done(answer);
    });
}

void FleetNode::query(const std::string &job, Millis budget, std::function<void(const QueryAnswer &)> done)
{
    auto question = std::make_shared<Question>();
    question->message.job = job;
    question->deadline = monotonicNow() + budget - AnswerMargin;
    question->done = [done = std::move(done)](const FleetQueryAnswerMessage *answer) {
        QueryAnswer out;
        if (answer != nullptr) {
            const auto state = valueOf<FleetJobState>(answer->state);
            out.verdict = answer->isKnown && state ? QueryVerdict::Known : QueryVerdict::NoSuchJob;
            out.state = state.value_or(FleetJobState::Queued);
        }
        done(out);
    };
    ask(question);
}

void FleetNode::pending(const QueuePolicy &queue, Millis budget, std::function<void(const PendingAnswer &)> done)
{
    auto question = std::make_shared<Question>();
    question->message.host = queue.host;
    question->message.prefix = queue.prefix;
    question->deadline = monotonicNow() + budget - AnswerMargin;
    question->done = [done = std::move(done)](const FleetQueryAnswerMessage *answer) {
        done({answer != nullptr, answer == nullptr ? 0 : answer->pending});
    };
    ask(question);
}

void FleetNode::cancel(const std::string &job, Millis budget, std::function<void(const QueryAnswer &)> done)
{
    storeRecord({cancellationKey(job), std::string("1"), 0}, budget, [this, job, done = std::move(done)](const SubmitAnswer &answer) {
        m_events.write("cancel", {{"id", job}, {"verdict", std::string(nameOf(answer.verdict))}, {"reason", answer.reason}});
        QueryAnswer out;
        out.verdict = answer.verdict == SubmitVerdict::Accepted ? QueryVerdict::Known : QueryVerdict::Unavailable;
        out.state = FleetJobState::Cancelled;
        done(out);
    });
}

void FleetNode::ask(const std::shared_ptr<Question> &question)
{
    question->call = m_nextCall++;
    question->message.call = question->call;
    m_questions[question->call] = question;
    askAgain(monotonicNow());
}

void FleetNode::askAgain(TimePoint now)
{
    std::vector<std::shared_ptr<Question>> late;
    std::vector<std::shared_ptr<Question>> local;
    std::vector<std::pair<std::shared_ptr<Question>, FleetJobState>> readAlone;
    for (const auto &[call, it] : m_questions) {
        const auto state = stateReadAlone(it->message.job);
        if (it->deadline <= now) {
            late.push_back(it);
        } else if (state) {
            readAlone.emplace_back(it, *state);
        } else if (it->askAgainAt <= now && m_planner && m_planner->isOpen()) {
            local.push_back(it);
        } else if (it->askAgainAt <= now && isLinkedToLeader() && m_hub.send(m_claim.leader()->node, it->message)) {
            it->askAgainAt = now + AskAgainAfter;
        }
    }
    for (const auto &it : late) {
        m_questions.erase(it->call);
        it->done(nullptr);
    }
    for (const auto &[it, state] : readAlone) {
        FleetQueryAnswerMessage out;
        out.call = it->call;
        out.isLeading = true;
        out.isKnown = true;
        out.state = std::string(nameOf(state));
        m_metrics.count("questions_answered_alone_total");
        takeAnswer(out);
    }
    for (const auto &it : local) {
        it->askAgainAt = now + AskAgainAfter;
        answerQuery(it->message, [this](const FleetQueryAnswerMessage &answer) {
            takeAnswer(answer);
        });
    }
}

void FleetNode::takeAnswer(const FleetQueryAnswerMessage &answer)
{
    const auto it = m_questions.find(answer.call);
    if (it != m_questions.end() && answer.isLeading) {
        const auto question = it->second;
        m_questions.erase(it);
        question->done(&answer);
    }
}

void FleetNode::readAloneWhenDue(TimePoint now)
{
    if (m_planner || isLinkedToLeader()) {
        m_linkedAt = now;
        if (m_reader && now - m_aloneAt > ReadAloneAtLeast) {
            m_reader.reset();
        }
        return;
    }
    m_aloneAt = now;
    if (!m_reader && now - m_linkedAt > ReadAloneAfter && !m_isStopping) {
        m_events.write("reading_alone", {{"planner", m_claim.leader() ? m_claim.leader()->node : ""}, {"alone_ms", (now - m_linkedAt).count()}});
        m_reader = std::make_unique<ProgressReader>(m_platform.log);
        m_reader->onNews = [this]() {
            askAgain(monotonicNow());
        };
        m_reader->start();
    }
}

std::optional<FleetJobState> FleetNode::stateReadAlone(const std::string &job) const
{
    if (!m_reader || !m_reader->isLoaded() || job.empty() || m_planner || isLinkedToLeader()) {
        return std::nullopt;
    }
    if (const auto state = m_reader->stateOf(job)) {
        return state;
    }
    return m_acceptedHere.contains(job) ? std::optional(FleetJobState::Queued) : std::nullopt;
}

void FleetNode::noteAccepted(const std::string &job, TimePoint now)
{
    std::erase_if(m_acceptedHere, [now](const auto &it) {
        return now - it.second > RememberAccepted;
    });
    m_acceptedHere[job] = now;
}

void FleetNode::noteStored(const KeyedRecord &record)
{
    if (m_planner) {
        m_planner->recordStored(record);
    }
}

void FleetNode::storeRecord(KeyedRecord record, Millis budget, RecordWriter::Done done)
{
    if (isStoredAlready(record.key)) {
        done({SubmitVerdict::Accepted, Millis(0), {}});
        return;
    }
    const auto now = monotonicNow();
    const auto deadline = now + budget - AnswerMargin;
    const auto patience = std::max(budget - DirectStoreNeeds, budget / 2);
    auto call = std::make_shared<StoreCall>(StoreCall {std::move(record), deadline, now + patience, std::move(done), false, false, false, false, false, {}});
    if (m_planner || m_isLeaderBlind || !isLinkedToLeader()) {
        storeDirectly(call);
        return;
    }
    const auto number = m_nextCall++;
    const FleetStoreAskMessage ask {number, call->record.key, call->record.value.value_or(""), (deadline - now - AnswerMargin).count()};
    if (m_hub.send(m_claim.leader()->node, ask)) {
        call->mayBeStored = true;
        call->isWithPlanner = true;
        call->peer = m_claim.leader()->node;
        m_storeCalls[number] = call;
    } else {
        storeDirectly(call);
    }
}

void FleetNode::storeDirectly(const std::shared_ptr<StoreCall> &call)
{
    if (call->isDirect) {
        return;
    }
    call->isDirect = true;
    m_writer.store(call->record, call->deadline, [this, call](SubmitAnswer answer) {
        if (answer.verdict == SubmitVerdict::Accepted) {
            noteStored(call->record);
        }
        call->isDirectRefused = answer.verdict == SubmitVerdict::Refused;
        if (!call->isDirectRefused || !call->isWithPlanner) {
            settle(*call, std::move(answer));
        }
    });
}

void FleetNode::settle(StoreCall &call, SubmitAnswer answer)
{
    if (call.isAnswered) {
        return;
    }
    if (answer.verdict == SubmitVerdict::Refused && call.mayBeStored) {
        answer.verdict = SubmitVerdict::Unknown;
    }
    call.isAnswered = true;
    call.done(answer);
}

void FleetNode::storeDirectlyInsteadOf(const std::string &peer)
{
    for (const auto &[number, call] : m_storeCalls) {
        if (call->peer == peer) {
            call->isWithPlanner = false;
            finishDirectly(call);
        }
    }
}

void FleetNode::takeStoreAnswer(const FleetStoreAnswerMessage &answer)
{
    const auto it = m_storeCalls.find(answer.call);
    if (it == m_storeCalls.end()) {
        return;
    }
    const auto call = it->second;
    m_storeCalls.erase(it);
    const auto verdict = valueOf<SubmitVerdict>(answer.verdict);
    call->isWithPlanner = false;
    if (verdict == SubmitVerdict::Accepted) {
        settle(*call, {SubmitVerdict::Accepted, Millis(0), {}});
        return;
    }
    call->mayBeStored = verdict != SubmitVerdict::Refused;
    finishDirectly(call);
}

// The planner won't answer any more: this process tries, or answers when it has tried already.
void FleetNode::finishDirectly(const std::shared_ptr<StoreCall> &call)
{
    if (call->isDirectRefused) {
        settle(*call, {SubmitVerdict::Refused, ComeBackAfter, "neither the planner nor this process reaches the log"});
    } else {
        storeDirectly(call);
    }
}

void FleetNode::checkStoreCalls(TimePoint now)
{
    std::vector<std::shared_ptr<StoreCall>> late;
    for (auto it = m_storeCalls.begin(); it != m_storeCalls.end();) {
        const auto &call = it->second;
        if (call->isAnswered || call->deadline <= now) {
            late.push_back(call);
            it = m_storeCalls.erase(it);
            continue;
        }
        if (call->directAt <= now) {
            storeDirectly(call);
        }
        ++it;
    }
    for (const auto &call : late) {
        settle(*call, {SubmitVerdict::Unknown, Millis(0), "no answer from the planner"});
    }
}

bool FleetNode::isStoredAlready(const std::string &key) const
{
    const std::string prefix = acceptanceKey({});
    return m_planner && m_planner->isOpen() && key.starts_with(prefix) && m_planner->knows(key.substr(prefix.size()));
}

} // namespace marjoramhaven
