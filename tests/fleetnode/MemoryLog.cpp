#include "MemoryLog.h"

#include <QTimer>
#include <algorithm>

namespace marjoramhaven::test {

namespace {

constexpr Millis PollInterval {5};
constexpr Millis DefaultReadDelay {2};

void runLater(QObject *context, Millis delay, std::function<void()> run)
{
    QTimer::singleShot(static_cast<int>(delay.count()), Qt::PreciseTimer, context, std::move(run));
}

std::size_t bytesOf(const AppendRequest &request)
{
    std::size_t out = 0;
    for (const auto &it : request.records) {
        out += it.key.size() + (it.value ? it.value->size() : 0);
    }
    return out;
}

} // namespace

std::int64_t MemoryLog::put(StateTopic topic, const std::string &key, const std::string &value)
{
    auto &topicRecords = m_topics[topic];
    const auto offset = static_cast<std::int64_t>(topicRecords.size());
    topicRecords.push_back({key, value, offset});
    return offset;
}

void MemoryLog::append(AppendRequest request, std::function<void(const AppendResult &)> done)
{
    if (isUnreachable) {
        runLater(&m_context, appendDelay, [done = std::move(done)]() {
            AppendResult out;
            out.outcome = AppendOutcome::Refused;
            out.reason = "connection refused";
            done(out);
        });
        return;
    }
    if (isLost(request.topic) || bytesOf(request) > maxAnsweredAppendBytes) {
        runLater(&m_context, request.timeout, [done = std::move(done)]() {
            AppendResult out;
            out.reason = "timeout";
            done(out);
        });
        return;
    }
    runLater(&m_context, appendDelay, [this, request = std::move(request), done = std::move(done)]() {
        auto &topicRecords = m_topics[request.topic];
        AppendResult out;
        out.isAnswered = true;
        out.offset = static_cast<std::int64_t>(topicRecords.size());
        if (isRefusing) {
            out.outcome = AppendOutcome::Refused;
            done(out);
            return;
        }
        out.isInvalid = std::any_of(request.records.begin(), request.records.end(), [this](const KeyedRecord &it) {
            return it.key == invalidKey || sizeInLog(it) > maxRecordBytes;
        });
        if (out.isInvalid) {
            out.outcome = AppendOutcome::Refused;
            out.reason = "status 400";
            done(out);
            return;
        }
        const bool hasMoved = request.expectedEnd && *request.expectedEnd != out.offset;
        out.outcome = hasMoved ? AppendOutcome::EndMismatch : AppendOutcome::Stored;
        if (!hasMoved) {
            for (auto it : request.records) {
                it.offset = static_cast<std::int64_t>(topicRecords.size());
                topicRecords.push_back(std::move(it));
            }
        }
        out.end = static_cast<std::int64_t>(topicRecords.size());
        done(out);
    });
}

Millis MemoryLog::readDelay(StateTopic topic) const
{
    const auto it = readDelays.find(topic);
    return it == readDelays.end() ? DefaultReadDelay : it->second;
}

void MemoryLog::read(StateTopic topic, std::int64_t from, Millis wait, Millis timeout, std::function<void(const ReadResult &)> done)
{
    if (isLost(topic)) {
        runLater(&m_context, timeout, [done = std::move(done)]() {
            done({});
        });
        return;
    }
    answerRead(topic, from, monotonicNow() + wait, std::move(done));
}

void MemoryLog::answerRead(StateTopic topic, std::int64_t from, TimePoint until, std::function<void(const ReadResult &)> done)
{
    if (from >= end(topic) && monotonicNow() < until) {
        runLater(&m_context, PollInterval, [this, topic, from, until, done = std::move(done)]() {
            answerRead(topic, from, until, done);
        });
        return;
    }
    ReadResult out;
    out.isAnswered = true;
    const auto &topicRecords = m_topics[topic];
    for (auto i = static_cast<std::size_t>(from); i < topicRecords.size(); ++i) {
        out.records.push_back(topicRecords[i]);
    }
    out.next = static_cast<std::int64_t>(topicRecords.size());
    out.end = out.next;
    mostReadsInFlight = std::max(mostReadsInFlight, ++m_readsInFlight);
    runLater(&m_context, readDelay(topic), [this, out, done = std::move(done)]() {
        --m_readsInFlight;
        done(out);
    });
}

void MemoryLog::newest(StateTopic topic, const std::string &afterKey, Millis timeout, std::function<void(const NewestResult &)> done)
{
    if (isLost(topic) || readDelay(topic) > timeout) {
        runLater(&m_context, timeout, [done = std::move(done)]() {
            done({});
        });
        return;
    }
    std::map<std::string, KeyedRecord> byKey;
    for (const auto &it : m_topics[topic]) {
        byKey[it.key] = it;
    }
    NewestResult out;
    out.isAnswered = true;
    out.end = end(topic);
    for (const auto &[key, record] : byKey) {
        if (key > afterKey && record.value) {
            out.records.push_back(record);
        }
    }
    runLater(&m_context, readDelay(topic), [out, done = std::move(done)]() {
        done(out);
    });
}

} // namespace marjoramhaven::test
