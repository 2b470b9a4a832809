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

namespace marjoramhaven::test {

/// A stand-in for the platform that speaks its wire on 127.0.0.1: the metadata store, workers, and an advisor that allows every worker.
class WireStandIn : public QObject
{
    Q_OBJECT

public:
    explicit WireStandIn(int workers);
    ~WireStandIn() override;

    int storePort() const { return m_storePort; }
    int advisorPort() const { return m_advisorPort; }
    /// Writes a configuration with one queue at a host and a prefix.
    void putConfiguration(std::int64_t version, const std::string &host, const std::string &prefix, bool needsAdvice);
    /// Appends a record of an operator or worker.
    void put(const std::string &topic, const std::string &key, const std::optional<std::string> &value);
    /// While it is down every call of the store gets 503.
    void setStoreDown(bool isDown) { m_isStoreDown = isDown; }
    /// Drops all but the newest record of each key of a topic.
    void compact(const std::string &topic);
    /// Lets callers of a worker come through another port, as that of a proxy.
    void advertise(std::size_t worker, int port);
    int workerPort(std::size_t worker) const { return m_workers[worker]->report().port; }
    /// Everything that a worker runs is gone, and it starts anew under its id.
    void restartWorker(std::size_t worker);
    /// How each task behaves; by default it runs for a short time and ends well.
    std::function<TaskBehaviour(const FleetTaskId &)> behave;
    /// Told of each begin and end of a run.
    std::function<void(const RunEvent &)> onRun;
    const FleetWorkerModel &worker(std::size_t number) const { return *m_workers[number]; }
    std::size_t workerCount() const { return m_workers.size(); }
    /// Runs of one task that began on any worker.
    int beginsOf(const std::string &task) const;
    int begins() const { return static_cast<int>(m_begins.size()); }
    std::size_t topicSize(const std::string &topic) const;

private:
    struct Topic {
        std::vector<std::pair<std::string, std::optional<std::string>>> records;
        std::int64_t first = 0;
        std::map<std::string, std::pair<std::int64_t, std::int64_t>> writers;
    };
    struct Reader {
        std::string topic;
        std::int64_t from = 0;
        TimePoint until;
        HttpRespond respond;
    };
    struct Holder {
        std::size_t worker = 0;
        HoldOrder order;
        TimePoint until;
        HttpRespond respond;
    };

    void handleStore(const HttpRequest &request, HttpRespond respond);
    HttpResponse append(const HttpRequest &request);
    HttpResponse newest(const HttpRequest &request) const;
    HttpResponse readNow(const Reader &reader) const;
    void handleWorker(std::size_t worker, const HttpRequest &request, HttpRespond respond);
    void serveWaiting();
    void writeEntries();
    void writeEntry(std::size_t worker);
    void noteRun(const RunEvent &event);

    HttpServer m_store;
    HttpServer m_advisor;
    int m_storePort = 0;
    int m_advisorPort = 0;
    bool m_isStoreDown = false;
    std::map<std::string, Topic> m_topics;
    std::vector<Reader> m_readers;
    std::vector<Holder> m_holders;
    std::vector<std::unique_ptr<FleetWorkerModel>> m_workers;
    std::vector<std::unique_ptr<HttpServer>> m_workerServers;
    std::map<std::size_t, int> m_advertised;
    std::vector<std::string> m_begins;
    QTimer m_ticker;
};

} // namespace marjoramhaven::test
