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

/// One planner of the fake fleet, with its way through the fake network.
struct FakeFleet::Host
    : public FleetPort
    , public std::enable_shared_from_this<Host> {
    FakeFleet &fleet;
    std::unique_ptr<FleetPlanner> planner;
    bool isFrozen = false;
    bool isDead = false;
    bool isStoring = false;
    std::vector<std::function<void()>> held;

    explicit Host(FakeFleet &owner)
        : fleet(owner)
    {
    }

    // Answers that arrive while the process stands still wait until it wakes.
    void receive(std::function<void()> run)
    {
        if (isFrozen) {
            held.push_back(std::move(run));
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

    // Carries an order to a worker and its answer back; either may get lost.
    template<typename Answer>
    void carry(const std::shared_ptr<Host> &self,
               const std::string &worker,
               Millis timeout,
               std::function<Answer(FleetWorkerModel &)> order,
               std::function<void(const Answer &)> done)
    {
        const auto i = indexOf(worker);
        const auto answered = std::make_shared<bool>(false);
        const auto finish = [self, answered, done](const Answer &answer) {
            if (!*answered) {
                *answered = true;
                self->receive([done, answer]() {
                    done(answer);
                });
            }
        };
        fleet.after(timeout, [finish]() {
            finish(Answer {});
        });
        if (fleet.chance(fleet.m_lateOrders)) {
            const auto span = (MaxExecutionDelay - MinExecutionDelay).count();
            const auto later = MinExecutionDelay + Millis(static_cast<std::int64_t>(fleet.m_random() % static_cast<std::uint64_t>(span)));
            // The order waits inside the worker, and goes with its incarnation.
            fleet.after(later, [this, self, i, order, bornMs = fleet.m_workers[i]->report().bornMs]() {
                if (fleet.m_workers[i]->report().bornMs == bornMs) {
                    order(*fleet.m_workers[i]);
                }
            });
            return;
        }
        const bool isAnswerLost = fleet.chance(fleet.m_lostAnswers);
        fleet.after(fleet.m_setting.delay, [this, i, order, finish, isAnswerLost]() {
            if (fleet.m_isSilent[i]) {
                return;
            }
            const auto answer = order(*fleet.m_workers[i]);
            if (!isAnswerLost) {
                fleet.after(fleet.m_setting.delay, [finish, answer]() {
                    finish(answer);
                });
            }
        });
    }

    std::shared_ptr<Host> self() { return shared_from_this(); }

    void sendStart(const StartOrder &order, Millis timeout) override
    {
        const auto issuedAt = order.ticket.empty() ? fleet.m_now : TimePoint {} + Millis(std::stoll(order.ticket));
        const bool isExpired = fleet.queue.needsAdvice && fleet.m_now - issuedAt > Millis(fleet.queue.ticketValidityMs);
        fleet.m_expiredTickets += isExpired ? 1 : 0;
        carry<OrderAnswer>(
            self(),
            order.worker.id,
            timeout,
            [this, order](FleetWorkerModel &it) {
                fleet.m_startingOn[order.task] = static_cast<int>(indexOf(it.report().id));
                return it.start(order, fleet.m_now);
            },
            [this, order](const OrderAnswer &answer) {
                planner->startAnswered(order, answer, fleet.m_now);
            });
    }

    void sendStop(const StopOrder &order, Millis timeout) override
    {
        carry<OrderAnswer>(
            self(),
            order.worker.id,
            timeout,
            [this, order](FleetWorkerModel &it) {
                return it.stop(order, fleet.m_now);
            },
            [this, order](const OrderAnswer &answer) {
                planner->stopAnswered(order, answer, fleet.m_now);
            });
    }

    void sendPace(const PaceOrder &order, Millis timeout) override
    {
        carry<OrderAnswer>(
            self(),
            order.worker.id,
            timeout,
            [this, order](FleetWorkerModel &it) {
                return it.pace(order, fleet.m_now);
            },
            [this, order](const OrderAnswer &answer) {
                planner->paceAnswered(order, answer, fleet.m_now);
            });
    }

    // The long poll: the worker answers at an end, or when the wait is over.
    void sendHold(const HoldOrder &order, Millis timeout) override
    {
        const auto i = indexOf(order.worker.id);
        const auto sentAt = fleet.m_now;
        const auto host = self();
        const auto answered = std::make_shared<bool>(false);
        const auto finish = [this, host, answered, order, sentAt](const HoldAnswer &answer) {
            if (!*answered) {
                *answered = true;
                host->receive([this, order, sentAt, answer]() {
                    planner->holdAnswered(order, answer, sentAt, fleet.m_now);
                });
            }
        };
        fleet.after(timeout, [finish]() {
            finish(HoldAnswer {});
        });
        // A connection ends with the incarnation that it was opened to.
        fleet.after(fleet.m_setting.delay, [this, i, order, finish, bornMs = fleet.m_workers[i]->report().bornMs]() {
            if (!fleet.m_isSilent[i] && fleet.m_workers[i]->report().bornMs == bornMs) {
                fleet.m_workers[i]->hold(order, fleet.m_now);
                awaitEnd(i, order, finish, fleet.m_now + order.wait, bornMs);
            }
        });
    }

    void awaitEnd(std::size_t i, const HoldOrder &order, const std::function<void(const HoldAnswer &)> &finish, TimePoint until, std::int64_t bornMs)
    {
        if (fleet.m_isSilent[i] || fleet.m_workers[i]->report().bornMs != bornMs) {
            return;
        }
        if (fleet.m_now < until && !fleet.m_workers[i]->hasEndAfter(order.acknowledged)) {
            fleet.after(WorkerStep, [this, i, order, finish, until, bornMs]() {
                awaitEnd(i, order, finish, until, bornMs);
            });
            return;
        }
        const auto answer = fleet.m_workers[i]->hold(order, fleet.m_now);
        fleet.after(fleet.m_setting.delay, [finish, answer]() {
            finish(answer);
        });
    }

    void askAdvice(const AdviceOrder &order) override
    {
        ++fleet.m_adviceCalls;
        const auto host = self();
        fleet.after(fleet.m_setting.adviceDelay + AdvicePerWorker * static_cast<int>(order.workers.size()), [this, host, order]() {
            AdviceAnswer answer;
            answer.isAnswered = true;
            const auto issuedMs = (fleet.m_now - TimePoint {}).count();
            for (const auto &it : order.workers) {
                answer.allowed.push_back({it, std::to_string(issuedMs)});
            }
            host->receive([this, order, answer]() {
                planner->adviceAnswered(order, answer, fleet.m_now);
            });
        });
    }

    void fenced(const std::string & /*worker*/) override { isDead = true; }
};

} // namespace marjoramhaven::test
