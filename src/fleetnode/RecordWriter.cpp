#include "marjoramhaven/fleetnode/RecordWriter.h"

#include <QTimer>
#include <algorithm>
#include <iterator>

namespace marjoramhaven {

namespace {

// The log processes the appends to one topic one at a time; further ones would only queue up there.
constexpr int MaxAppendsInFlight = 2;
constexpr Millis MinAppendTime {100};
constexpr Millis RetryPause {120};
constexpr Millis RefuseUnsentAfter {300};
constexpr Millis ProbeInterval {250};
constexpr Millis ProbeTimeout {1000};
// Clients have few retries. The longer the log has been unresponsive, the later they are told to retry.
constexpr Millis MinClientRetryAfter {1000};
constexpr Millis MaxClientRetryAfter {3000};
// A link of 2 Mbit/s carries an append of this size well within its shortest time limit.
constexpr std::size_t MaxAppendBytes = 64 << 10;

} // namespace

RecordWriter::RecordWriter(StateLog &log, StateTopic topic, QObject *parent)
    : QObject(parent)
    , m_log(log)
    , m_topic(topic)
{
}

void RecordWriter::store(KeyedRecord record, TimePoint deadline, Done done)
{
    ++m_pendingCount;
    m_queue.push_back(std::make_shared<Entry>(Entry {std::move(record), deadline, std::move(done), false, false, {}}));
    flush();
}

void RecordWriter::setLogReachable(bool isReachable, TimePoint now)
{
    m_breaker.setReachable(isReachable, now);
    if (isReachable) {
        flush();
    }
}

void RecordWriter::suspectLog(TimePoint now)
{
    m_breaker.suspect(now);
    probe();
}

void RecordWriter::probe()
{
    if (m_isProbing || !m_breaker.needsProbe()) {
        return;
    }
    m_isProbing = true;
    const std::weak_ptr<bool> alive = m_alive;
    m_log.newest(m_topic, KeyAfterAll, ProbeTimeout, [this, alive](const NewestResult &result) {
        if (alive.expired()) {
            return;
        }
        m_isProbing = false;
        if (result.isAnswered) {
            m_breaker.probeAnswered();
            flush();
            return;
        }
        QTimer::singleShot(static_cast<int>(ProbeInterval.count()), this, [this, alive]() {
            if (!alive.expired()) {
                probe();
            }
        });
    });
}

std::vector<RecordWriter::EntryPtr> RecordWriter::takeExpired(TimePoint now)
{
    std::vector<EntryPtr> out;
    std::erase_if(m_queue, [&](const EntryPtr &it) {
        const bool isTooLate = it->deadline - now < MinAppendTime;
        if (isTooLate) {
            out.push_back(it);
        }
        return isTooLate;
    });
    return out;
}

// Refuses records that were never sent once the log has been unresponsive for a while. A shorter outage may come from a single broken connection.
void RecordWriter::refuseUnsent(TimePoint now)
{
    const auto unresponsiveFor = m_breaker.openFor(now);
    if (unresponsiveFor < RefuseUnsentAfter) {
        return;
    }
    std::vector<EntryPtr> unsent;
    std::erase_if(m_queue, [&](const EntryPtr &it) {
        if (!it->mayBeStored) {
            unsent.push_back(it);
        }
        return !it->mayBeStored;
    });
    for (const auto &it : unsent) {
        const auto reason = it->reason.empty() ? "the log does not answer" : "the log does not answer, and refused the last append: " + it->reason;
        answer(it, SubmitOutcome::Refused, reason, std::clamp(unresponsiveFor, MinClientRetryAfter, MaxClientRetryAfter));
    }
}

void RecordWriter::flush()
{
    const auto now = monotonicNow();
    for (const auto &it : takeExpired(now)) {
        answer(it, it->mayBeStored ? SubmitOutcome::Unknown : SubmitOutcome::Refused, it->reason.empty() ? "no time left" : it->reason, MinClientRetryAfter);
    }
    if (m_breaker.isOpen()) {
        refuseUnsent(now);
    }
    if (m_queue.empty() || m_inFlight >= MaxAppendsInFlight) {
        return;
    }
    AppendRequest request;
    request.topic = m_topic;
    request.timeout = m_appendTimes.timeout();
    std::vector<EntryPtr> entries;
    std::size_t bytes = 0;
    std::erase_if(m_queue, [&](const EntryPtr &it) {
        if (!entries.empty() && (it->isSentAlone || entries.front()->isSentAlone)) {
            return false;
        }
        if (bytes >= MaxAppendBytes || (m_breaker.isOpen() && !it->mayBeStored)) {
            return false;
        }
        bytes += it->record.key.size() + (it->record.value ? it->record.value->size() : 0);
        request.timeout = std::min(request.timeout, it->deadline - now);
        request.records.push_back(it->record);
        entries.push_back(it);
        return true;
    });
    if (!m_queue.empty()) {
        scheduleFlush(RetryPause);
    }
    if (entries.empty()) {
        return;
    }
    ++m_inFlight;
    const std::weak_ptr<bool> alive = m_alive;
    m_log.append(std::move(request), [this, alive, entries, now](const AppendResult &result) {
        if (!alive.expired()) {
            --m_inFlight;
            trackAppendOutcome(result.isAnswered, now, monotonicNow());
            handleAppendResult(entries, result);
        }
    });
}

void RecordWriter::trackAppendOutcome(bool isAnswered, TimePoint sentAt, TimePoint now)
{
    if (isAnswered) {
        m_appendTimes.recordResponse(now - sentAt);
        m_breaker.appendAnswered(now);
        return;
    }
    m_appendTimes.recordFailure();
    const bool wasOpen = m_breaker.isOpen();
    m_breaker.appendUnanswered(sentAt);
    probe();
    if (!wasOpen && m_breaker.isOpen() && onUnresponsive) {
        onUnresponsive();
    }
}

void RecordWriter::scheduleFlush(Millis pause)
{
    if (m_isFlushScheduled) {
        return;
    }
    m_isFlushScheduled = true;
    const std::weak_ptr<bool> alive = m_alive;
    QTimer::singleShot(static_cast<int>(pause.count()), this, [this, alive]() {
        if (!alive.expired()) {
            m_isFlushScheduled = false;
            flush();
        }
    });
}

void RecordWriter::handleAppendResult(const std::vector<EntryPtr> &entries, const AppendResult &result)
{
    const auto now = monotonicNow();
    if (result.outcome != AppendOutcome::Stored && onNotStored) {
        std::vector<std::string> keys;
        std::transform(entries.begin(), entries.end(), std::back_inserter(keys), [](const EntryPtr &it) {
            return it->record.key;
        });
        onNotStored(keys, result);
    }
    for (const auto &it : entries) {
        if (result.outcome == AppendOutcome::Stored) {
            answer(it, SubmitOutcome::Accepted, {}, Millis(0));
            continue;
        }
        it->mayBeStored = it->mayBeStored || result.outcome == AppendOutcome::Unknown;
        it->reason = result.reason;
        // One invalid record must not keep the others of its append from being stored.
        it->isSentAlone = it->isSentAlone || result.isInvalid;
        const bool isAtFault = result.isInvalid && entries.size() == 1;
        if (isAtFault || it->deadline - now < MinAppendTime + RetryPause) {
            answer(it, it->mayBeStored ? SubmitOutcome::Unknown : SubmitOutcome::Refused, it->reason, MinClientRetryAfter);
        } else {
            m_queue.push_back(it);
        }
    }
    if (m_queue.empty()) {
        return;
    }
    scheduleFlush(result.outcome == AppendOutcome::Stored ? Millis(0) : RetryPause);
}

void RecordWriter::answer(const EntryPtr &entry, SubmitOutcome outcome, const std::string &reason, Millis retryAfter)
{
    --m_pendingCount;
    entry->done({outcome, outcome == SubmitOutcome::Refused ? retryAfter : Millis(0), reason});
}

} // namespace marjoramhaven
