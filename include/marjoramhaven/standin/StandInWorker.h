#pragma once

#include <QObject>
#include <QTimer>
#include <list>
#include <memory>
#include <string>

#include "marjoramhaven/http/HttpServer.h"
#include "marjoramhaven/standin/WorkerModel.h"

namespace marjoramhaven {

/// A stand-in worker: serves a WorkerModel over the HTTP interface of workers.
class StandInWorker : public QObject
{
    Q_OBJECT

public:
    /// Creates a worker whose clock is ahead of this process's clock by `clockOffset`, because clocks of different machines differ.
    StandInWorker(std::string name, Resources capacity, Millis clockOffset, QObject *parent);

    /// Listens on a loopback port, or on any free port if 0 is given. Returns the port, or 0 and sets lastReason() on failure.
    int listenOn(int port);
    WorkerModel &model() { return m_model; }
    /// Leaves requests without a response, as a paused or unreachable worker does. Runs continue.
    void setSilent(bool silent);
    bool isSilent() const { return m_silent; }
    /// Drops the response to every n-th start after the start took effect; 0 drops none.
    void setLoseEveryNthStart(int n) { m_loseEveryNth = n; }
    /// Returns the worker's clock in milliseconds.
    std::int64_t clock() const;

private:
    struct PendingResponse {
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
    std::list<PendingResponse> m_pendingRenewals;
    std::list<PendingResponse> m_pendingStarts;
    bool m_silent = false;
    int m_loseEveryNth = 0;
    int m_startCount = 0;
};

} // namespace marjoramhaven
