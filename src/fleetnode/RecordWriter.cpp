#include "marjoramhaven/fleetnode/RecordWriter.h"

#include <QTimer>
#include <algorithm>

namespace marjoramhaven {

namespace {

// The log takes the appends of one stream one at a time; more would only wait there.
constexpr int MostAppends = 2;
constexpr Millis ShortestAppend {100};
constexpr Millis RetryAfter {120};
constexpr Millis RefuseAfterSilence {300};
// Appends without an answer, one after the other, after which the log counts as silent.
constexpr int UnansweredToSuspect = 2;
// Callers have few retries: the longer the log has been silent, the later they are asked to come back.
constexpr Millis ComeBackSoonest {1000};
constexpr Millis ComeBackLatest {3000};
constexpr std::size_t MostBytes = 1 << 20;

} // namespace

RecordWriter::RecordWriter(StateLog &log, StateTopic topic, QObject *parent)
    : QObject(parent)
    , m_log(log)
    , m_topic(topic)
{
}

void RecordWriter::store(KeyedRecord record, TimePoint deadline, Done done)
{
    ++m_waiting;
    m_queue.push_back(std::make_shared<Entry>(Entry {std::move(record), deadline, std::move(done), false, {}}));
    flush();
}

void RecordWriter::setLogAnswering(bool isAnswering, TimePoint now)
{
    if (isAnswering) {
        m_silentSince.reset();
        m_unanswered = 0;
        flush();
    } else if (!m_silentSince) {
        m_silentSince = now;
    }
}

std::vector<RecordWriter::EntryPtr> RecordWriter::takeLate(TimePoint now)
{
    std::vector<EntryPtr> out;
    std::erase_if(m_queue, [&](const EntryPtr &it) {
        const bool isLate = it->deadline - now < ShortestAppend;
        if (isLate) {
            out.push_back(it);
        }
        return isLate;
    });
    return out;
}

// Refuses what was never sent once the log has been silent for a while; before that it may be a single broken connection.
void RecordWriter::refuseUnsent(TimePoint now)
{
    const auto silence = now - *m_silentSince;
    if (silence < RefuseAfterSilence) {
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
        answer(it, SubmitVerdict::Refused, "the log does not answer", std::clamp(silence, ComeBackSoonest, ComeBackLatest));
    }
}

void RecordWriter::flush()
{
    const auto now = monotonicNow();
    for (const auto &it : takeLate(now)) {
        answer(it, it->mayBeStored ? SubmitVerdict::Unknown : SubmitVerdict::Refused, it->reason.empty() ? "no time left" : it->reason, ComeBackSoonest);
    }
    if (isLogSilent()) {
        refuseUnsent(now);
    }
    if (m_queue.empty() || m_inFlight >= MostAppends) {
        return;
    }
    AppendRequest request;
    request.topic = m_topic;
    request.timeout = m_times.timeout();
    std::vector<EntryPtr> entries;
    std::size_t bytes = 0;
    std::erase_if(m_queue, [&](const EntryPtr &it) {
        if (bytes >= MostBytes || (isLogSilent() && !it->mayBeStored)) {
            return false;
        }
        bytes += it->record.key.size() + (it->record.value ? it->record.value->size() : 0);
        request.timeout = std::min(request.timeout, it->deadline - now);
        request.records.push_back(it->record);
        entries.push_back(it);
        return true;
    });
    if (!m_queue.empty()) {
        flushLater(RetryAfter);
    }
    if (entries.empty()) {
        return;
    }
    ++m_inFlight;
    const std::weak_ptr<bool> alive = m_alive;
    m_log.append(std::move(request), [this, alive, entries, now](const AppendResult &result) {
        if (!alive.expired()) {
            --m_inFlight;
            noteAppend(result.outcome != AppendOutcome::Unknown, now, monotonicNow());
            finish(entries, result);
        }
    });
}

void RecordWriter::noteAppend(bool isAnswered, TimePoint sentAt, TimePoint now)
{
    if (isAnswered) {
        m_times.answered(now - sentAt);
        m_unanswered = 0;
        m_silentSince.reset();
        return;
    }
    m_times.failed();
    ++m_unanswered;
    if (m_unanswered >= UnansweredToSuspect && !m_silentSince) {
        m_silentSince = sentAt;
    }
}

void RecordWriter::flushLater(Millis pause)
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

void RecordWriter::finish(const std::vector<EntryPtr> &entries, const AppendResult &result)
{
    const auto now = monotonicNow();
    for (const auto &it : entries) {
        if (result.outcome == AppendOutcome::Stored) {
            answer(it, SubmitVerdict::Accepted, {}, Millis(0));
            continue;
        }
        it->mayBeStored = it->mayBeStored || result.outcome == AppendOutcome::Unknown;
        it->reason = result.reason;
        if (it->deadline - now < ShortestAppend + RetryAfter) {
            answer(it, it->mayBeStored ? SubmitVerdict::Unknown : SubmitVerdict::Refused, it->reason, ComeBackSoonest);
        } else {
            m_queue.push_back(it);
        }
    }
    if (m_queue.empty()) {
        return;
    }
    flushLater(result.outcome == AppendOutcome::Stored ? Millis(0) : RetryAfter);
}

void RecordWriter::answer(const EntryPtr &entry, SubmitVerdict verdict, const std::string &reason, Millis retryAfter)
{
    --m_waiting;
    entry->done({verdict, verdict == SubmitVerdict::Refused ? retryAfter : Millis(0), reason});
}

} // namespace marjoramhaven
