#include "DemoRun.h"

#include <QCoreApplication>
#include <QElapsedTimer>
#include <algorithm>
#include <iomanip>
#include <iostream>

#include "CommandLine.h"
#include "marjoramhaven/base/Json.h"
#include "marjoramhaven/base/LastReason.h"
#include "marjoramhaven/config/MergePatch.h"
#include "marjoramhaven/standin/FreePort.h"

namespace marjoramhaven {

namespace {

constexpr int EntriesPerZone = 3;
constexpr int WorkersPerZone = 6;
constexpr int SetUpTimeoutSeconds = 20;
constexpr int SettleTimeoutSeconds = 30;
constexpr int EventPollMs = 5;
constexpr Millis AnswerTimeout {20'000};

const std::vector<std::string> &zones()
{
    static const std::vector<std::string> all {"north", "centre", "south"};
    return all;
}

std::int64_t nowMs()
{
    return millisOf(monotonicNow());
}

double percentile(std::vector<double> values, double quantile)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(quantile * static_cast<double>(values.size() - 1))];
}

QJsonObject teamsPatch()
{
    return *parseJsonObject(R"({"teams": {"signal": {"share": 4, "cap": 0.8}, "calibration": {"share": 1, "cap": 0.6},
                                          "register": {"share": 3, "cap": 0.8}, "permits": {"share": 2, "cap": 0.7}}})");
}

QJsonObject policyPatch()
{
    return *parseJsonObject(R"({"packing": "spread", "classes": {"urgent": {"floor": 0.35}}})");
}

} // namespace

DemoRun::DemoRun(DemoOptions options)
    : m_options(options)
    , m_random(options.seed)
    , m_nextAt(demoKinds().size(), 0)
{
}

bool DemoRun::setUp()
{
    StandInFleet fleet;
    fleet.zones = zones();
    fleet.workersPerZone = WorkersPerZone;
    for (const auto &zone : zones()) {
        for (int i = 0; i < EntriesPerZone; ++i) {
            Settings it;
            it.name = zone + "-e" + std::to_string(i);
            it.zone = zone;
            it.clientListen = {"127.0.0.1", freePort()};
            it.peerListen = {"127.0.0.1", freePort()};
            it.shutdownTimeout = Millis(5000);
            m_settings.push_back(it);
            Vm vm;
            vm.name = it.name;
            vm.zone = zone;
            vm.role = VmRole::Entry;
            fleet.entries.push_back(std::move(vm));
        }
    }
    m_platform = std::make_unique<StandInPlatform>(fleet);
    const int port = m_platform->listenOn(0);
    if (port == 0) {
        return false;
    }
    for (const auto &zone : zones()) {
        for (int i = 0; i < WorkersPerZone; ++i) {
            m_history.capacities.push_back({zone + "-w" + std::to_string(i), fleet.capacity});
        }
    }
    for (auto &it : m_settings) {
        it.platformUrl = "http://127.0.0.1:" + std::to_string(port);
        for (const auto &other : m_settings) {
            if (other.name != it.name) {
                it.peers.push_back({other.name, other.zone, other.peerListen});
            }
        }
    }
    for (std::size_t i = 0; i < m_settings.size(); ++i) {
        m_nodes[i] = EntryNode::start(m_settings[i]);
        if (!m_nodes[i]) {
            return false;
        }
    }
    setLastReason("not every zone elected a leader within 20 s");
    return waitFor(
        [this]() {
            return allZonesHaveLeaders();
        },
        SetUpTimeoutSeconds);
}

bool DemoRun::waitFor(const std::function<bool()> &condition, int seconds)
{
    QElapsedTimer timer;
    timer.start();
    while (!condition()) {
        if (timer.elapsed() > seconds * 1000LL) {
            return false;
        }
        QCoreApplication::processEvents(QEventLoop::AllEvents, EventPollMs);
        QThread::msleep(1);
    }
    return true;
}

int DemoRun::leaderOf(const std::string &zone) const
{
    for (const auto &[i, node] : m_nodes) {
        const auto status = node->shared().status();
        if (m_settings[i].zone == zone && status.isLeading && status.zone.recovered) {
            return static_cast<int>(i);
        }
    }
    return -1;
}

bool DemoRun::allZonesHaveLeaders() const
{
    return std::all_of(zones().begin(), zones().end(), [this](const auto &zone) {
        return leaderOf(zone) >= 0;
    });
}

void DemoRun::submit(const DemoKind &kind)
{
    auto it = m_nodes.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(m_random() % m_nodes.size()));
    const auto spec = demoSpec(kind, "d" + std::to_string(++m_submitted), m_random);
    m_kindOf[spec.id] = kind.name;
    m_sentAt[spec.id] = nowMs();
    ++m_tallies[kind.name].sent;
    send(kind, spec, it->first);
}

void DemoRun::send(const DemoKind &kind, const JobSpec &spec, std::size_t node)
{
    const bool isShort = kind.kind == JobKind::ShortRequest;
    const auto url = "http://" + m_settings[node].clientListen.toString() + (isShort ? "/v1/requests" : "/v1/jobs");
    ++m_outstanding;
    m_http.call("POST", toQt(url), jsonBytes(spec.toJson()), AnswerTimeout, [this, &kind, spec, sentAt = nowMs()](const HttpResult &answer) {
        --m_outstanding;
        handleAnswer(kind, spec, sentAt, answer);
    });
}

void DemoRun::handleAnswer(const DemoKind &kind, const JobSpec &spec, std::int64_t sentAt, const HttpResult &answer)
{
    const auto body = answer.hasResponse ? parseJsonObject(answer.body).value_or(QJsonObject()) : QJsonObject();
    const auto outcome = body.value(QLatin1String("answer")).toString().toStdString();
    ObservedCall call;
    call.id = spec.id;
    call.repeatable = spec.repeatable;
    call.sentAt = sentAt;
    call.answeredAt = nowMs();
    call.answer = valueOf<ObservedAnswer>(outcome).value_or(ObservedAnswer::Unknown);
    call.answerId = body.value(QLatin1String("id")).toString().toStdString();
    if (kind.kind == JobKind::ShortRequest) {
        call.expected = "result of " + spec.id;
        call.result = body.value(QLatin1String("result")).toString().toStdString();
        m_history.calls.push_back(call);
    }
    ++m_tallies[kind.name].answers[answer.hasResponse ? outcome : "unknown"];
}

void DemoRun::sendPatch(const QJsonObject &patch)
{
    const auto &node = *m_nodes.begin();
    const auto base = node.second->shared().replicatedState.configuration().number();
    const QJsonObject body {{QLatin1String("id"), toQt("demo-" + std::to_string(++m_patches))},
                            {QLatin1String("base"), static_cast<qint64>(base)},
                            {QLatin1String("author"), QLatin1String("demo")},
                            {QLatin1String("patch"), patch}};
    const auto url = "http://" + m_settings[node.first].clientListen.toString() + "/v1/config/patches";
    m_http.call("POST", toQt(url), jsonBytes(body), AnswerTimeout, [](const HttpResult &) {});
}

void DemoRun::recordVersions()
{
    for (const auto &[i, node] : m_nodes) {
        const auto version = node->shared().replicatedState.configuration().current();
        m_history.versions.push_back({m_settings[i].name, nowMs(), version.number, std::to_string(version.hash)});
    }
}

void DemoRun::killLeader()
{
    const int i = leaderOf(zones()[m_options.seed % zones().size()]);
    if (i >= 0) {
        std::cout << "  killing " << m_settings[static_cast<std::size_t>(i)].name << ", the leader of its zone" << std::endl;
        m_nodes.erase(static_cast<std::size_t>(i));
    }
}

// Sends a configuration patch after a quarter of the run, kills a zone leader after half of it, and reverts the patch after three quarters.
void DemoRun::advanceScenario(std::int64_t elapsedMs)
{
    const auto total = m_options.seconds * 1000LL;
    if (m_scenarioStep == 0 && elapsedMs > total / 4) {
        m_documentBefore = m_nodes.begin()->second->shared().replicatedState.configuration().current().document;
        std::cout << "  patching the configuration: packing \"spread\" instead of \"tight\", a larger guaranteed share for urgent work" << std::endl;
        sendPatch(policyPatch());
        ++m_scenarioStep;
    } else if (m_scenarioStep == 1 && elapsedMs > total / 2) {
        killLeader();
        ++m_scenarioStep;
    } else if (m_scenarioStep == 2 && elapsedMs > total * 3 / 4) {
        std::cout << "  reverting the patch" << std::endl;
        sendPatch(makeMergePatch(m_nodes.begin()->second->shared().replicatedState.configuration().current().document, m_documentBefore));
        ++m_scenarioStep;
    }
}

bool DemoRun::areJobsFinished() const
{
    bool finished = true;
    m_nodes.begin()->second->shared().replicatedState.jobs().forEach([&](const JobEntry &it) {
        finished = finished && (it.isFinished() || it.spec.kind == JobKind::Service);
    });
    return finished;
}

bool DemoRun::run()
{
    std::cout << "starting " << zones().size() << " zones with " << EntriesPerZone << " entry nodes and " << WorkersPerZone << " workers each" << std::endl;
    if (!setUp()) {
        printError(lastReason());
        return false;
    }
    sendPatch(teamsPatch());
    const bool teamsKnown = waitFor(
        [this]() {
            return std::all_of(m_nodes.begin(), m_nodes.end(), [](const auto &it) {
                return it.second->shared().replicatedState.configuration().number() == 1;
            });
        },
        SetUpTimeoutSeconds);
    if (!teamsKnown) {
        printError("not every entry node applied configuration version 1 within 20 s");
        return false;
    }
    QElapsedTimer timer;
    timer.start();
    std::int64_t nextRecordingAt = 0;
    std::cout << "running the sample workloads for " << m_options.seconds << " s" << std::endl;
    while (timer.elapsed() < m_options.seconds * 1000LL) {
        const auto elapsed = timer.elapsed();
        for (std::size_t i = 0; i < demoKinds().size(); ++i) {
            const auto &kind = demoKinds()[i];
            if (elapsed < m_nextAt[i]) {
                continue;
            }
            submit(kind);
            std::exponential_distribution<double> pause(1.0 / std::max(1, kind.meanIntervalMs));
            m_nextAt[i] = kind.meanIntervalMs == 0 ? std::numeric_limits<std::int64_t>::max() : elapsed + 1 + static_cast<std::int64_t>(pause(m_random));
        }
        advanceScenario(elapsed);
        if (elapsed >= nextRecordingAt) {
            nextRecordingAt = elapsed + 100;
            recordVersions();
        }
        QCoreApplication::processEvents(QEventLoop::AllEvents, EventPollMs);
        QThread::msleep(1);
    }
    const bool settled = waitFor(
        [this]() {
            return m_outstanding == 0 && areJobsFinished();
        },
        SettleTimeoutSeconds);
    recordVersions();
    auto violations = check();
    if (!settled) {
        violations.push_back({Invariant::WholeOwnAnswer, "some requests were not answered or some jobs did not finish within 30 s of the end of the load"});
    }
    print(violations);
    return violations.empty();
}

std::vector<Violation> DemoRun::check()
{
    std::map<std::pair<std::string, std::int64_t>, std::size_t> open;
    for (const auto &it : m_platform->history()) {
        const auto key = std::make_pair(it.attempt.task, it.attempt.number);
        if (it.kind == WorkerEvent::Kind::Started) {
            open[key] = m_history.runs.size();
            m_history.runs.push_back({it.attempt.task, it.worker, it.reservation, it.at, -1});
        } else {
            m_history.runs[open.at(key)].endedAt = it.at;
        }
    }
    auto out = checkHistory(m_history, CheckerBounds());
    const auto last = m_nodes.begin()->second->shared().replicatedState.configuration().current();
    if (last.number != 3 || last.document != m_documentBefore) {
        out.push_back({Invariant::VersionsAgree, "after the patch and its reversal, expected configuration version 3 with the document from before the patch"});
    }
    for (const auto &[name, tally] : m_tallies) {
        const auto withoutOutcome = tally.answers.find("");
        if (withoutOutcome != tally.answers.end()) {
            out.push_back({Invariant::WholeOwnAnswer, name + ": a response without an \"answer\" field"});
        }
    }
    return out;
}

std::vector<double> DemoRun::waitTimes(const std::string &kind) const
{
    std::map<std::string, std::int64_t> first;
    for (const auto &run : m_history.runs) {
        const auto id = run.task.substr(0, run.task.find('/'));
        const auto [it, isNew] = first.try_emplace(id, run.startedAt);
        it->second = std::min(it->second, run.startedAt);
    }
    std::vector<double> out;
    for (const auto &[id, at] : first) {
        const auto it = m_kindOf.find(id);
        if (it != m_kindOf.end() && it->second == kind) {
            out.push_back(static_cast<double>(at - m_sentAt.at(id)));
        }
    }
    return out;
}

void DemoRun::print(const std::vector<Violation> &violations)
{
    std::cout << "\nkind                sent  answered  refused  unknown  wait median ms  wait 99th ms\n";
    for (const auto &kind : demoKinds()) {
        const auto &tally = m_tallies[kind.name];
        const auto count = [&](const char *outcome) {
            const auto it = tally.answers.find(outcome);
            return it == tally.answers.end() ? 0 : it->second;
        };
        const auto times = waitTimes(kind.name);
        std::cout << std::left << std::setw(18) << kind.name << std::right << std::setw(6) << tally.sent << std::setw(10)
                  << count("done") + count("accepted") + count("failed") << std::setw(9) << count("not-run") << std::setw(9) << count("unknown")
                  << std::setw(16) << percentile(times, 0.5) << std::setw(14) << percentile(times, 0.99) << "\n";
    }
    std::cout << "configuration versions seen: 0 to " << m_nodes.begin()->second->shared().replicatedState.configuration().number()
              << ", runs checked: " << m_history.runs.size() << ", appends to the log: " << m_platform->appends() << std::endl;
    for (const auto &it : violations) {
        std::cout << "violated: " << nameOf(it.invariant) << ": " << it.detail << "\n";
    }
    std::cout << (violations.empty() ? "all checked invariants held" : "at least one invariant was violated") << std::endl;
}

} // namespace marjoramhaven
