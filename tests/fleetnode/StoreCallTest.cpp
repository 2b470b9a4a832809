#include "FleetNodeFixture.h"
#include "marjoramhaven/wire/FrameCodec.h"

using namespace marjoramhaven;
using namespace marjoramhaven::test;

namespace {

// Long enough for a direct append after the planner was asked, and short enough for several attempts in one test.
constexpr Millis AttemptBudget {1500};
constexpr int AnswerWithinMs = 3000;
constexpr Millis SettleTime {400};
constexpr char Job[] = "job";

void pause(Millis time)
{
    waitFor(
        []() {
            return false;
        },
        static_cast<int>(time.count()));
}

// A process whose planner does not answer appends the record itself after half of the budget.
void waitPastDirectAppend()
{
    pause(AttemptBudget / 2 + Millis(150));
}

// A planner in another process that is linked to the process under test. It leads by the log, and answers requests to store records only when told to.
class LinkedPlanner
{
public:
    explicit LinkedPlanner(MemoryLog &log)
        : m_record(log)
    {
        QObject::connect(&m_heartbeats, &QTimer::timeout, &m_socket, [this]() {
            m_socket.write(encodeFrame(FleetHeartbeatMessage {}));
        });
        QObject::connect(&m_socket, &QTcpSocket::readyRead, &m_socket, [this]() {
            receive();
        });
    }

    void link(const Node &process)
    {
        m_socket.connectToHost(QHostAddress(QHostAddress::LocalHost), static_cast<quint16>(process.settings.peers.port));
        BOOST_REQUIRE(m_socket.waitForConnected(1000));
        m_socket.write(encodeFrame(HelloMessage {WireVersion, m_record.record().node, "z"}));
        m_heartbeats.start(100);
    }
    void unlink()
    {
        m_heartbeats.stop();
        m_socket.abort();
    }
    void answer(std::size_t request, SubmitOutcome outcome)
    {
        m_socket.write(encodeFrame(FleetStoreResponseMessage {requests.at(request).call, std::string(nameOf(outcome)), {}}));
    }

    std::vector<FleetStoreRequestMessage> requests;

private:
    void receive()
    {
        const auto messages = m_reader.feed(m_socket.readAll());
        BOOST_REQUIRE(messages.has_value());
        for (const auto &it : *messages) {
            if (const auto *request = std::get_if<FleetStoreRequestMessage>(&it)) {
                requests.push_back(*request);
            }
        }
    }

    UnreachablePlanner m_record;
    QTcpSocket m_socket;
    QTimer m_heartbeats;
    FrameReader m_reader;
};

// A submission of the job, whose outcome is empty until the process has answered.
struct Attempt {
    std::optional<SubmitResult> result;

    explicit Attempt(Node &process, Millis budget = AttemptBudget)
    {
        process.node->submit(process.job(Job), budget, [this](const SubmitResult &answer) {
            result = answer;
        });
    }
    Attempt(const Attempt &) = delete;
    Attempt &operator=(const Attempt &) = delete;

    SubmitOutcome waitForOutcome() const
    {
        BOOST_REQUIRE(waitFor(
            [this]() {
                return result.has_value();
            },
            AnswerWithinMs));
        return result->outcome;
    }
};

// A process without a link to the planner, so that it appends all records itself.
struct UnlinkedFixture {
    MemoryLog log;
    UnreachablePlanner planner {log};
    Node process {log};

    UnlinkedFixture()
    {
        log.put(StateTopic::Operator, ConfigurationKey, "1");
        pause(SettleTime);
        BOOST_REQUIRE(process.node->isReady());
    }
};

// A process that passes its records to the planner.
struct LinkedFixture {
    MemoryLog log;
    LinkedPlanner planner {log};
    Node process {log};

    LinkedFixture()
    {
        log.put(StateTopic::Operator, ConfigurationKey, "1");
        planner.link(process);
        pause(SettleTime);
    }

    // Waits until the planner was asked to store a number of records.
    void waitForRequests(std::size_t count)
    {
        BOOST_REQUIRE(waitFor(
            [this, count]() {
                return planner.requests.size() >= count;
            },
            AnswerWithinMs));
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(StoreCalls)

// Guards against a refusal of a second attempt, which promises that the job never runs, while the first may be stored.
BOOST_FIXTURE_TEST_CASE(secondAttemptIsNotRefusedWhenTheFirstMayBeStored, UnlinkedFixture)
{
    log.isUnresponsive = true;
    const Attempt first(process);
    BOOST_TEST((first.waitForOutcome() == SubmitOutcome::Unknown));
    log.isUnresponsive = false;
    log.isRefusing = true;
    const Attempt second(process);
    BOOST_TEST((second.waitForOutcome() == SubmitOutcome::Unknown));
    log.isRefusing = false;
    const Attempt third(process);
    BOOST_TEST((third.waitForOutcome() == SubmitOutcome::Accepted));
}

// Guards against attempts that are all answered as unknown, though none of them can be stored.
BOOST_FIXTURE_TEST_CASE(secondAttemptIsRefusedWhenTheFirstWasRefused, UnlinkedFixture)
{
    log.isRefusing = true;
    const Attempt first(process);
    BOOST_TEST((first.waitForOutcome() == SubmitOutcome::Refused));
    const Attempt second(process);
    BOOST_TEST((second.waitForOutcome() == SubmitOutcome::Refused));
}

// Guards against a refusal of a second attempt while the first is still under way and is stored a moment later.
BOOST_FIXTURE_TEST_CASE(attemptIsNotRefusedWhileAnEarlierOneIsUnderWay, UnlinkedFixture)
{
    log.isRefusing = true;
    const Attempt first(process, AttemptBudget * 2);
    const Attempt second(process, AttemptBudget / 2);
    BOOST_TEST((second.waitForOutcome() == SubmitOutcome::Unknown));
    log.isRefusing = false;
    BOOST_TEST((first.waitForOutcome() == SubmitOutcome::Accepted));
}

// Guards against a refusal of a late copy of a request whose job was accepted and runs.
BOOST_FIXTURE_TEST_CASE(laterAttemptIsAcceptedWhenTheJobIsStored, UnlinkedFixture)
{
    const Attempt first(process);
    BOOST_TEST((first.waitForOutcome() == SubmitOutcome::Accepted));
    log.isRefusing = true;
    const Attempt second(process);
    BOOST_TEST((second.waitForOutcome() == SubmitOutcome::Accepted));
}

// Guards against a refusal by the planner's process of a record that another process asks it to store again, when the first append may be stored.
BOOST_FIXTURE_TEST_CASE(secondRequestOfAPeerIsNotRefusedWhenTheFirstMayBeStored, UnlinkedFixture)
{
    QTcpSocket peer;
    linkAsPeer(peer, process);
    FrameReader reader;
    std::vector<std::string> verdicts;
    QObject::connect(&peer, &QTcpSocket::readyRead, &peer, [&]() {
        const auto messages = reader.feed(peer.readAll());
        BOOST_REQUIRE(messages.has_value());
        for (const auto &it : *messages) {
            if (const auto *answer = std::get_if<FleetStoreResponseMessage>(&it)) {
                verdicts.push_back(answer->verdict);
            }
        }
    });
    const auto ask = [&](std::uint64_t call) {
        peer.write(encodeFrame(FleetStoreRequestMessage {call, acceptanceKey(Job), encodeJobRequest(process.job(Job)), AttemptBudget.count()}));
        BOOST_REQUIRE(waitFor(
            [&]() {
                return verdicts.size() == call;
            },
            AnswerWithinMs));
    };
    log.isUnresponsive = true;
    ask(1);
    BOOST_TEST(verdicts[0] == nameOf(SubmitOutcome::Unknown));
    log.isUnresponsive = false;
    log.isRefusing = true;
    ask(2);
    BOOST_TEST(verdicts[1] == nameOf(SubmitOutcome::Unknown));
}

// Guards against a refusal by the planner that hides what an earlier attempt, which the planner could not settle, left unknown.
BOOST_FIXTURE_TEST_CASE(plannersRefusalDoesNotSettleAnEarlierAttempt, LinkedFixture)
{
    log.isRefusing = true;
    const Attempt first(process);
    waitForRequests(1);
    planner.answer(0, SubmitOutcome::Unknown);
    BOOST_TEST((first.waitForOutcome() == SubmitOutcome::Unknown));
    const Attempt second(process);
    waitForRequests(2);
    planner.answer(1, SubmitOutcome::Refused);
    BOOST_TEST((second.waitForOutcome() == SubmitOutcome::Unknown));
}

// Guards against a refusal of a second attempt when the planner that was asked first was lost without an answer.
BOOST_FIXTURE_TEST_CASE(attemptsAreNotRefusedAfterTheLinkToThePlannerWasLost, LinkedFixture)
{
    log.isRefusing = true;
    const Attempt first(process);
    waitForRequests(1);
    planner.unlink();
    BOOST_TEST((first.waitForOutcome() == SubmitOutcome::Unknown));
    const Attempt second(process);
    BOOST_TEST((second.waitForOutcome() == SubmitOutcome::Unknown));
}

// Guards against a refusal while the planner may still store the record: the direct append was refused, and the planner answers nothing.
BOOST_FIXTURE_TEST_CASE(refusedDirectAppendDoesNotSettleARequestToThePlanner, LinkedFixture)
{
    log.isRefusing = true;
    const Attempt first(process);
    BOOST_TEST((first.waitForOutcome() == SubmitOutcome::Unknown));
    BOOST_TEST(planner.requests.size() == 1U);
}

// Guards against a refusal when the planner refuses the record after the direct append was left without an answer.
BOOST_FIXTURE_TEST_CASE(plannersRefusalDoesNotSettleADirectAppend, LinkedFixture)
{
    log.isUnresponsive = true;
    const Attempt first(process);
    waitForRequests(1);
    waitPastDirectAppend();
    planner.answer(0, SubmitOutcome::Refused);
    BOOST_TEST((first.waitForOutcome() == SubmitOutcome::Unknown));
}

// Guards against answers that stay unknown though the planner and the direct append have both refused the record.
BOOST_FIXTURE_TEST_CASE(attemptIsRefusedWhenBothPartsRefuseIt, LinkedFixture)
{
    log.isRefusing = true;
    const Attempt first(process);
    waitForRequests(1);
    planner.answer(0, SubmitOutcome::Refused);
    BOOST_TEST((first.waitForOutcome() == SubmitOutcome::Refused));
    const Attempt second(process);
    waitForRequests(2);
    planner.answer(1, SubmitOutcome::Refused);
    BOOST_TEST((second.waitForOutcome() == SubmitOutcome::Refused));
}

BOOST_AUTO_TEST_SUITE_END()
