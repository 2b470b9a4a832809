#include "marjoramhaven/fleet/AdviceBook.h"

#include <algorithm>
#include <cmath>

namespace marjoramhaven {

namespace {

// A call that is expected to take longer leaves some helpers to shorter ones.
constexpr double LongCallMs = 200;
constexpr std::size_t HelpersPerReserved = 3;
constexpr Millis CallSlack {1500};
constexpr Millis PauseAfterFailure {100};
constexpr Millis PauseAfterBusy {300};
// A ticket must still hold when the start that carries it reaches the worker.
constexpr Millis TicketMargin {250};
// Weight of what is assumed of a queue before anything was asked, in workers.
constexpr double PriorWorkers = 10;
constexpr double PriorAllowedShare = 0.5;
// Weight of the newest answer in what is believed of a process's way to the advisor.
constexpr double WaySmoothing = 0.3;

} // namespace

void AdviceBook::addHelper(const std::string &name)
{
    m_helpers.emplace(name, Helper {});
}

void AdviceBook::removeHelper(const std::string &name)
{
    const auto it = m_helpers.find(name);
    if (it == m_helpers.end()) {
        return;
    }
    const auto step = m_steps.find(it->second.step);
    if (it->second.isAsking && step != m_steps.end()) {
        step->second.isAsked = false;
    }
    m_helpers.erase(it);
}

AdviceBook::Verdict AdviceBook::verdict(const std::string &step, const std::string &worker, std::int64_t workerBornMs, TimePoint now) const
{
    const auto advice = m_steps.find(step);
    if (advice == m_steps.end()) {
        return Verdict::Unknown;
    }
    const auto it = advice->second.workers.find(worker);
    if (it == advice->second.workers.end() || it->second.workerBornMs != workerBornMs) {
        return Verdict::Unknown;
    }
    if (!it->second.isAllowed) {
        return Verdict::Forbidden;
    }
    return now < it->second.expiresAt ? Verdict::Allowed : Verdict::Expired;
}

std::string AdviceBook::ticket(const std::string &step, const std::string &worker) const
{
    const auto advice = m_steps.find(step);
    if (advice == m_steps.end()) {
        return {};
    }
    const auto it = advice->second.workers.find(worker);
    return it == advice->second.workers.end() ? std::string() : it->second.ticket;
}

bool AdviceBook::isBusy(const std::string &step, TimePoint now) const
{
    const auto it = m_steps.find(step);
    return it != m_steps.end() && (it->second.isAsked || now < it->second.notBefore);
}

double AdviceBook::allowedShare(const std::string &queue) const
{
    const auto it = m_learnt.find(queue);
    const Learnt learnt = it == m_learnt.end() ? Learnt {} : it->second;
    return (learnt.allowed + PriorWorkers * PriorAllowedShare) / (learnt.asked + PriorWorkers);
}

AdviceBook::Helper *AdviceBook::freeHelper(bool isLong, TimePoint now, std::string &name)
{
    const auto isFree = [now](const auto &it) {
        return !it.second.isAsking && it.second.busyUntil <= now;
    };
    const auto free = static_cast<std::size_t>(std::count_if(m_helpers.begin(), m_helpers.end(), isFree));
    const auto reserved = isLong ? m_helpers.size() / HelpersPerReserved : 0;
    if (free <= reserved) {
        return nullptr;
    }
    Helper *best = nullptr;
    for (auto &it : m_helpers) {
        if (!isFree(it)) {
            continue;
        }
        const bool isBetter = best == nullptr || (isLong ? it.second.wayMs > best->wayMs : it.second.wayMs < best->wayMs);
        if (isBetter) {
            best = &it.second;
            name = it.first;
        }
    }
    return best;
}

std::optional<AdviceOrder>
AdviceBook::order(const std::string &step, const QueuePolicy &queue, const std::vector<std::pair<std::string, std::int64_t>> &workersWithBirth, TimePoint now)
{
    if (workersWithBirth.empty() || isBusy(step, now)) {
        return std::nullopt;
    }
    const auto expectedMs = queue.adviceBaseMs + queue.advicePerWorkerMs * static_cast<double>(workersWithBirth.size());
    std::string name;
    auto *helper = freeHelper(expectedMs > LongCallMs, now, name);
    if (helper == nullptr) {
        return std::nullopt;
    }
    helper->isAsking = true;
    helper->step = step;
    helper->askedAt = now;
    helper->expectedMs = expectedMs;
    auto &advice = m_steps[step];
    advice.queue = queue.name;
    advice.validity = Millis(queue.ticketValidityMs);
    advice.isAsked = true;
    advice.askedAt = now;
    advice.asked.clear();
    AdviceOrder out;
    out.helper = name;
    out.step = step;
    out.timeout = Millis(std::llround(expectedMs)) + CallSlack;
    for (const auto &[worker, bornMs] : workersWithBirth) {
        advice.asked.emplace(worker, bornMs);
        out.workers.push_back(worker);
    }
    return out;
}

void AdviceBook::answered(const std::string &helper, const std::string &step, const AdviceAnswer &answer, TimePoint now)
{
    const auto asked = m_helpers.find(helper);
    if (asked != m_helpers.end() && asked->second.step == step) {
        auto &it = asked->second;
        it.isAsking = false;
        it.busyUntil = answer.isBusy ? now + PauseAfterBusy : now;
        const auto way = std::max(0.0, static_cast<double>((now - it.askedAt).count()) - it.expectedMs);
        it.wayMs = it.wayMs == 0 ? way : it.wayMs + WaySmoothing * (way - it.wayMs);
    }
    const auto it = m_steps.find(step);
    if (it == m_steps.end()) {
        return;
    }
    auto &advice = it->second;
    advice.isAsked = false;
    if (!answer.isAnswered) {
        advice.notBefore = now + PauseAfterFailure;
        return;
    }
    for (const auto &[worker, bornMs] : advice.asked) {
        auto &allowance = advice.workers[worker];
        allowance = {false, {}, now, bornMs};
    }
    auto &learnt = m_learnt[advice.queue];
    learnt.asked += static_cast<double>(advice.asked.size());
    learnt.allowed += static_cast<double>(answer.allowed.size());
    for (const auto &row : answer.allowed) {
        auto &allowance = advice.workers[row.worker];
        allowance.isAllowed = true;
        allowance.ticket = row.ticket;
        allowance.expiresAt = now + advice.validity - TicketMargin;
    }
}

void AdviceBook::rejectTicket(const std::string &step, const std::string &worker)
{
    const auto advice = m_steps.find(step);
    if (advice != m_steps.end()) {
        advice->second.workers.erase(worker);
    }
}

void AdviceBook::forget(const std::string &step)
{
    const auto it = m_steps.find(step);
    if (it != m_steps.end() && !it->second.isAsked) {
        m_steps.erase(it);
    }
}

} // namespace marjoramhaven
