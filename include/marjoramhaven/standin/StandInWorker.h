#pragma once

#include <QObject>
#include <QTimer>
#include <list>
#include <memory>
#include <string>

#include "marjoramhaven/http/HttpServer.h"
#include "marjoramhaven/standin/WorkerModel.h"

namespace marjoramhaven {

/// One stand-in worker: its model behind the HTTP interface of the worker contract.
class StandInWorker : public QObject
{
    Q_OBJECT

public:
    /// The clock of the worker runs ahead of this process's by an offset, as clocks of machines do.
    StandInWorker(std::string name, Resources capacity, Millis clockOffset, QObject *parent);

    /// Listens on loopback; gives the port, or 0 with a last reason.
    int listenOn(int port);
    WorkerModel &model() { return m_model; }
    /// Leaves requests without answer, as a paused or cut-off worker does. Work goes on.
    void setSilent(bool silent);
    bool isSilent() const { return m_silent; }
    /// Loses the answer to every n-th start after it took effect; 0 loses none.
    void setLoseEveryNthStart(int n) { m_loseEvery = n; }
    std::int64_t clock() const;

private:
    struct Waiting {
        AttemptId attempt;
        std::int64_t session = 0;
        std::int64_t until = 0;
        HttpRespond respond;
    };

    void handle(const HttpRequest &request, const HttpRespond &respond);
    void handleRenew(const QJsonObject &body, const HttpRespond &respond);
    void handleStart(const QJsonObject &body, const HttpRespond &respond);
    void advance();

    WorkerModel m_model;
    Millis m_clockOffset;
    std::unique_ptr<HttpServer> m_server;
    QTimer m_timer;
    std::list<Waiting> m_renewals;
    std::list<Waiting> m_starts;
    bool m_silent = false;
    int m_loseEvery = 0;
    int m_startsSeen = 0;
};

} // namespace marjoramhaven
