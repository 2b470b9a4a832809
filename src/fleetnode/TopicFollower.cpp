#include "marjoramhaven/fleetnode/TopicFollower.h"

#include <algorithm>
#include <set>
#include <utility>

namespace marjoramhaven {

namespace {

constexpr Millis MinRetryPause {50};
constexpr Millis MaxRetryPause {400};
constexpr int MaxRetryPauseDoublings = 4;
constexpr Millis ProbeInterval {250};
constexpr Millis ProbeTimeout {1500};

} // namespace

TopicFollower::TopicFollower(StateLog &log, StateTopic topic, Millis longPollWait, Millis pauseAfterRecords, CatchUp catchUp, QObject *parent)
    : QObject(parent)
    , m_log(log)
    , m_topic(topic)
    , m_longPollWait(longPollWait)
    , m_pauseAfterRecords(pauseAfterRecords)
    , m_catchUp(catchUp)
{
}

void TopicFollower::start()
{
    m_loadedRecords.clear();
    m_loadedUpToKey.clear();
    m_isLoading = true;
    loadPage();
}

void TopicFollower::stop()
{
    m_isStopped = true;
    m_alive.reset();
}

void TopicFollower::loadPage()
{
    const auto sentAt = monotonicNow();
    const std::weak_ptr<bool> alive = m_alive;
    m_log.newest(m_topic, m_loadedUpToKey, loadTimeout, [this, alive, sentAt](const NewestResult &result) {
        if (alive.expired()) {
            return;
        }
        if (!result.isAnswered) {
            handleFailure(result.reason);
            return;
        }
        setReachable(true, {});
        if (m_loadedUpToKey.empty()) {
            m_latency = monotonicNow() - sentAt;
            m_loadSentAt = sentAt;
            m_loadEnd = result.end;
        }
        m_loadedRecords.insert(m_loadedRecords.end(), result.records.begin(), result.records.end());
        if (result.hasMore && !result.records.empty()) {
            m_loadedUpToKey = result.records.back().key;
            loadPage();
        } else {
            finishLoad();
        }
    });
}

void TopicFollower::finishLoad()
{
    std::set<std::string> presentKeys;
    for (const auto &it : m_loadedRecords) {
        presentKeys.insert(it.key);
    }
    for (const auto &[key, offset] : m_newestOffsets) {
        if (!presentKeys.contains(key)) {
            m_loadedRecords.push_back({key, std::nullopt, offset + 1});
        }
    }
    std::sort(m_loadedRecords.begin(), m_loadedRecords.end(), [](const KeyedRecord &a, const KeyedRecord &b) {
        return a.offset < b.offset;
    });
    const auto records = filterNewer(m_loadedRecords);
    m_loadedRecords.clear();
    m_loadedRecords.shrink_to_fit();
    // The pages are not a snapshot. Reading continues at the end offset of the first page, so that changes made during the load are read again.
    m_next = m_loadEnd;
    m_currentAsOf = m_loadSentAt;
    m_completeReadSentAt = m_loadSentAt;
    m_isLoading = false;
    m_isLoaded = true;
    m_consecutiveFailures = 0;
    const std::weak_ptr<bool> alive = m_alive;
    onRecords(records);
    if (!alive.expired()) {
        poll();
    }
}

std::vector<KeyedRecord> TopicFollower::filterNewer(const std::vector<KeyedRecord> &records)
{
    std::vector<KeyedRecord> out;
    for (const auto &it : records) {
        const auto known = m_newestOffsets.find(it.key);
        if (known != m_newestOffsets.end() && it.offset <= known->second) {
            continue;
        }
        if (it.value) {
            m_newestOffsets[it.key] = it.offset;
        } else if (known != m_newestOffsets.end()) {
            m_newestOffsets.erase(known);
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
    // After a failure, reads don't wait for new records until the log answers again.
    const auto longPollWait = m_consecutiveFailures == 0 ? m_longPollWait : Millis(0);
    const auto sentAt = monotonicNow();
    m_log.read(m_topic, m_next, longPollWait, longPollWait + m_readTimes.timeout(), [this, alive, longPollWait, sentAt](const ReadResult &result) {
        if (alive.expired()) {
            return;
        }
        if (!result.isAnswered) {
            m_readTimes.recordFailure();
            handleFailure(result.reason);
            return;
        }
        if (longPollWait.count() == 0) {
            m_readTimes.recordResponse(monotonicNow() - sentAt);
        }
        handleReadAnswer(result, sentAt, longPollWait);
    });
}

void TopicFollower::handleReadAnswer(const ReadResult &result, TimePoint sentAt, Millis waited)
{
    if (result.isTruncated) {
        start();
        return;
    }
    const std::weak_ptr<bool> alive = m_alive;
    const bool hasRecords = !result.records.empty();
    applyRead(result, sentAt, waited);
    if (alive.expired()) {
        return;
    }
    if (shouldSkip(result.end)) {
        start();
    } else {
        schedulePoll(hasRecords ? m_pauseAfterRecords : Millis(0));
    }
}

bool TopicFollower::shouldSkip(std::int64_t end) const
{
    return m_catchUp == CatchUp::SkipToNewest && end > m_next + 1;
}

void TopicFollower::schedulePoll(Millis pause)
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

void TopicFollower::applyRead(const ReadResult &result, TimePoint sentAt, Millis waited)
{
    m_consecutiveFailures = 0;
    m_lastAnswerAt = monotonicNow();
    setReachable(true, {});
    // A read and a refresh may be under way at the same time. Records that the other one has applied already may have been superseded since.
    auto records = result.records;
    std::erase_if(records, [this](const KeyedRecord &it) {
        return it.offset < m_next;
    });
    m_next = std::max(m_next, result.next);
    // A read that ended without a record shows that there was none until the end of its wait, unless the log answered early.
    const bool hasWaited = result.records.empty() && m_lastAnswerAt >= sentAt + waited;
    if (hasWaited) {
        m_latency = m_lastAnswerAt - sentAt - waited;
    }
    if (m_next >= result.end) {
        m_currentAsOf = hasWaited ? sentAt + waited : sentAt;
        m_completeReadSentAt = sentAt;
    }
    onRecords(filterNewer(records));
}

void TopicFollower::refresh(std::function<void(bool)> done)
{
    if (!m_isLoaded) {
        done(false);
        return;
    }
    m_waitingRefreshes.push_back(std::move(done));
    sendRefresh();
}

void TopicFollower::sendRefresh()
{
    if (m_isRefreshing || m_waitingRefreshes.empty()) {
        return;
    }
    m_isRefreshing = true;
    const std::weak_ptr<bool> alive = m_alive;
    const auto sentAt = monotonicNow();
    const auto callbacks = std::exchange(m_waitingRefreshes, {});
    m_log.read(m_topic, m_next, Millis(0), m_readTimes.timeout(), [this, alive, sentAt, callbacks](const ReadResult &result) {
        if (alive.expired()) {
            return;
        }
        m_isRefreshing = false;
        const bool hasRecords = result.isAnswered && !result.isTruncated;
        if (hasRecords) {
            applyRead(result, sentAt, Millis(0));
        }
        for (const auto &it : callbacks) {
            if (alive.expired()) {
                return;
            }
            it(hasRecords && result.next >= result.end);
        }
        if (!alive.expired()) {
            sendRefresh();
        }
    });
}

void TopicFollower::handleFailure(const std::string &reason)
{
    setReachable(false, reason);
    const auto pause = std::min(MaxRetryPause, MinRetryPause * (1 << std::min(m_consecutiveFailures, MaxRetryPauseDoublings)));
    ++m_consecutiveFailures;
    m_isProbing = true;
    const std::weak_ptr<bool> alive = m_alive;
    QTimer::singleShot(static_cast<int>(pause.count()), this, [this, alive]() {
        if (!alive.expired()) {
            probe();
        }
    });
}

void TopicFollower::probe()
{
    const std::weak_ptr<bool> alive = m_alive;
    m_log.newest(m_topic, KeyAfterAll, ProbeTimeout, [this, alive](const NewestResult &result) {
        if (alive.expired() || !m_isProbing || !result.isAnswered) {
            return;
        }
        m_isProbing = false;
        resume(result.end);
    });
    QTimer::singleShot(static_cast<int>(ProbeInterval.count()), this, [this, alive]() {
        if (!alive.expired() && m_isProbing) {
            probe();
        }
    });
}

void TopicFollower::resume(std::int64_t end)
{
    if (m_isLoading) {
        // The pages that were read before the failure stay; changes since then are read after the load.
        loadPage();
    } else if (shouldSkip(end)) {
        start();
    } else {
        poll();
    }
}

void TopicFollower::setReachable(bool isReachable, const std::string &reason)
{
    if (isReachable) {
        m_lastAnswerAt = monotonicNow();
    }
    if (isReachable != m_isReachable && onReachabilityChanged) {
        onReachabilityChanged(isReachable, reason);
    }
    m_isReachable = isReachable;
}

} // namespace marjoramhaven
