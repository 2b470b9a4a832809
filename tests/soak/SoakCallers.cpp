#include "SoakCallers.h"

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
constexpr std::uint64_t MaxTasksPerStep = 4;
constexpr int ConnectionsPerHost = 8;

} // namespace

SoakCallers::SoakCallers(SoakChecker &checker, std::vector<int> ports, std::uint64_t seed)
    : m_checker(checker)
    , m_ports(std::move(ports))
    , m_random(seed)
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
    if (m_isSubmitting) {
        submit(newJob(), 1);
    }
    if (m_ticks % TicksPerQuery != 0) {
        return;
    }
    std::vector<std::string> open;
    for (const auto &[id, job] : m_checker.jobs()) {
        if (job.isAccepted && !job.isReportedCompleted && !job.isCancelSent) {
            open.push_back(id);
        }
    }
    for (int i = 0; i < 3 && !open.empty(); ++i) {
        const auto &id = open[randomBelow(open.size())];
        if (randomBelow(CancelOneIn * 3) == 0) {
            cancel(id);
        } else {
            queryState(id);
        }
    }
}

std::string SoakCallers::newJob()
{
    auto id = QString::number(++m_number, 16).rightJustified(16, QLatin1Char('0')).toStdString();
    JobHistory job;
    for (std::uint64_t i = 0; i < 1 + randomBelow(3); ++i) {
        job.steps.push_back(static_cast<int>(1 + randomBelow(MaxTasksPerStep)));
    }
    m_checker.job(id) = job;
    return id;
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
    auto steps = nlohmann::json::array();
    for (const auto count : m_checker.job(id).steps) {
        nlohmann::json step {{"count", count}, {"cpu", 1000}, {"mem-mb", 100}, {"estimate-ms", 250}, {"checkpointing", true}};
        if (!steps.empty()) {
            step["after"] = {steps.size() - 1};
        }
        steps.push_back(step);
    }
    send("POST", id, nlohmann::json {{"spec", id}, {"phases", steps}}.dump(), [this, id, attempt](const CallResult &result) {
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
        return !it.second.isAccepted || it.second.isCancelSent || it.second.isReportedCompleted;
    });
}

} // namespace marjoramhaven::test
