#include "FakeFleetPlanner.h"

namespace marjoramhaven::test {

namespace {

constexpr Millis RegistrationDelay {15};

} // namespace

void FakeFleet::killPlanner(Millis pause)
{
    m_hasFaults = true;
    if (!m_planner) {
        return;
    }
    m_planner->isDead = true;
    m_planner = nullptr;
    after(pause, [this]() {
        openPlanner();
    });
}

void FakeFleet::freezePlanner(Millis pause, Millis frozenFor)
{
    m_hasFaults = true;
    const auto old = m_planner;
    if (!old) {
        return;
    }
    old->isFrozen = true;
    after(pause, [this]() {
        openPlanner();
    });
    after(frozenFor, [this, old]() {
        old->isFrozen = false;
        auto delayedCallbacks = std::move(old->delayedCallbacks);
        for (auto &it : delayedCallbacks) {
            if (!old->isDead) {
                it();
            }
        }
        if (!old->isDead) {
            old->planner->tick(0, m_now);
            old->planner->plan(m_now);
        }
        after(MaxExecutionDelay, [old]() {
            old->isDead = true;
        });
    });
}

void FakeFleet::cutOffPlanner(const std::set<int> &workers, std::optional<Millis> pause)
{
    m_hasFaults = true;
    m_cutOffPlanner = m_planner;
    for (const auto it : workers) {
        m_cutOffWorkers.insert(static_cast<std::size_t>(it));
    }
    if (pause) {
        after(*pause, [this]() {
            openPlanner();
        });
    }
}

void FakeFleet::healCut()
{
    m_cutOffPlanner = nullptr;
    m_cutOffWorkers.clear();
}

void FakeFleet::setLogUp(bool isUp)
{
    m_hasFaults = true;
    m_isLogUp = isUp;
}

void FakeFleet::setUnresponsive(int worker, bool isSilent)
{
    m_hasFaults = true;
    m_isUnresponsive[static_cast<std::size_t>(worker)] = isSilent;
}

void FakeFleet::restartWorker(int worker)
{
    m_hasFaults = true;
    m_workers[static_cast<std::size_t>(worker)]->restart(m_now);
    // The new incarnation registers itself at once, long before its next regular report.
    after(RegistrationDelay, [this, worker]() {
        const auto i = static_cast<std::size_t>(worker);
        if (m_planner && !m_planner->isFrozen && !m_planner->isDead && m_isListed[i] && !m_isUnresponsive[i]) {
            m_planner->planner->workerReported(m_workers[i]->reportAt(m_now), m_now);
        }
    });
}

void FakeFleet::drainWorker(int worker, Millis remaining)
{
    m_hasFaults = true;
    m_workers[static_cast<std::size_t>(worker)]->setDraining(remaining);
}

void FakeFleet::unlistWorker(int worker)
{
    m_isListed[static_cast<std::size_t>(worker)] = false;
    if (m_planner) {
        m_planner->planner->workerUnlisted("w" + std::to_string(worker), m_now);
    }
}

void FakeFleet::addWorkers(int count)
{
    for (std::size_t i = 0; i < m_workers.size() && count > 0; ++i) {
        if (!m_isListed[i]) {
            m_isListed[i] = true;
            --count;
        }
    }
}

void FakeFleet::setDelayedRequestShare(double share)
{
    m_hasFaults = true;
    m_delayedRequestShare = share;
}

void FakeFleet::setDelayedPollShare(double share)
{
    m_hasFaults = true;
    m_delayedPollShare = share;
}

void FakeFleet::setLostResponseShare(double share)
{
    m_hasFaults = true;
    m_lostResponseShare = share;
}

} // namespace marjoramhaven::test
