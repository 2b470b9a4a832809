#include "ZoneSimulationParts.h"

#include <algorithm>

namespace marjoramhaven::test {

// The log.

void ZoneSimulation::LogClient::append(const std::vector<QJsonObject> &records, AppendDone done)
{
    const int incarnation = m_zone.m_members[m_member]->incarnation;
    auto isDone = std::make_shared<bool>(false);
    const auto finish = [this, incarnation, isDone, done](bool ok) {
        m_zone.onMember(m_member, incarnation, [this, isDone, done, ok]() {
            if (!*isDone) {
                *isDone = true;
                done(ok, m_zone.m_now);
            }
        });
    };
    const auto delay = m_zone.m_logSlow ? Millis(800) : Latency;
    m_zone.postDelayed(delay, [this, records, finish, delay]() {
        if (m_zone.m_logDown || m_zone.m_members[m_member]->isCutFromLog) {
            return;
        }
        m_zone.m_log.append(records);
        if (!m_zone.m_areLogResponsesLost) {
            m_zone.postDelayed(delay, [finish]() {
                finish(true);
            });
        }
    });
    m_zone.postDelayed(CallTimeout, [finish]() {
        finish(false);
    });
}

void ZoneSimulation::LogClient::read(std::int64_t from, Millis wait, ReadDone done)
{
    const int incarnation = m_zone.m_members[m_member]->incarnation;
    const auto delay = m_zone.m_logSlow ? Millis(800) : Latency;
    const bool reachable = !m_zone.m_logDown && !m_zone.m_members[m_member]->isCutFromLog;
    // A read that waits for new records is simulated by a short pause before an empty response.
    const auto pause = from < m_zone.m_log.next() ? Millis(0) : std::min(wait, Millis(20));
    m_zone.postDelayed(delay + pause, [this, incarnation, from, done, reachable]() {
        const auto batch = reachable ? std::optional<LogBatch>(m_zone.m_log.read(from, 100)) : std::nullopt;
        m_zone.onMember(m_member, incarnation, [this, batch, done]() {
            done(batch, m_zone.m_now);
        });
    });
}

// The workers.

template<typename T>
void ZoneSimulation::WorkerClient::deliver(T response,
                                           int incarnation,
                                           const std::shared_ptr<bool> &isDone,
                                           std::function<void(std::optional<T>, TimePoint)> done)
{
    m_zone.postDelayed(Latency, [this, response = std::move(response), incarnation, isDone, done = std::move(done)]() {
        if (!m_zone.canReach(m_member, m_worker)) {
            return;
        }
        m_zone.onMember(m_member, incarnation, [this, response, isDone, done]() {
            if (!*isDone) {
                *isDone = true;
                done(response, m_zone.m_now);
            }
        });
    });
}

template<typename T>
void ZoneSimulation::WorkerClient::call(std::function<T(WorkerModel &, std::int64_t)> operation,
                                        std::function<void(std::optional<T>, TimePoint)> done,
                                        bool loseResponse)
{
    const int incarnation = m_zone.m_members[m_member]->incarnation;
    auto isDone = std::make_shared<bool>(false);
    const auto timeOut = [this, incarnation, isDone, done]() {
        m_zone.onMember(m_member, incarnation, [this, isDone, done]() {
            if (!*isDone) {
                *isDone = true;
                done(std::nullopt, m_zone.m_now);
            }
        });
    };
    m_zone.postDelayed(CallTimeout, timeOut);
    // A request to a worker that can't be reached is lost, or is delivered several seconds late.
    const bool isLate = !m_zone.canReach(m_member, m_worker) && m_zone.m_random() % 2 == 0;
    const auto delay = isLate ? Millis(3000 + static_cast<std::int64_t>(m_zone.m_random() % 4000)) : Latency;
    m_zone.postDelayed(delay, [this, operation, done, incarnation, isDone, loseResponse]() {
        if (!m_zone.canReach(m_member, m_worker)) {
            return;
        }
        const auto response = operation(*m_zone.m_workers[m_worker], millisOf(m_zone.m_now) + ClockOffsetPerWorker * (m_worker + 1));
        if (!loseResponse) {
            deliver<T>(response, incarnation, isDone, done);
        }
    });
}

void ZoneSimulation::WorkerClient::open(const std::string &owner, OpenDone done)
{
    call<OpenSessionResponse>(
        [owner](WorkerModel &worker, std::int64_t clock) {
            return worker.open(owner, clock);
        },
        std::move(done));
}

void ZoneSimulation::WorkerClient::renew(const RenewRequest &request, RenewDone done)
{
    m_zone.reportStep(Step::Renew, m_member);
    const int incarnation = m_zone.m_members[m_member]->incarnation;
    auto isDone = std::make_shared<bool>(false);
    m_zone.postDelayed(request.wait + CallTimeout, [this, incarnation, isDone, done]() {
        m_zone.onMember(m_member, incarnation, [this, isDone, done]() {
            if (!*isDone) {
                *isDone = true;
                done(std::nullopt, m_zone.m_now);
            }
        });
    });
    const auto until = m_zone.m_now + request.wait;
    const bool isLate = !m_zone.canReach(m_member, m_worker) && m_zone.m_random() % 2 == 0;
    m_zone.postDelayed(isLate ? Millis(4000) : Latency, [this, request, until, incarnation, isDone, done]() {
        if (!m_zone.canReach(m_member, m_worker)) {
            return;
        }
        m_zone.m_workers[m_worker]->renew(request, millisOf(m_zone.m_now) + ClockOffsetPerWorker * (m_worker + 1));
        pollRenewal(request, until, incarnation, isDone, done);
    });
}

void ZoneSimulation::WorkerClient::pollRenewal(const RenewRequest &request,
                                               TimePoint until,
                                               int incarnation,
                                               const std::shared_ptr<bool> &isDone,
                                               const RenewDone &done)
{
    const auto clock = millisOf(m_zone.m_now) + ClockOffsetPerWorker * (m_worker + 1);
    auto &worker = *m_zone.m_workers[m_worker];
    worker.advance(clock);
    if (worker.hasUnreportedEnds(request.session) || m_zone.m_now >= until) {
        deliver<RenewResponse>(worker.takeUnreportedEnds(request.session, clock), incarnation, isDone, done);
        return;
    }
    m_zone.postDelayed(Millis(10), [this, request, until, incarnation, isDone, done]() {
        pollRenewal(request, until, incarnation, isDone, done);
    });
}

void ZoneSimulation::WorkerClient::start(const StartRequest &request, StartDone done)
{
    m_zone.reportStep(Step::Dispatch, m_member);
    const int incarnation = m_zone.m_members[m_member]->incarnation;
    if (!request.awaitEnd) {
        call<StartResponse>(
            [request](WorkerModel &worker, std::int64_t clock) {
                return worker.start(request, clock);
            },
            std::move(done),
            m_zone.m_areStartResponsesLost);
        return;
    }
    auto isDone = std::make_shared<bool>(false);
    call<StartResponse>(
        [request](WorkerModel &worker, std::int64_t clock) {
            return worker.start(request, clock);
        },
        [this, request, incarnation, isDone, done](const std::optional<StartResponse> &response, TimePoint at) {
            if (response && response->report.state == AttemptState::Running) {
                awaitEnd(request.attempt, incarnation, isDone, done);
            } else {
                done(response, at);
            }
        },
        m_zone.m_areStartResponsesLost);
}

void ZoneSimulation::WorkerClient::awaitEnd(const AttemptId &attempt, int incarnation, const std::shared_ptr<bool> &isDone, const StartDone &done)
{
    auto &worker = *m_zone.m_workers[m_worker];
    worker.advance(millisOf(m_zone.m_now) + ClockOffsetPerWorker * (m_worker + 1));
    const auto report = worker.report(attempt);
    if (!m_zone.canReach(m_member, m_worker) || report.state == AttemptState::NotKnown) {
        m_zone.onMember(m_member, incarnation, [this, done]() {
            done(std::nullopt, m_zone.m_now);
        });
    } else if (report.state == AttemptState::Running) {
        m_zone.postDelayed(Millis(10), [this, attempt, incarnation, isDone, done]() {
            awaitEnd(attempt, incarnation, isDone, done);
        });
    } else {
        deliver<StartResponse>(StartResponse {report, ""}, incarnation, isDone, done);
        // When the network fails before the response arrives, the connection breaks.
        m_zone.postDelayed(CallTimeout, [this, incarnation, isDone, done]() {
            m_zone.onMember(m_member, incarnation, [this, isDone, done]() {
                if (!*isDone) {
                    *isDone = true;
                    done(std::nullopt, m_zone.m_now);
                }
            });
        });
    }
}

void ZoneSimulation::WorkerClient::close(const AttemptId &attempt, ReportDone done)
{
    call<AttemptReport>(
        [attempt](WorkerModel &worker, std::int64_t clock) {
            return worker.close(attempt, clock);
        },
        std::move(done));
}

void ZoneSimulation::WorkerClient::stop(std::int64_t session, const AttemptId &attempt, ReportDone done)
{
    call<AttemptReport>(
        [session, attempt](WorkerModel &worker, std::int64_t clock) {
            return worker.stop(session, attempt, clock);
        },
        std::move(done));
}

} // namespace marjoramhaven::test
