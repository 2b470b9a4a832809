#pragma once

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "FakeFleet.h"

namespace marjoramhaven::test {

inline constexpr Millis AdvicePerWorker {1};
inline constexpr Millis MaxExecutionDelay {12000};
inline constexpr Millis MinExecutionDelay {2000};
inline constexpr Millis WorkerStep {5};
/// Distance of the claims of two planners in the topic of leadership, in which heartbeats lie.
inline constexpr std::int64_t TokensPerPlanner = 1'000'000;

/// One planner's process in a FakeFleet, which sends the planner's requests through the simulated network.
struct FakeFleet::PlannerProcess
    : public PlannerTransport
    , public std::enable_shared_from_this<PlannerProcess> {
    FakeFleet &fleet;
    std::unique_ptr<FleetPlanner> planner;
    bool isFrozen = false;
    bool isDead = false;
    bool isStoring = false;
    std::int64_t heartbeats = 0;
    std::vector<std::function<void()>> delayedCallbacks;

    explicit PlannerProcess(FakeFleet &owner)
        : fleet(owner)
    {
    }

    // Runs a callback in the process and then the planner. While the process is frozen, callbacks wait until it resumes.
    void receive(std::function<void()> run)
    {
        if (isFrozen) {
            delayedCallbacks.push_back(std::move(run));
        } else if (!isDead) {
            run();
            planner->plan(fleet.m_now);
        }
    }

    std::size_t indexOf(const std::string &worker) const
    {
        for (std::size_t i = 0; i < fleet.m_workers.size(); ++i) {
            if (fleet.m_workers[i]->report().id == worker) {
                return i;
            }
        }
        return 0;
    }

    // Sends a request to a worker and returns its response. The request may be delayed past its timeout, and the response may get lost.
    template<typename Response>
    void sendToWorker(const std::shared_ptr<PlannerProcess> &self,
                      const std::string &worker,
                      Millis timeout,
                      std::function<Response(FleetWorkerModel &)> request,
                      std::function<void(const Response &)> done)
    {
        const auto i = indexOf(worker);
        const auto isFinished = std::make_shared<bool>(false);
        const auto finish = [self, isFinished, done](const Response &response) {
            if (!*isFinished) {
                *isFinished = true;
                self->receive([done, response]() {
                    done(response);
                });
            }
        };
        fleet.after(timeout, [finish]() {
            finish(Response {});
        });
        if (fleet.chance(fleet.m_delayedRequestShare)) {
            executeLate<Response>(self, i, request);
            return;
        }
        if (fleet.chance(fleet.m_refusedRequestShares[i])) {
            refuse<Response>(i, request, finish);
            return;
        }
        const bool isResponseLost = fleet.chance(fleet.m_lostResponseShare);
        fleet.after(fleet.m_options.delay, [this, i, request, finish, isResponseLost]() {
            if (!fleet.canReach(*this, i)) {
                return;
            }
            const auto response = request(*fleet.m_workers[i]);
            if (!isResponseLost) {
                fleet.after(fleet.m_options.delay, [finish, response]() {
                    finish(response);
                });
            }
        });
    }

    // Lets a worker carry out a request long after its timeout. Until then the request waits inside the worker or on the way to it.
    template<typename Response>
    void executeLate(const std::shared_ptr<PlannerProcess> &self, std::size_t i, std::function<Response(FleetWorkerModel &)> request)
    {
        const auto span = (MaxExecutionDelay - MinExecutionDelay).count();
        const auto later = MinExecutionDelay + Millis(static_cast<std::int64_t>(fleet.m_random() % static_cast<std::uint64_t>(span)));
        fleet.after(later, [this, self, i, request, startedUnixMs = fleet.m_workers[i]->report().startedUnixMs]() {
            if (fleet.m_options.delayedRequestsOutliveWorkers || fleet.m_workers[i]->report().startedUnixMs == startedUnixMs) {
                request(*fleet.m_workers[i]);
            }
        });
    }

    // Lets an unhealthy worker refuse a request, at its first or its second sending.
    template<typename Response>
    void refuse(std::size_t i, std::function<Response(FleetWorkerModel &)> request, std::function<void(const Response &)> finish)
    {
        Response refusal;
        refusal.reason = "status 503";
        const bool isSecondSending = fleet.chance(0.5);
        refusal.outcome = isSecondSending ? WorkerCallOutcome::Unknown : WorkerCallOutcome::Unhealthy;
        const bool isFirstCarriedOut = isSecondSending && fleet.chance(0.5);
        fleet.after(fleet.m_options.delay, [this, i, request, finish, refusal, isFirstCarriedOut]() {
            if (fleet.m_isUnresponsive[i]) {
                return;
            }
            if (isFirstCarriedOut) {
                request(*fleet.m_workers[i]);
            }
            fleet.after(fleet.m_options.delay * 2, [finish, refusal]() {
                finish(refusal);
            });
        });
    }

    std::shared_ptr<PlannerProcess> self() { return shared_from_this(); }

    void sendStart(const StartRunRequest &request, TimePoint /*decidedAt*/, Millis timeout) override
    {
        const auto issuedAt = request.ticket.empty() ? fleet.m_now : TimePoint {} + Millis(std::stoll(request.ticket));
        const bool isExpired = fleet.queue.needsAdvice && fleet.m_now - issuedAt > Millis(fleet.queue.ticketValidityMs);
        fleet.m_expiredTickets += isExpired ? 1 : 0;
        sendToWorker<WorkerResponse>(
            self(),
            request.worker.id,
            timeout,
            [this, request](FleetWorkerModel &it) {
                fleet.m_startingOn[request.task] = static_cast<int>(indexOf(it.report().id));
                return it.start(request, fleet.m_now);
            },
            [this, request](const WorkerResponse &response) {
                planner->handleStartResponse(request, response, fleet.m_now);
            });
    }

    void sendStop(const StopRunRequest &request, TimePoint /*decidedAt*/, Millis timeout) override
    {
        sendToWorker<WorkerResponse>(
            self(),
            request.worker.id,
            timeout,
            [this, request](FleetWorkerModel &it) {
                return it.stop(request, fleet.m_now);
            },
            [this, request](const WorkerResponse &response) {
                planner->handleStopResponse(request, response, fleet.m_now);
            });
    }

    void sendThrottle(const ThrottleRunRequest &request, TimePoint /*decidedAt*/, Millis timeout) override
    {
        sendToWorker<WorkerResponse>(
            self(),
            request.worker.id,
            timeout,
            [this, request](FleetWorkerModel &it) {
                return it.throttle(request, fleet.m_now);
            },
            [this, request](const WorkerResponse &response) {
                planner->handleThrottleResponse(request, response, fleet.m_now);
            });
    }

    // Long poll: the worker answers when a run ends or when the requested wait is over.
    void sendPoll(const PollWorkerRequest &request, TimePoint /*decidedAt*/, Millis timeout) override
    {
        const auto i = indexOf(request.worker.id);
        const auto process = self();
        const auto isFinished = std::make_shared<bool>(false);
        const auto finish = [this, process, isFinished, request](const PollWorkerResponse &response) {
            if (!*isFinished) {
                *isFinished = true;
                process->receive([this, request, response]() {
                    planner->handlePollResponse(request, response, fleet.m_now);
                });
            }
        };
        fleet.after(timeout, [finish]() {
            finish(PollWorkerResponse {});
        });
        if (fleet.chance(fleet.m_delayedPollShare)) {
            executeLate<PollWorkerResponse>(process, i, [this, i, request](FleetWorkerModel & /*worker*/) {
                return fleet.pollWorker(i, request);
            });
            return;
        }
        if (fleet.chance(fleet.m_refusedRequestShares[i])) {
            PollWorkerResponse refusal;
            refusal.outcome = WorkerCallOutcome::Unhealthy;
            fleet.after(fleet.m_options.delay * 2, [finish, refusal]() {
                finish(refusal);
            });
            return;
        }
        // A restart of the worker closes its connections.
        fleet.after(fleet.m_options.delay, [this, i, request, finish, startedUnixMs = fleet.m_workers[i]->report().startedUnixMs]() {
            if (fleet.canReach(*this, i) && fleet.m_workers[i]->report().startedUnixMs == startedUnixMs) {
                fleet.pollWorker(i, request);
                awaitEnd(i, request, finish, fleet.m_now + request.wait, startedUnixMs);
            }
        });
    }

    void awaitEnd(std::size_t i,
                  const PollWorkerRequest &request,
                  const std::function<void(const PollWorkerResponse &)> &finish,
                  TimePoint until,
                  std::int64_t startedUnixMs)
    {
        if (!fleet.canReach(*this, i) || fleet.m_workers[i]->report().startedUnixMs != startedUnixMs) {
            return;
        }
        if (fleet.m_now < until && !fleet.m_workers[i]->hasEndAfter(request.acknowledged)) {
            fleet.after(WorkerStep, [this, i, request, finish, until, startedUnixMs]() {
                awaitEnd(i, request, finish, until, startedUnixMs);
            });
            return;
        }
        const auto response = fleet.pollWorker(i, request);
        fleet.after(fleet.m_options.delay, [finish, response]() {
            finish(response);
        });
    }

    void sendAdviceRequest(const AdviceRequest &request) override
    {
        ++fleet.m_adviceCalls;
        fleet.m_advisedWorkers += static_cast<int>(request.workers.size());
        const auto process = self();
        fleet.after(fleet.m_options.adviceDelay + AdvicePerWorker * static_cast<int>(request.workers.size()), [this, process, request]() {
            AdviceResponse response;
            response.isAnswered = true;
            const auto issuedMs = (fleet.m_now - TimePoint {}).count();
            for (const auto &it : request.workers) {
                if (!fleet.advisorAllows || fleet.advisorAllows(request.step, it)) {
                    response.allowed.push_back({it, std::to_string(issuedMs)});
                }
            }
            process->receive([this, request, response]() {
                planner->handleAdviceResponse(request, response, fleet.m_now);
            });
        });
    }

    void fencedByWorker(const std::string & /*worker*/) override { isDead = true; }
};

} // namespace marjoramhaven::test
