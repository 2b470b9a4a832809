#pragma once

#include <QObject>
#include <QTimer>
#include <functional>
#include <random>
#include <string>

#include "SoakChecker.h"
#include "marjoramhaven/http/PooledHttpClient.h"

namespace marjoramhaven::test {

/// Simulated callers that submit jobs, send delayed duplicates of submissions, cancel some jobs and query the states of others.
class SoakCallers : public QObject
{
    Q_OBJECT

public:
    SoakCallers(SoakChecker &checker, std::vector<int> ports, std::uint64_t seed);

    /// Returns whether a process may have cut off requests since a time, because it was killed or paused. Must be set before start().
    std::function<bool(std::size_t node, TimePoint since)> mayCutOff;

    void start();
    /// Stops submitting new jobs. States of jobs are still queried, and retries and duplicates of submissions are still sent.
    void stopSubmitting() { m_isSubmitting = false; }
    /// Submits a job only in one of so many ticks.
    void setTicksPerJob(int ticks) { m_ticksPerJob = ticks; }
    /// Submits a job of one step with tasks that work for 10 to 14 s, which is not cancelled.
    void submitLongJob(int tasks);
    /// Submits a job with one task that lasts until cancelLastingJobs() is called.
    void submitLastingJob();
    void cancelLastingJobs();
    /// Returns whether all accepted jobs without a cancellation have been reported as completed.
    bool isSettled() const;
    int accepted() const { return m_accepted; }

private:
    void tick();
    void submit(const std::string &id, int attempt);
    void handleSubmitResponse(const std::string &id, int attempt, const CallResult &result);
    void submitLater(const std::string &id, int attempt, Millis pause);
    void cancel(const std::string &id);
    // Cancels a job again and again until that is confirmed.
    void cancelSurely(const std::string &id);
    void cancelGangLater(const std::string &id);
    void queryState(const std::string &id);
    OutgoingCall makeCall(const std::string &method, const std::string &id, std::size_t node);
    // Sends a request for a job to a random process, on a connection that is kept open until the process closes it.
    void send(const std::string &method, const std::string &id, std::string body, PooledHttpClient::Done done);
    void checkNotCutOff(const std::string &request, std::size_t node, TimePoint sentAt, const CallResult &result);
    std::string newId();
    std::string newJob();
    // Makes some jobs lasting gangs or repeated ones.
    void drawKind(JobHistory &job);
    std::uint64_t randomBelow(std::uint64_t bound) { return m_random() % bound; }

    SoakChecker &m_checker;
    const std::vector<int> m_ports;
    std::mt19937_64 m_random;
    /// Draws the kinds of jobs, apart from all else, so that these don't change what a seed draws besides.
    std::mt19937_64 m_kindRandom;
    PooledHttpClient m_httpClient;
    QTimer m_ticker;
    bool m_isSubmitting = true;
    int m_ticksPerJob = 1;
    int m_ticks = 0;
    int m_accepted = 0;
    std::uint64_t m_number = 0;
};

} // namespace marjoramhaven::test
