#include "SoakOperator.h"

#include <algorithm>

#include "support/Events.h"

namespace marjoramhaven::test {

namespace {

constexpr char Host[] = "host.example";
constexpr char JobPrefix[] = "/q/";
constexpr int AskIntervalMs = 40;
constexpr Millis CallTimeout {3000};
constexpr int ConnectionsPerHost = 8;
// A queue is dropped by the first change after this time, so that it must be served for a while also when changes come in quick succession.
constexpr Millis DropAfter {6000};
// Requests go to this many of the newest added queues, so that some of them have been dropped.
constexpr std::size_t AskedQueues = 24;
// A configuration with so many queues has about 200 KB.
constexpr int FurtherQueues = 1400;
constexpr int MaxVersionStep = 3;
// Within this time after its confirmation, a version must be in force.
constexpr Millis ApplyWithin {2500};
// A process counts as undisturbed after this time without a fault of its own or of the log.
constexpr Millis UndisturbedAfter {4000};
// Answers that were sent before an answer which showed a newer version may arrive after it.
constexpr Millis RollbackSlack {250};
constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;

} // namespace

SoakOperator::SoakOperator(WireStandIn &platform, SoakChecker &checker, std::vector<int> ports, std::uint64_t seed)
    : m_platform(platform)
    , m_checker(checker)
    , m_ports(std::move(ports))
    , m_random(seed)
    , m_httpClient(*this, ConnectionsPerHost)
    , m_nodes(m_ports.size())
{
    connect(&m_ticker, &QTimer::timeout, this, [this]() {
        askRandomProcess();
    });
}

void SoakOperator::changeConfiguration(bool isLarge)
{
    const auto now = monotonicNow();
    m_version += 1 + static_cast<std::int64_t>(randomBelow(MaxVersionStep));
    m_queues.push_back({"/added-" + std::to_string(m_version) + "/", m_version, now, std::nullopt});
    std::vector<std::string> prefixes {JobPrefix};
    for (auto &it : m_queues) {
        if (now - it.addedAt > DropAfter && !it.droppedAt) {
            it.droppedAt = now;
        }
        if (!it.droppedAt) {
            prefixes.push_back(it.prefix);
        }
    }
    m_platform.putConfiguration(m_version, Host, prefixes, true, isLarge ? FurtherQueues : 0);
}

void SoakOperator::start()
{
    m_ticker.start(AskIntervalMs);
}

void SoakOperator::noteDisturbance(TimePoint now)
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        noteDisturbance(i, now);
    }
}

void SoakOperator::noteStart(std::size_t node)
{
    const auto incarnation = m_nodes[node].incarnation + 1;
    m_nodes[node] = ObservedNode {incarnation, -1, {}};
}

void SoakOperator::askRandomProcess()
{
    const auto first = m_queues.size() > AskedQueues ? m_queues.size() - AskedQueues : 0;
    ask(randomBelow(m_ports.size()), first + randomBelow(m_queues.size() - first), {});
}

void SoakOperator::ask(std::size_t node, std::size_t queue, std::function<void(int status)> done)
{
    OutgoingCall call;
    call.method = "GET";
    call.host = "127.0.0.1";
    call.port = m_ports[node];
    call.target = m_queues[queue].prefix;
    call.headers.emplace_back("Host", Host);
    call.headers.emplace_back("Deadline-Ms", std::to_string(CallTimeout.count()));
    call.timeout = CallTimeout;
    const auto sentAt = monotonicNow();
    const auto before = m_nodes[node];
    m_httpClient.call(std::move(call), [this, node, queue, sentAt, before, done = std::move(done)](const CallResult &result) {
        const auto status = result.hasResponse ? result.status : 0;
        check(node, queue, sentAt, before, status);
        if (done) {
            done(status);
        }
    });
}

void SoakOperator::check(std::size_t node, std::size_t queue, TimePoint sentAt, const ObservedNode &before, int status)
{
    auto &observed = m_nodes[node];
    const auto &it = m_queues[queue];
    if (status == 0 || before.incarnation != observed.incarnation) {
        return;
    }
    ++m_checkedCount;
    const auto request =
        it.prefix + " at process " + std::to_string(node) + ", sent " + std::to_string((sentAt - it.addedAt).count()) + " ms after its version";
    if (status == StatusNotFound && !it.droppedAt) {
        if (sentAt > it.addedAt + ApplyWithin) {
            m_checker.addViolation("a queue was denied as only an older version allows (status 404): " + request);
        }
        if (before.version >= it.version && sentAt > before.versionSeenAt + RollbackSlack) {
            m_checker.addViolation("a process went back to an older version (status 404): " + request);
        }
    }
    if (status != StatusOk) {
        return;
    }
    if (it.version > observed.version) {
        observed.version = it.version;
        observed.versionSeenAt = monotonicNow();
    }
    const auto disturbed = m_disturbedAt.find(node);
    const bool isUndisturbed = disturbed == m_disturbedAt.end() || sentAt > disturbed->second + UndisturbedAfter;
    if (it.droppedAt && sentAt > *it.droppedAt + ApplyWithin && isUndisturbed) {
        m_checker.addViolation("a dropped queue was served (status 200): " + request);
    }
}

// Asks all processes at once, and returns those that answered otherwise or not at all.
std::vector<std::size_t> SoakOperator::processesWithout(std::size_t queue, int status)
{
    std::vector<std::size_t> out;
    std::size_t answered = 0;
    for (std::size_t i = 0; i < m_ports.size(); ++i) {
        ask(i, queue, [&out, &answered, i, status](int found) {
            ++answered;
            if (found != status) {
                out.push_back(i);
            }
        });
    }
    waitFor(
        [this, &answered]() {
            return answered == m_ports.size();
        },
        static_cast<int>(CallTimeout.count()) * 2);
    return out;
}

void SoakOperator::checkFinalChange()
{
    m_ticker.stop();
    changeConfiguration(true);
    changeConfiguration(true);
    waitFor(
        []() {
            return false;
        },
        static_cast<int>(ApplyWithin.count()));
    for (const auto node : processesWithout(m_queues.size() - 1, StatusOk)) {
        m_checker.addViolation("the last version was not in force in time at undisturbed process " + std::to_string(node));
    }
    const auto dropped = std::find_if(m_queues.rbegin(), m_queues.rend(), [](const AddedQueue &it) {
        return it.droppedAt.has_value();
    });
    if (dropped == m_queues.rend()) {
        return;
    }
    for (const auto node : processesWithout(static_cast<std::size_t>(m_queues.rend() - dropped) - 1, StatusNotFound)) {
        m_checker.addViolation("a dropped queue was not denied in time at undisturbed process " + std::to_string(node));
    }
}

} // namespace marjoramhaven::test
