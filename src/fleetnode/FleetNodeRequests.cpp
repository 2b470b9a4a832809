#include <algorithm>

#include "FleetNodeCalls.h"

namespace marjoramhaven {

namespace {

// A query is sent again after this time, since the planner that received it may have stopped.
constexpr Millis QueryRetryInterval {600};
// Part of a client's time budget that is reserved for the way back to the client.
constexpr Millis ResponseMargin {150};
// While its link to the planner is up, a process appends a record itself only when no more than this much of the client's time budget is left, and at least
// half of the budget is spent.
constexpr Millis DirectStoreReserve {1100};
constexpr Millis ClientRetryAfter {1000};
// A takeover is finished within about this time. A process that has no planner for longer reads stored progress itself.
constexpr Millis FallbackReadDelay {600};
// A process that is linked to the planner again continues to follow stored progress for this long.
constexpr Millis FallbackReadRetention {4000};
// Within this time, an accepted job has stored progress or is known to its planner.
constexpr Millis AcceptedJobRetention {60'000};
// Most keys that one line of the event log names.
constexpr std::size_t MaxLoggedKeys = 16;

} // namespace

RouteResult FleetNode::route(const std::string &host, const std::string &path, TimePoint now)
{
    RouteResult out;
    if (m_configuration.isOutdated(now)) {
        out.outcome = RouteOutcome::Outdated;
    } else if (configuration() != nullptr) {
        out.queue = configuration()->route(host, path);
        const auto missing = m_configuration.isProven(now) ? RouteOutcome::NoSuchQueue : RouteOutcome::Unproven;
        out.outcome = out.queue == nullptr ? missing : RouteOutcome::Found;
    }
    m_metrics.count("routes_total{outcome=\"" + std::string(nameOf(out.outcome)) + "\"}");
    if (out.outcome != RouteOutcome::Found) {
        m_events.write("request_not_routed",
                       {{"outcome", std::string(nameOf(out.outcome))},
                        {"host", host},
                        {"path", path},
                        {"configuration", m_configuration.version()},
                        {"source", m_configuration.source()},
                        {"newest_known", m_configuration.newestKnownVersion()},
                        {"proof_age_ms", configurationProofAgeMs(now)}});
    }
    return out;
}

void FleetNode::submit(FleetJobRequest request, Millis budget, std::function<void(const SubmitResult &)> done)
{
    const auto id = request.id;
    const auto queue = request.queue.name;
    const auto receivedAt = monotonicNow();
    KeyedRecord record {acceptanceKey(id), encodeJobRequest(request), 0};
    const auto bytes = sizeInLog(record);
    if (bytes > static_cast<std::size_t>(m_settings.storeMaxRecordBytes)) {
        const auto reason = "the job takes " + std::to_string(bytes) + " bytes; the log takes records of at most "
            + std::to_string(m_settings.storeMaxRecordBytes) + " bytes (max-record-bytes)";
        m_events.write("submit", {{"id", id}, {"queue", queue}, {"verdict", std::string(nameOf(SubmitOutcome::Invalid))}, {"reason", reason}});
        m_metrics.count("submits_total{verdict=\"" + std::string(nameOf(SubmitOutcome::Invalid)) + "\"}");
        done({SubmitOutcome::Invalid, Millis(0), reason});
        return;
    }
    storeRecord(std::move(record), budget, [this, id, queue, receivedAt, done = std::move(done)](const SubmitResult &answer) {
        const auto elapsedMs = (monotonicNow() - receivedAt).count();
        m_events.write("submit",
                       {{"id", id},
                        {"queue", queue},
                        {"verdict", std::string(nameOf(answer.outcome))},
                        {"reason", answer.reason},
                        {"configuration", m_configuration.version()},
                        {"source", m_configuration.source()},
                        {"newest_known", m_configuration.newestKnownVersion()},
                        {"proof_age_ms", configurationProofAgeMs(monotonicNow())},
                        {"took_ms", elapsedMs}});
        m_metrics.count("submits_total{verdict=\"" + std::string(nameOf(answer.outcome)) + "\"}");
        m_metrics.observeMillis("submit_ms", static_cast<double>(elapsedMs));
        if (answer.outcome == SubmitOutcome::Accepted) {
            noteAccepted(id, monotonicNow());
        }
        done(answer);
    });
}

bool FleetNode::mayBeStored(const std::string &job, TimePoint now) const
{
    const auto key = acceptanceKey(job);
    return isAlreadyStored(key) || m_unresolvedRecords.mayBeStored(key, now);
}

void FleetNode::query(const std::string &job, Millis budget, std::function<void(const QueryResult &)> done)
{
    auto pendingQuery = std::make_shared<PendingQuery>();
    pendingQuery->message.job = job;
    pendingQuery->deadline = monotonicNow() + budget - ResponseMargin;
    pendingQuery->done = [done = std::move(done)](const FleetQueryResponseMessage *answer) {
        QueryResult out;
        if (answer != nullptr) {
            const auto state = valueOf<FleetJobState>(answer->state);
            out.outcome = answer->isKnown && state ? QueryOutcome::Known : QueryOutcome::NoSuchJob;
            out.state = state.value_or(FleetJobState::Queued);
        }
        done(out);
    };
    startQuery(pendingQuery);
}

void FleetNode::pending(const QueuePolicy &queue, Millis budget, std::function<void(const PendingJobsResult &)> done)
{
    auto pendingQuery = std::make_shared<PendingQuery>();
    pendingQuery->message.host = queue.host;
    pendingQuery->message.prefix = queue.prefix;
    pendingQuery->deadline = monotonicNow() + budget - ResponseMargin;
    pendingQuery->done = [this, name = queue.name, done = std::move(done)](const FleetQueryResponseMessage *answer) {
        const PendingJobsResult out {answer != nullptr, answer == nullptr ? 0 : answer->pending};
        m_events.write("pending_count",
                       {{"queue", name},
                        {"verdict", std::string(out.isKnown ? "known" : "unavailable")},
                        {"pending", out.pending},
                        {"configuration", m_configuration.version()},
                        {"source", m_configuration.source()},
                        {"newest_known", m_configuration.newestKnownVersion()},
                        {"proof_age_ms", configurationProofAgeMs(monotonicNow())}});
        done(out);
    };
    startQuery(pendingQuery);
}

void FleetNode::cancel(const std::string &job, Millis budget, std::function<void(const SubmitResult &)> done)
{
    storeRecord({cancellationKey(job), std::string("1"), 0}, budget, [this, job, done = std::move(done)](const SubmitResult &answer) {
        m_events.write("cancel",
                       {{"id", job},
                        {"verdict", std::string(nameOf(answer.outcome))},
                        {"reason", answer.reason},
                        {"configuration", m_configuration.version()},
                        {"source", m_configuration.source()},
                        {"newest_known", m_configuration.newestKnownVersion()},
                        {"proof_age_ms", configurationProofAgeMs(monotonicNow())}});
        done(answer);
    });
}

void FleetNode::startQuery(const std::shared_ptr<PendingQuery> &pendingQuery)
{
    pendingQuery->call = m_nextCall++;
    pendingQuery->message.call = pendingQuery->call;
    m_pendingQueries[pendingQuery->call] = pendingQuery;
    processPendingQueries(monotonicNow());
}

void FleetNode::processPendingQueries(TimePoint now)
{
    std::vector<std::shared_ptr<PendingQuery>> expired;
    std::vector<std::shared_ptr<PendingQuery>> local;
    std::vector<std::pair<std::shared_ptr<PendingQuery>, FleetJobState>> fromFallback;
    for (const auto &[call, it] : m_pendingQueries) {
        const auto state = fallbackState(it->message.job);
        if (it->deadline <= now) {
            expired.push_back(it);
        } else if (state) {
            fromFallback.emplace_back(it, *state);
        } else if (it->nextSendAt <= now && m_planner && m_planner->isOpen()) {
            local.push_back(it);
        } else if (it->nextSendAt <= now && isLinkedToLeader() && m_hub.send(m_election.leader()->node, it->message)) {
            it->nextSendAt = now + QueryRetryInterval;
        }
    }
    for (const auto &it : expired) {
        m_pendingQueries.erase(it->call);
        it->done(nullptr);
    }
    for (const auto &[it, state] : fromFallback) {
        FleetQueryResponseMessage out;
        out.call = it->call;
        out.isLeading = true;
        out.isKnown = true;
        out.state = std::string(nameOf(state));
        m_metrics.count("questions_answered_alone_total");
        handleQueryAnswer(out);
    }
    for (const auto &it : local) {
        it->nextSendAt = now + QueryRetryInterval;
        answerQuery(it->message, [this](const FleetQueryResponseMessage &answer) {
            handleQueryAnswer(answer);
        });
    }
}

void FleetNode::handleQueryAnswer(const FleetQueryResponseMessage &answer)
{
    const auto it = m_pendingQueries.find(answer.call);
    if (it != m_pendingQueries.end() && answer.isLeading) {
        const auto pendingQuery = it->second;
        m_pendingQueries.erase(it);
        pendingQuery->done(&answer);
    }
}

void FleetNode::updateFallbackReader(TimePoint now)
{
    if (m_planner || isLinkedToLeader()) {
        m_lastLinkedAt = now;
        if (m_fallbackReader && now - m_lastUnlinkedAt > FallbackReadRetention) {
            m_fallbackReader.reset();
        }
        return;
    }
    m_lastUnlinkedAt = now;
    if (!m_fallbackReader && now - m_lastLinkedAt > FallbackReadDelay && !m_isStopping) {
        m_events.write("reading_alone", {{"planner", m_election.leader() ? m_election.leader()->node : ""}, {"alone_ms", (now - m_lastLinkedAt).count()}});
        m_fallbackReader = std::make_unique<ProgressReader>(m_platform.log);
        m_fallbackReader->onUpdate = [this]() {
            processPendingQueries(monotonicNow());
        };
        m_fallbackReader->start();
    }
}

std::optional<FleetJobState> FleetNode::fallbackState(const std::string &job) const
{
    if (!m_fallbackReader || !m_fallbackReader->isLoaded() || job.empty() || m_planner || isLinkedToLeader()) {
        return std::nullopt;
    }
    if (const auto state = m_fallbackReader->stateOf(job)) {
        return state;
    }
    return m_recentlyAccepted.contains(job) ? std::optional(FleetJobState::Queued) : std::nullopt;
}

void FleetNode::noteAccepted(const std::string &job, TimePoint now)
{
    std::erase_if(m_recentlyAccepted, [now](const auto &it) {
        return now - it.second > AcceptedJobRetention;
    });
    m_recentlyAccepted[job] = now;
}

void FleetNode::notifyPlannerOfStored(const KeyedRecord &record)
{
    if (m_planner) {
        m_planner->recordStored(record);
    }
}

RecordWriter::Done FleetNode::beginAttempt(const std::string &key, RecordWriter::Done done)
{
    m_unresolvedRecords.begin(key);
    return [this, key, done = std::move(done)](SubmitResult answer) {
        answer.outcome = m_unresolvedRecords.end(key, answer.outcome, monotonicNow());
        done(answer);
    };
}

void FleetNode::storeRecord(KeyedRecord record, Millis budget, RecordWriter::Done done)
{
    if (isAlreadyStored(record.key)) {
        done({SubmitOutcome::Accepted, Millis(0), {}});
        return;
    }
    done = beginAttempt(record.key, std::move(done));
    const auto now = monotonicNow();
    const auto deadline = now + budget - ResponseMargin;
    const auto directStoreDelay = std::max(budget - DirectStoreReserve, budget / 2);
    const auto call = std::make_shared<StoreCall>();
    call->record = std::move(record);
    call->deadline = deadline;
    call->directStoreAt = now + directStoreDelay;
    call->done = std::move(done);
    if (m_planner || m_isLeaderLogUnreachable || !isLinkedToLeader()) {
        storeDirectly(call);
        return;
    }
    const auto number = m_nextCall++;
    const FleetStoreRequestMessage ask {number, call->record.key, call->record.value.value_or(""), (deadline - now - ResponseMargin).count()};
    if (m_hub.send(m_election.leader()->node, ask)) {
        call->planner = StoreCall::Part::UnderWay;
        call->peer = m_election.leader()->node;
        m_storeCalls[number] = call;
    } else {
        storeDirectly(call);
    }
}

void FleetNode::logUnstoredRecords(const std::vector<std::string> &keys, const AppendResult &result)
{
    std::string text;
    for (std::size_t i = 0; i < std::min(keys.size(), MaxLoggedKeys); ++i) {
        text += (i == 0 ? "" : " ") + keys[i];
    }
    m_events.write("records_not_stored",
                   {{"keys", text},
                    {"count", static_cast<std::int64_t>(keys.size())},
                    {"outcome", std::string(nameOf(result.outcome))},
                    {"reason", result.reason},
                    {"sendings", static_cast<std::int64_t>(result.sendings)}});
}

void FleetNode::storeDirectly(const std::shared_ptr<StoreCall> &call)
{
    if (call->direct != StoreCall::Part::NotStarted) {
        return;
    }
    call->direct = StoreCall::Part::UnderWay;
    m_jobRecords.store(call->record, call->deadline, [this, call](const SubmitResult &answer) {
        if (answer.outcome == SubmitOutcome::Accepted) {
            notifyPlannerOfStored(call->record);
        }
        call->direct = answer.outcome == SubmitOutcome::Refused ? StoreCall::Part::Refused : StoreCall::Part::Unknown;
        if (call->direct != StoreCall::Part::Refused || call->planner != StoreCall::Part::UnderWay) {
            completeStoreCall(*call, answer);
        }
    });
}

void FleetNode::completeStoreCall(StoreCall &call, SubmitResult answer)
{
    if (call.isAnswered) {
        return;
    }
    if (answer.outcome == SubmitOutcome::Refused && call.mayBeStored()) {
        answer.outcome = SubmitOutcome::Unknown;
    }
    call.isAnswered = true;
    call.done(answer);
}

void FleetNode::rerouteStoreCallsFrom(const std::string &peer)
{
    for (const auto &[number, call] : m_storeCalls) {
        if (call->peer == peer) {
            call->planner = StoreCall::Part::Unknown;
            fallBackToDirectStore(call);
        }
    }
}

void FleetNode::handleStoreAnswer(const FleetStoreResponseMessage &answer)
{
    const auto it = m_storeCalls.find(answer.call);
    if (it == m_storeCalls.end()) {
        return;
    }
    const auto call = it->second;
    m_storeCalls.erase(it);
    const auto outcome = valueOf<SubmitOutcome>(answer.verdict);
    if (outcome == SubmitOutcome::Accepted) {
        completeStoreCall(*call, {SubmitOutcome::Accepted, Millis(0), {}});
        return;
    }
    call->planner = outcome == SubmitOutcome::Refused ? StoreCall::Part::Refused : StoreCall::Part::Unknown;
    // The planner gives up a record only when the log does not answer it. That may be so for this process too.
    m_jobRecords.suspectLog(monotonicNow());
    fallBackToDirectStore(call);
}

// Called when the planner will not answer any more: appends the record directly, or refuses it when the direct append was already refused.
void FleetNode::fallBackToDirectStore(const std::shared_ptr<StoreCall> &call)
{
    if (call->direct == StoreCall::Part::Refused) {
        completeStoreCall(*call, {SubmitOutcome::Refused, ClientRetryAfter, "neither the planner nor this process reaches the log"});
    } else {
        storeDirectly(call);
    }
}

void FleetNode::checkStoreCalls(TimePoint now)
{
    std::vector<std::shared_ptr<StoreCall>> expired;
    for (auto it = m_storeCalls.begin(); it != m_storeCalls.end();) {
        const auto &call = it->second;
        if (call->isAnswered || call->deadline <= now) {
            expired.push_back(call);
            it = m_storeCalls.erase(it);
            continue;
        }
        if (call->directStoreAt <= now) {
            storeDirectly(call);
        }
        ++it;
    }
    for (const auto &call : expired) {
        completeStoreCall(*call, {SubmitOutcome::Unknown, Millis(0), "the planner did not answer before the deadline"});
    }
}

bool FleetNode::isAlreadyStored(const std::string &key) const
{
    const std::string prefix = acceptanceKey({});
    if (!key.starts_with(prefix)) {
        return false;
    }
    const auto job = key.substr(prefix.size());
    return m_recentlyAccepted.contains(job) || (m_planner && m_planner->isOpen() && m_planner->hasJob(job));
}

} // namespace marjoramhaven
