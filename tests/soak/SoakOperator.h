#pragma once

#include <QObject>
#include <QTimer>
#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "SoakChecker.h"
#include "marjoramhaven/http/PooledHttpClient.h"

namespace marjoramhaven::test {

/// Changes the configuration as an operator does, asks processes directly for the pending jobs of queues that were added or dropped, and checks that each
/// answers as the version in force requires.
///
/// A 404 for a queue that was added in time is a violation whatever faults the process has. An answer for a dropped queue is one only if the process and the
/// log were undisturbed, since a process that is cut off may go on serving what it knows.
class SoakOperator : public QObject
{
    Q_OBJECT

public:
    SoakOperator(WireStandIn &platform, SoakChecker &checker, std::vector<int> ports, std::uint64_t seed);

    /// Writes a new version: adds a queue, and drops those that were added a while ago. A large one has so many further queues that a slow link takes long
    /// for it.
    void changeConfiguration(bool isLarge);
    /// Starts to send requests.
    void start();
    /// Notes that a fault of one process, or of its link to the log, begins, ends, or lasts until then.
    void noteDisturbance(std::size_t node, TimePoint at) { m_disturbedAt[node] = std::max(m_disturbedAt[node], at); }
    /// Notes that a fault of the log begins or ends.
    void noteDisturbance(TimePoint now);
    /// Notes that a process was started.
    void noteStart(std::size_t node);
    /// Changes the configuration once more, when no fault is active, and checks that all processes put it in force in time.
    void checkFinalChange();
    /// Returns the number of requests whose answers were checked.
    int checkedCount() const { return m_checkedCount; }

private:
    // A queue that was added, and dropped again unless it is in the newest version.
    struct AddedQueue {
        std::string prefix;
        std::int64_t version = 0;
        TimePoint addedAt {};
        std::optional<TimePoint> droppedAt;
    };
    // A process as seen from outside.
    struct ObservedNode {
        int incarnation = 0;
        // The highest version whose effect an answer showed since the start, and when.
        std::int64_t version = -1;
        TimePoint versionSeenAt {};
    };

    void askRandomProcess();
    void ask(std::size_t node, std::size_t queue, std::function<void(int status)> done);
    void check(std::size_t node, std::size_t queue, TimePoint sentAt, const ObservedNode &before, int status);
    std::vector<std::size_t> processesWithout(std::size_t queue, int status);
    std::size_t randomBelow(std::size_t bound) { return static_cast<std::size_t>(m_random() % bound); }

    WireStandIn &m_platform;
    SoakChecker &m_checker;
    const std::vector<int> m_ports;
    std::mt19937_64 m_random;
    PooledHttpClient m_httpClient;
    QTimer m_ticker;
    std::int64_t m_version = 3;
    std::vector<AddedQueue> m_queues;
    std::vector<ObservedNode> m_nodes;
    std::map<std::size_t, TimePoint> m_disturbedAt;
    int m_checkedCount = 0;
};

} // namespace marjoramhaven::test
