#pragma once

#include <QObject>
#include <QTimer>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "marjoramhaven/http/HttpServer.h"
#include "marjoramhaven/standin/FleetWorkerModel.h"
#include "support/StoreStandIn.h"

namespace marjoramhaven::test {

/// A stand-in platform that serves the users' platform's HTTP protocol on 127.0.0.1: the metadata store, the workers, and an advisor that
/// allows every worker.
class WireStandIn : public QObject
{
    Q_OBJECT

public:
    explicit WireStandIn(int workers);
    ~WireStandIn() override;

    int storePort() const { return m_storePort; }
    int advisorPort() const { return m_advisorPort; }
    /// Writes a configuration with a queue for each path prefix under a host name, and a number of further queues, each under a prefix of its own. With
    /// `needsAdvice`, the first queue's steps run only on workers that the advisor allows.
    void putConfiguration(std::int64_t version, const std::string &host, const std::vector<std::string> &prefixes, bool needsAdvice, int furtherQueues = 0);
    /// The store's contents and faults.
    StoreStandIn &store() { return m_storeModel; }
    const StoreStandIn &store() const { return m_storeModel; }
    /// While true, the workers answer stop requests with status 503 and carry none out.
    void setRefusingStops(bool isRefusing) { m_isRefusingStops = isRefusing; }
    /// While true, workers that restart write no entries, so that the newest ones are those of earlier incarnations.
    void setHoldingEntriesBack(bool isHolding) { m_isHoldingEntriesBack = isHolding; }
    /// Opens another port of the store, for the reader of a cut-off simulation, and returns it. Where a record names one of these ports of a worker or a
    /// process, that reader finds the other one, such as that of a proxy on its own way there.
    int addStoreView(std::map<int, int> ports);
    /// Publishes another port for a worker, such as that of a proxy.
    void advertisePort(std::size_t worker, int port);
    int workerPort(std::size_t worker) const { return m_workers[worker]->report().port; }
    /// Restarts a worker under the same id: all its runs are lost. It says that it started so much later than the incarnation before, or by a unique time if
    /// that is not set.
    void restartWorker(std::size_t worker, std::optional<Millis> bornChange = std::nullopt);
    /// Ends all runs of a worker, as a crash does. It answers no call until it is restarted.
    void crashWorker(std::size_t worker);
    /// If set and true for a call to a worker, the worker leaves the call unanswered and keeps it.
    std::function<bool(std::size_t worker, const HttpRequest &call)> isCallKept;
    /// If set and true for a kept call, the worker carries it out, in whichever incarnation it is, unless it has crashed. Asked after each advance of the
    /// workers, before they answer polls.
    std::function<bool(std::size_t worker, const HttpRequest &call)> isKeptCallDue;
    /// Returns how many kept calls have been carried out.
    int lateCallCount() const { return m_lateCallCount; }
    /// Returns whether a kept call is being carried out now.
    bool isCarryingOutLateCall() const { return m_isCarryingOutLateCall; }
    /// Returns the simulated behaviour of a task. If not set, every task runs for 150 ms and succeeds.
    std::function<TaskBehaviour(const FleetTaskId &)> taskBehaviour;
    /// Called for each start and end of a run, if set.
    std::function<void(const RunEvent &)> onRunEvent;
    /// Called for each end of a run that a poll acknowledges, if set.
    std::function<void(const EndAcknowledgement &)> onAcknowledgement;
    const FleetWorkerModel &worker(std::size_t number) const { return *m_workers[number]; }
    std::size_t workerCount() const { return m_workers.size(); }
    /// Returns how many runs of one task have started on any worker.
    int startCountOf(const std::string &task) const;
    /// Returns how many runs have started on any worker.
    int startCount() const { return static_cast<int>(m_startedTasks.size()); }

private:
    struct PendingPoll {
        std::size_t worker = 0;
        PollWorkerRequest request;
        TimePoint until;
        HttpRespond respond;
    };

    struct KeptCall {
        std::size_t worker = 0;
        HttpRequest request;
    };

    void handleWorker(std::size_t worker, const HttpRequest &request, HttpRespond respond);
    HttpResponse changeRun(std::size_t worker, const HttpRequest &request);
    static PollWorkerRequest pollOf(const HttpRequest &request);
    void carryOutKeptCalls();
    void answerDueRequests();
    void writeInventory();
    void writeInventoryEntry(std::size_t worker);
    void recordRunEvent(const RunEvent &event);

    const StoreStandIn::PortView m_plainView;
    StoreStandIn m_storeModel;
    HttpServer m_store;
    std::vector<std::unique_ptr<StoreStandIn::PortView>> m_views;
    std::vector<std::unique_ptr<HttpServer>> m_viewServers;
    HttpServer m_advisor;
    int m_storePort = 0;
    int m_advisorPort = 0;
    bool m_isRefusingStops = false;
    bool m_isHoldingEntriesBack = false;
    std::vector<PendingPoll> m_pendingPolls;
    std::vector<KeptCall> m_keptCalls;
    int m_lateCallCount = 0;
    bool m_isCarryingOutLateCall = false;
    std::set<std::size_t> m_stoppedWorkers;
    std::vector<std::unique_ptr<FleetWorkerModel>> m_workers;
    std::vector<std::unique_ptr<HttpServer>> m_workerServers;
    std::map<std::size_t, int> m_advertisedPorts;
    std::vector<std::string> m_startedTasks;
    QTimer m_ticker;
};

} // namespace marjoramhaven::test
