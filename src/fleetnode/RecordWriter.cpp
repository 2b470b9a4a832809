#include "marjoramhaven/fleetnode/RecordWriter.h"

#include <QTimer>
#include <algorithm>

namespace marjoramhaven {

namespace {

// The log takes the appends of one stream one at a time; more would only wait there.
constexpr int MostAppends = 2;
constexpr Millis ShortestAppend {100};
constexpr Millis RetryAfter {120};
constexpr Millis ComeBackAfter {1000};
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

void RecordWriter::flush()
{
    const auto now = monotonicNow();
    std::vector<EntryPtr> late;
    std::erase_if(m_queue, [&](const EntryPtr &it) {
        const bool isLate = it->deadline - now < ShortestAppend;
        if (isLate) {
            late.push_back(it);
        }
        return isLate;
    });
    for (const auto &it : late) {
        answer(it, it->mayBeStored ? SubmitVerdict::Unknown : SubmitVerdict::Refused, it->reason.empty() ? "no time left" : it->reason);
    }
    if (m_queue.empty() || m_inFlight >= MostAppends) {
        return;
    }
    AppendRequest request;
    request.topic = m_topic;
    request.timeout = m_times.timeout();
    std::vector<EntryPtr> entries;
    std::size_t bytes = 0;
    while (!m_queue.empty() && bytes < MostBytes) {
        const auto entry = m_queue.front();
        m_queue.erase(m_queue.begin());
        bytes += entry->record.key.size() + (entry->record.value ? entry->record.value->size() : 0);
        request.timeout = std::min(request.timeout, entry->deadline - now);
        request.records.push_back(entry->record);
        entries.push_back(entry);
    }
    ++m_inFlight;
    const std::weak_ptr<bool> alive = m_alive;
    m_log.append(std::move(request), [this, alive, entries, now](const AppendResult &result) {
        if (!alive.expired()) {
            --m_inFlight;
            if (result.outcome == AppendOutcome::Unknown) {
                m_times.failed();
            } else {
                m_times.answered(monotonicNow() - now);
            }
            finish(entries, result);
        }
    });
}

void RecordWriter::finish(const std::vector<EntryPtr> &entries, const AppendResult &result)
{
    const auto now = monotonicNow();
    for (const auto &it : entries) {
        if (result.outcome == AppendOutcome::Stored) {
            answer(it, SubmitVerdict::Accepted, {});
            continue;
        }
        it->mayBeStored = it->mayBeStored || result.outcome == AppendOutcome::Unknown;
        it->reason = result.reason;
        if (it->deadline - now < ShortestAppend + RetryAfter) {
            answer(it, it->mayBeStored ? SubmitVerdict::Unknown : SubmitVerdict::Refused, it->reason);
        } else {
            m_queue.push_back(it);
        }
    }
    if (m_queue.empty()) {
        return;
    }
    const std::weak_ptr<bool> alive = m_alive;
    QTimer::singleShot(result.outcome == AppendOutcome::Stored ? 0 : static_cast<int>(RetryAfter.count()), this, [this, alive]() {
        if (!alive.expired()) {
            flush();
        }
    });
}

void RecordWriter::answer(const EntryPtr &entry, SubmitVerdict verdict, const std::string &reason)
{
    --m_waiting;
    entry->done({verdict, verdict == SubmitVerdict::Refused ? ComeBackAfter : Millis(0), reason});
}

} // namespace marjoramhaven
