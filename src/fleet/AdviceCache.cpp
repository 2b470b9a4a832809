#include "marjoramhaven/fleet/AdviceCache.h"

#include <algorithm>
#include <cmath>

namespace marjoramhaven {

namespace {

// A request that is expected to take longer than this leaves some advisor proxies free for shorter ones.
constexpr double LongCallMs = 200;
constexpr std::size_t ProxiesPerReserved = 3;
// A queue whose request found no proxy within this time still waits for one.
constexpr Millis RefusalMemory {200};
constexpr Millis ResponseMargin {1500};
constexpr Millis PauseAfterFailure {100};
constexpr Millis PauseAfterBusy {300};
// A ticket must still be valid when the start request that carries it reaches the worker.
constexpr Millis TicketMargin {250};
// Prior of the share of allowed workers of a queue, before the advisor has answered; its weight is a number of workers.
constexpr double PriorWorkers = 10;
constexpr double PriorAllowedShare = 0.5;
// Weight of the newest answer in the smoothed latency of an advisor proxy.
constexpr double LatencySmoothing = 0.3;

} // namespace

void AdviceCache::addProxy(const std::string &name)
{
    m_proxies.emplace(name, Proxy {});
}

void AdviceCache::removeProxy(const std::string &name)
{
    const auto it = m_proxies.find(name);
    if (it == m_proxies.end()) {
        return;
    }
    const auto step = m_steps.find(it->second.step);
    if (it->second.hasRequestInFlight && step != m_steps.end()) {
        step->second.isRequestInFlight = false;
    }
    releaseProxy(it->second);
    m_proxies.erase(it);
}

AdviceCache::Verdict AdviceCache::verdict(const std::string &step, const std::string &worker, std::int64_t workerStartedUnixMs, TimePoint now) const
{
    const auto advice = m_steps.find(step);
    if (advice == m_steps.end()) {
        return Verdict::Unknown;
    }
    const auto it = advice->second.workers.find(worker);
    if (it == advice->second.workers.end() || it->second.workerStartedUnixMs != workerStartedUnixMs) {
        return Verdict::Unknown;
    }
    if (!it->second.isAllowed) {
        return Verdict::Forbidden;
    }
    return now < it->second.expiresAt ? Verdict::Allowed : Verdict::Expired;
}

std::string AdviceCache::ticket(const std::string &step, const std::string &worker) const
{
    const auto advice = m_steps.find(step);
    if (advice == m_steps.end()) {
        return {};
    }
    const auto it = advice->second.workers.find(worker);
    return it == advice->second.workers.end() ? std::string() : it->second.ticket;
}

bool AdviceCache::isRequestBlocked(const std::string &step, TimePoint now) const
{
    const auto it = m_steps.find(step);
    return it != m_steps.end() && (it->second.isRequestInFlight || now < it->second.notBefore);
}

double AdviceCache::allowedShare(const std::string &queue) const
{
    const auto it = m_allowanceStats.find(queue);
    const AllowanceStats stats = it == m_allowanceStats.end() ? AllowanceStats {} : it->second;
    return (stats.allowed + PriorWorkers * PriorAllowedShare) / (stats.asked + PriorWorkers);
}

bool AdviceCache::isWaiting(const std::string &queue, TimePoint now) const
{
    const auto it = m_refusedAt.find(queue);
    return it != m_refusedAt.end() && now - it->second <= RefusalMemory;
}

bool AdviceCache::hasUsedItsShare(const std::string &queue, TimePoint now) const
{
    if (!m_lastRefusedAt || now - *m_lastRefusedAt > RefusalMemory) {
        return false;
    }
    std::size_t competing = 0;
    for (const auto &[name, count] : m_longInFlightOf) {
        competing += count > 0 || name == queue || isWaiting(name, now) ? 1 : 0;
    }
    const auto forLongRequests = m_proxies.size() - m_proxies.size() / ProxiesPerReserved;
    const auto share = std::max<std::size_t>(1, forLongRequests / std::max<std::size_t>(1, competing));
    const auto own = m_longInFlightOf.find(queue);
    if (own == m_longInFlightOf.end() || own->second < share) {
        return false;
    }
    return std::any_of(m_longInFlightOf.begin(), m_longInFlightOf.end(), [&](const auto &it) {
        return it.first != queue && it.second < share && isWaiting(it.first, now);
    });
}

// Each length may use all proxies but those that are reserved for the other one. Long requests need theirs only while some wait.
bool AdviceCache::isWithinLimits(bool isLong, const std::string &queue, TimePoint now)
{
    const bool isOtherReserved = isLong || (m_lastRefusedAt && now - *m_lastRefusedAt <= RefusalMemory);
    const auto reserved = isOtherReserved ? m_proxies.size() / ProxiesPerReserved : 0;
    const auto used = isLong ? m_longInFlight : m_shortInFlight;
    if (used + reserved < m_proxies.size() && m_longInFlight + m_shortInFlight < m_proxies.size()) {
        return !isLong || !hasUsedItsShare(queue, now);
    }
    if (isLong) {
        m_longInFlightOf[queue];
        m_refusedAt[queue] = now;
        m_lastRefusedAt = now;
    }
    return false;
}

bool AdviceCache::mayRequest(const QueuePolicy &queue, TimePoint now)
{
    return isWithinLimits(queue.adviceBaseMs + queue.advicePerWorkerMs > LongCallMs, queue.name, now);
}

void AdviceCache::releaseProxy(Proxy &proxy)
{
    if (!proxy.hasRequestInFlight) {
        return;
    }
    proxy.hasRequestInFlight = false;
    if (proxy.isLongRequest) {
        --m_longInFlight;
        --m_longInFlightOf[proxy.queue];
    } else {
        --m_shortInFlight;
    }
}

AdviceCache::Proxy *AdviceCache::chooseProxy(bool isLong, TimePoint now, std::string &name)
{
    const auto isFree = [now](const auto &it) {
        return !it.second.hasRequestInFlight && it.second.busyUntil <= now;
    };
    Proxy *best = nullptr;
    for (auto &it : m_proxies) {
        if (!isFree(it)) {
            continue;
        }
        const bool isBetter = best == nullptr || (isLong ? it.second.extraLatencyMs > best->extraLatencyMs : it.second.extraLatencyMs < best->extraLatencyMs);
        if (isBetter) {
            best = &it.second;
            name = it.first;
        }
    }
    return best;
}

std::optional<AdviceRequest> AdviceCache::createRequest(const std::string &step,
                                                        const QueuePolicy &queue,
                                                        const std::vector<std::pair<std::string, std::int64_t>> &workersWithStart,
                                                        TimePoint now)
{
    if (workersWithStart.empty() || isRequestBlocked(step, now)) {
        return std::nullopt;
    }
    const auto expectedMs = queue.adviceBaseMs + queue.advicePerWorkerMs * static_cast<double>(workersWithStart.size());
    std::string name;
    const bool isLong = expectedMs > LongCallMs;
    auto *proxy = isWithinLimits(isLong, queue.name, now) ? chooseProxy(isLong, now, name) : nullptr;
    if (proxy == nullptr) {
        return std::nullopt;
    }
    if (isLong) {
        ++m_longInFlight;
        ++m_longInFlightOf[queue.name];
    } else {
        ++m_shortInFlight;
    }
    proxy->hasRequestInFlight = true;
    proxy->isLongRequest = isLong;
    proxy->step = step;
    proxy->queue = queue.name;
    proxy->requestedAt = now;
    proxy->expectedMs = expectedMs;
    auto &advice = m_steps[step];
    advice.queue = queue.name;
    advice.validity = Millis(queue.ticketValidityMs);
    advice.isRequestInFlight = true;
    advice.requestedAt = now;
    advice.asked.clear();
    AdviceRequest out;
    out.proxy = name;
    out.step = step;
    out.timeout = Millis(std::llround(expectedMs)) + ResponseMargin;
    for (const auto &[worker, startedUnixMs] : workersWithStart) {
        advice.asked.emplace(worker, startedUnixMs);
        out.workers.push_back(worker);
    }
    return out;
}

void AdviceCache::handleResponse(const std::string &proxy, const std::string &step, const AdviceResponse &response, TimePoint now)
{
    const auto sender = m_proxies.find(proxy);
    if (sender != m_proxies.end() && sender->second.step == step) {
        auto &it = sender->second;
        releaseProxy(it);
        it.busyUntil = response.isBusy ? now + PauseAfterBusy : now;
        const auto newestMs = std::max(0.0, static_cast<double>((now - it.requestedAt).count()) - it.expectedMs);
        it.extraLatencyMs = it.extraLatencyMs == 0 ? newestMs : it.extraLatencyMs + LatencySmoothing * (newestMs - it.extraLatencyMs);
    }
    const auto it = m_steps.find(step);
    if (it == m_steps.end()) {
        return;
    }
    auto &advice = it->second;
    advice.isRequestInFlight = false;
    if (!response.isAnswered) {
        advice.notBefore = now + PauseAfterFailure;
        return;
    }
    for (const auto &[worker, startedUnixMs] : advice.asked) {
        auto &allowance = advice.workers[worker];
        allowance = {false, {}, now, startedUnixMs};
    }
    auto &stats = m_allowanceStats[advice.queue];
    stats.asked += static_cast<double>(advice.asked.size());
    stats.allowed += static_cast<double>(response.allowed.size());
    for (const auto &row : response.allowed) {
        auto &allowance = advice.workers[row.worker];
        allowance.isAllowed = true;
        allowance.ticket = row.ticket;
        allowance.expiresAt = now + advice.validity - TicketMargin;
    }
}

void AdviceCache::discardTicket(const std::string &step, const std::string &worker)
{
    const auto advice = m_steps.find(step);
    if (advice != m_steps.end()) {
        advice->second.workers.erase(worker);
    }
}

void AdviceCache::forget(const std::string &step)
{
    const auto it = m_steps.find(step);
    if (it != m_steps.end() && !it->second.isRequestInFlight) {
        m_steps.erase(it);
    }
}

} // namespace marjoramhaven
