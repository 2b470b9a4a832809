#include "SoakCallers.h"

#include <QDateTime>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace marjoramhaven::test {

namespace {

constexpr int TickMs = 60;
constexpr Millis Deadline {3000};
constexpr Millis CutOffSlack {200};
constexpr int MaxAttempts = 5;
constexpr std::uint64_t MaxRetryDelayMs = 400;
constexpr std::uint64_t MaxDuplicateDelayMs = 4000;
// One state query in CancelOneIn * 3 is replaced by a cancellation, and one accepted submission in RepeatOneIn is sent again.
constexpr std::uint64_t CancelOneIn = 20;
constexpr std::uint64_t RepeatOneIn = 10;
constexpr int TicksPerQuery = 2;
constexpr int EstimateMs = 250;
constexpr int LongEstimateMs = 12'000;
constexpr std::uint64_t MaxTasksPerStep = 4;
constexpr int ConnectionsPerHost = 8;
// One job in this many is a lasting gang, and one in as many is repeated.
constexpr std::uint64_t KindOneIn = 16;
constexpr std::uint64_t MaxGangSize = 3;
constexpr std::uint64_t MaxRepeats = 3;
constexpr std::uint64_t MaxGangMs = 3000;
constexpr std::uint64_t MaxDueInMs = 2000;
constexpr std::uint64_t MaxIntervalMs = 1500;
constexpr Millis CancelRetryDelay {300};
constexpr int StatusOk = 200;
constexpr int StatusGone = 410;

} // namespace

SoakCallers::SoakCallers(SoakChecker &checker, std::vector<int> ports, std::uint64_t seed)
    : m_checker(checker)
    , m_ports(std::move(ports))
    , m_random(seed)
    , m_kindRandom(seed)
    , m_httpClient(*this, ConnectionsPerHost)
{
    connect(&m_ticker, &QTimer::timeout, this, [this]() {
        tick();
    });
}

void SoakCallers::start()
{
    m_ticker.start(TickMs);
}

void SoakCallers::tick()
{
    ++m_ticks;
    if (m_isSubmitting && m_ticks % m_ticksPerJob == 0) {
        submit(newJob(), 1);
    }
    if (m_ticks % TicksPerQuery != 0) {
        return;
    }
    std::vector<std::string> open;
    for (const auto &[id, job] : m_checker.jobs()) {
        if (job.isAccepted && !job.isReportedCompleted && !job.isCancelSent && !job.isLasting) {
            open.push_back(id);
        }
    }
    for (int i = 0; i < 3 && !open.empty(); ++i) {
        const auto &id = open[randomBelow(open.size())];
        if (randomBelow(CancelOneIn * 3) == 0 && !m_checker.job(id).isLong) {
            cancel(id);
        } else {
            queryState(id);
        }
    }
}

std::string SoakCallers::newId()
{
    return QString::number(++m_number, 16).rightJustified(16, QLatin1Char('0')).toStdString();
}

void SoakCallers::submitLongJob(int tasks)
{
    const auto id = newId();
    auto &job = m_checker.job(id);
    job.isLong = true;
    job.steps = {tasks};
    submit(id, 1);
}

void SoakCallers::submitLastingJob()
{
    const auto id = newId();
    auto &job = m_checker.job(id);
    job.isLasting = true;
    job.steps = {1};
    submit(id, 1);
}

void SoakCallers::cancelLastingJobs()
{
    for (const auto &[id, job] : m_checker.jobs()) {
        if (job.isLasting) {
            cancelSurely(id);
        }
    }
}

std::string SoakCallers::newJob()
{
    const auto id = newId();
    JobHistory job;
    for (std::uint64_t i = 0; i < 1 + randomBelow(3); ++i) {
        job.steps.push_back(static_cast<int>(1 + randomBelow(MaxTasksPerStep)));
    }
    drawKind(job);
    m_checker.job(id) = job;
    return id;
}

void SoakCallers::drawKind(JobHistory &job)
{
    const auto kind = m_kindRandom() % KindOneIn;
    if (kind == 0) {
        job.isGang = true;
        job.steps = {static_cast<int>(2 + m_kindRandom() % (MaxGangSize - 1))};
    } else if (kind == 1) {
        job.repeatCount = static_cast<int>(1 + m_kindRandom() % MaxRepeats);
        job.firstDueUnixMs = QDateTime::currentMSecsSinceEpoch() + static_cast<std::int64_t>(m_kindRandom() % MaxDueInMs);
        job.intervalMs = static_cast<std::int64_t>(1 + m_kindRandom() % MaxIntervalMs);
    }
}

OutgoingCall SoakCallers::makeCall(const std::string &method, const std::string &id, std::size_t node)
{
    OutgoingCall out;
    out.method = method;
    out.host = "127.0.0.1";
    out.port = m_ports[node];
    out.target = "/q/" + id;
    out.headers.emplace_back("Host", "host.example");
    out.headers.emplace_back("Deadline-Ms", std::to_string(Deadline.count()));
    out.mayResend = false;
    out.timeout = Deadline;
    return out;
}

void SoakCallers::send(const std::string &method, const std::string &id, std::string body, PooledHttpClient::Done done)
{
    const auto node = randomBelow(m_ports.size());
    auto call = makeCall(method, id, node);
    call.body = std::move(body);
    const auto sentAt = monotonicNow();
    m_httpClient.call(std::move(call), [this, request = method + " " + id, node, sentAt, done = std::move(done)](const CallResult &result) {
        checkNotCutOff(request, node, sentAt, result);
        done(result);
    });
}

// A process that is stopped finishes the requests that it has read. A request that is sent as the process closes the connection fails at once.
void SoakCallers::checkNotCutOff(const std::string &request, std::size_t node, TimePoint sentAt, const CallResult &result)
{
    const auto elapsed = monotonicNow() - sentAt;
    if (!result.hasResponse && elapsed > CutOffSlack && elapsed < Deadline && !mayCutOff(node, sentAt)) {
        m_checker.addViolation("a request was cut off after " + std::to_string(elapsed.count()) + " ms by process " + std::to_string(node)
                               + ", which was not killed (" + result.error + "): " + request);
    }
}

void SoakCallers::submit(const std::string &id, int attempt)
{
    const auto &job = m_checker.job(id);
    auto steps = nlohmann::json::array();
    for (const auto count : job.steps) {
        const auto estimateMs = job.isLong ? LongEstimateMs : EstimateMs;
        nlohmann::json step {{"count", count}, {"cpu", 1000}, {"mem-mb", 100}, {"estimate-ms", estimateMs}, {"checkpointing", true}};
        if (!steps.empty()) {
            step["after"] = {steps.size() - 1};
        }
        if (job.isGang) {
            step["gang"] = true;
        }
        if (job.isLasting) {
            step["long-running"] = true;
        }
        steps.push_back(step);
    }
    nlohmann::json body {{"spec", id}, {"phases", steps}};
    if (job.repeatCount > 0) {
        body["repeat-count"] = job.repeatCount;
        body["start-at-ms"] = job.firstDueUnixMs;
        body["interval-ms"] = job.intervalMs;
    }
    send("POST", id, body.dump(), [this, id, attempt](const CallResult &result) {
        handleSubmitResponse(id, attempt, result);
    });
}

void SoakCallers::handleSubmitResponse(const std::string &id, int attempt, const CallResult &result)
{
    auto &job = m_checker.job(id);
    if (result.hasResponse && result.status == 200) {
        if (!job.isAccepted) {
            job.isAccepted = true;
            job.acceptedAt = monotonicNow();
            ++m_accepted;
            cancelGangLater(id);
        }
        if (attempt < MaxAttempts && randomBelow(RepeatOneIn) == 0) {
            submitLater(id, MaxAttempts, Millis(static_cast<std::int64_t>(randomBelow(MaxDuplicateDelayMs))));
        }
        return;
    }
    const bool isRefused = result.isUnsent() || (result.hasResponse && (result.status == 503 || result.status == 429));
    job.mayBeStored = job.mayBeStored || !isRefused;
    if (attempt < MaxAttempts) {
        submitLater(id, attempt + 1, Millis(static_cast<std::int64_t>(randomBelow(MaxRetryDelayMs))));
    } else {
        cancelGangLater(id);
    }
}

void SoakCallers::submitLater(const std::string &id, int attempt, Millis pause)
{
    QTimer::singleShot(static_cast<int>(pause.count()), this, [this, id, attempt]() {
        submit(id, attempt);
    });
}

void SoakCallers::cancel(const std::string &id)
{
    m_checker.job(id).isCancelSent = true;
    send("DELETE", id, {}, [](const CallResult & /*result*/) {});
}

void SoakCallers::cancelSurely(const std::string &id)
{
    m_checker.job(id).isCancelSent = true;
    send("DELETE", id, {}, [this, id](const CallResult &result) {
        if (result.hasResponse && (result.status == StatusOk || result.status == StatusGone)) {
            m_checker.job(id).isCancelConfirmed = true;
            return;
        }
        QTimer::singleShot(static_cast<int>(CancelRetryDelay.count()), this, [this, id]() {
            cancelSurely(id);
        });
    });
}

// A gang lasts until it is cancelled, also one whose acceptance its caller doesn't know of.
void SoakCallers::cancelGangLater(const std::string &id)
{
    if (m_checker.job(id).isGang) {
        QTimer::singleShot(static_cast<int>(m_kindRandom() % MaxGangMs), this, [this, id]() {
            cancelSurely(id);
        });
    }
}

void SoakCallers::queryState(const std::string &id)
{
    send("GET", id, {}, [this, id](const CallResult &result) {
        if (!result.hasResponse) {
            return;
        }
        const auto body = nlohmann::json::parse(result.body, nullptr, false);
        const auto state = body.is_object() ? body.value("state", std::string()) : std::string();
        m_checker.checkReportedState(id, result.status, state, monotonicNow());
    });
}

bool SoakCallers::isSettled() const
{
    return std::all_of(m_checker.jobs().begin(), m_checker.jobs().end(), [](const auto &it) {
        const auto &job = it.second;
        return job.isGang || job.isLasting ? job.isCancelConfirmed : !job.isAccepted || job.isCancelSent || job.isReportedCompleted;
    });
}

} // namespace marjoramhaven::test
