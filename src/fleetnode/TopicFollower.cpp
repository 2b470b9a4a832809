#include "marjoramhaven/fleetnode/TopicFollower.h"

#include <algorithm>
#include <set>

namespace marjoramhaven {

namespace {

constexpr Millis LoadTimeout {2000};
constexpr Millis FirstRetry {50};
constexpr Millis LongestRetry {400};
constexpr Millis ProbeEvery {250};

} // namespace

TopicFollower::TopicFollower(StateLog &log, StateTopic topic, Millis wait, Millis gap, QObject *parent)
    : QObject(parent)
    , m_log(log)
    , m_topic(topic)
    , m_wait(wait)
    , m_gap(gap)
{
}

void TopicFollower::start()
{
    m_page.clear();
    loadPage({});
}

void TopicFollower::stop()
{
    m_isStopped = true;
    m_alive.reset();
}

void TopicFollower::loadPage(const std::string &afterKey)
{
    const auto sentAt = monotonicNow();
    const std::weak_ptr<bool> alive = m_alive;
    m_log.newest(m_topic, afterKey, LoadTimeout, [this, alive, afterKey, sentAt](const NewestResult &result) {
        if (alive.expired()) {
            return;
        }
        if (!result.isAnswered) {
            m_page.clear();
            retryLater(result.reason);
            return;
        }
        noteReachable(true, {});
        if (afterKey.empty()) {
            m_lastDelay = monotonicNow() - sentAt;
            m_pageEnd = result.end;
        }
        m_page.insert(m_page.end(), result.records.begin(), result.records.end());
        if (result.hasMore && !result.records.empty()) {
            loadPage(result.records.back().key);
        } else {
            finishLoad();
        }
    });
}

void TopicFollower::finishLoad()
{
    std::set<std::string> found;
    for (const auto &it : m_page) {
        found.insert(it.key);
    }
    for (const auto &[key, offset] : m_offsets) {
        if (!found.contains(key)) {
            m_page.push_back({key, std::nullopt, offset + 1});
        }
    }
    std::sort(m_page.begin(), m_page.end(), [](const KeyedRecord &a, const KeyedRecord &b) {
        return a.offset < b.offset;
    });
    const auto records = newerOf(m_page);
    m_page.clear();
    m_page.shrink_to_fit();
    // Pages are no snapshot: what changed while they were read is read again.
    m_next = m_pageEnd;
    m_isLoaded = true;
    onRecords(records);
    poll();
}

std::vector<KeyedRecord> TopicFollower::newerOf(const std::vector<KeyedRecord> &records)
{
    std::vector<KeyedRecord> out;
    for (const auto &it : records) {
        const auto known = m_offsets.find(it.key);
        if (known != m_offsets.end() && it.offset <= known->second) {
            continue;
        }
        if (it.value) {
            m_offsets[it.key] = it.offset;
        } else if (known != m_offsets.end()) {
            m_offsets.erase(known);
        }
        out.push_back(it);
    }
    return out;
}

void TopicFollower::poll()
{
    if (m_isStopped) {
        return;
    }
    const std::weak_ptr<bool> alive = m_alive;
    // A log that did not answer is asked for what it has, without waiting, until it answers again.
    const auto wait = m_failures == 0 ? m_wait : Millis(0);
    const auto sentAt = monotonicNow();
    const auto read = ++m_reads;
    m_log.read(m_topic, m_next, wait, wait + m_times.timeout(), [this, alive, wait, sentAt, read](const ReadResult &result) {
        if (alive.expired() || read <= m_settledReads) {
            return;
        }
        if (!result.isAnswered && read != m_reads) {
            return;
        }
        m_settledReads = m_reads;
        if (!result.isAnswered) {
            m_times.failed();
            retryLater(result.reason);
            return;
        }
        if (wait.count() == 0) {
            m_times.answered(monotonicNow() - sentAt);
        }
        readAnswered(result);
    });
    if (m_failures > 0) {
        probeBeside(read);
    }
}

void TopicFollower::readAnswered(const ReadResult &result)
{
    if (result.isTruncated) {
        start();
        return;
    }
    const std::weak_ptr<bool> alive = m_alive;
    const bool isNews = !result.records.empty();
    takeRead(result);
    if (!alive.expired()) {
        pollAfter(isNews ? m_gap : Millis(0));
    }
}

void TopicFollower::probeBeside(std::uint64_t read)
{
    const std::weak_ptr<bool> alive = m_alive;
    QTimer::singleShot(static_cast<int>(ProbeEvery.count()), this, [this, alive, read]() {
        if (!alive.expired() && read == m_reads && read > m_settledReads) {
            poll();
        }
    });
}

void TopicFollower::pollAfter(Millis pause)
{
    if (pause.count() == 0) {
        poll();
        return;
    }
    const std::weak_ptr<bool> alive = m_alive;
    QTimer::singleShot(static_cast<int>(pause.count()), this, [this, alive]() {
        if (!alive.expired()) {
            poll();
        }
    });
}

void TopicFollower::takeRead(const ReadResult &result)
{
    m_failures = 0;
    m_lastAnswerAt = monotonicNow();
    noteReachable(true, {});
    m_next = std::max(m_next, result.next);
    onRecords(newerOf(result.records));
}

void TopicFollower::refresh(std::function<void(bool)> done)
{
    const std::weak_ptr<bool> alive = m_alive;
    if (!m_isLoaded) {
        done(false);
        return;
    }
    m_log.read(m_topic, m_next, Millis(0), m_times.timeout(), [this, alive, done = std::move(done)](const ReadResult &result) {
        if (alive.expired()) {
            return;
        }
        const bool isGood = result.isAnswered && !result.isTruncated;
        if (isGood) {
            takeRead(result);
        }
        done(isGood);
    });
}

void TopicFollower::retryLater(const std::string &reason)
{
    noteReachable(false, reason);
    const auto pause = std::min(LongestRetry, FirstRetry * (1 << std::min(m_failures, 4)));
    ++m_failures;
    const std::weak_ptr<bool> alive = m_alive;
    QTimer::singleShot(static_cast<int>(pause.count()), this, [this, alive]() {
        if (alive.expired()) {
            return;
        }
        if (m_isLoaded) {
            poll();
        } else {
            start();
        }
    });
}

void TopicFollower::noteReachable(bool isReachable, const std::string &reason)
{
    if (isReachable) {
        m_lastAnswerAt = monotonicNow();
    }
    if (isReachable != m_isReachable && onReachable) {
        onReachable(isReachable, reason);
    }
    m_isReachable = isReachable;
}

} // namespace marjoramhaven
