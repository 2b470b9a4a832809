#include <boost/test/unit_test.hpp>

#include <QFile>
#include <QProcess>
#include <QTemporaryDir>

#include "marjoramhaven/base/Json.h"

using namespace marjoramhaven;

namespace {

struct ProgramResult {
    int code = -1;
    std::string out;
    std::string err;
};

ProgramResult run(const QStringList &arguments)
{
    QProcess process;
    process.start(QLatin1String(MARJORAMHAVEN_BINARY), arguments);
    process.waitForFinished(20'000);
    return {process.exitCode(), process.readAllStandardOutput().toStdString(), process.readAllStandardError().toStdString()};
}

class TemporaryFile
{
public:
    explicit TemporaryFile(const QByteArray &content)
    {
        QFile file(path());
        file.open(QIODevice::WriteOnly);
        file.write(content);
    }
    QString path() const { return m_dir.filePath(QLatin1String("f.yaml")); }

private:
    QTemporaryDir m_dir;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Commands)

BOOST_AUTO_TEST_CASE(printsHelpAndVersion)
{
    BOOST_TEST(run({QLatin1String("--version")}).out.find("marjoramhaven ") == 0U);
    const auto help = run({QLatin1String("--help")});
    BOOST_TEST(help.code == 0);
    BOOST_TEST(help.out.find("submit sweep.yaml") != std::string::npos);
    BOOST_TEST(run({QLatin1String("submit"), QLatin1String("--help")}).code == 0);
    BOOST_TEST(run({}).code == 2);
    BOOST_TEST(run({QLatin1String("dance")}).code == 2);
    BOOST_TEST(run({QLatin1String("get")}).code == 2);
}

BOOST_AUTO_TEST_CASE(checkReportsEveryFindingWithLineAndColumn)
{
    const TemporaryFile bad("teams:\n  a: {share: -1}\nclasses:\n  urgent: {floor: 2, speed: 1}\n");
    const auto ran = run({QLatin1String("check"), QLatin1String("--kind"), QLatin1String("patch"), bad.path()});
    BOOST_TEST(ran.code == 2);
    BOOST_TEST(ran.err.find("f.yaml:2:7: /teams/a/share") != std::string::npos);
    BOOST_TEST(ran.err.find("f.yaml:4:12: /classes/urgent/floor") != std::string::npos);
    BOOST_TEST(ran.err.find("f.yaml:4:22: /classes/urgent/speed: is not a known key") != std::string::npos);
    const TemporaryFile good("teams:\n  a: {share: 1}\n");
    BOOST_TEST(run({QLatin1String("check"), QLatin1String("--kind"), QLatin1String("patch"), good.path()}).code == 0);
}

BOOST_AUTO_TEST_CASE(unreachableProcessesHaveTheirOwnExitCode)
{
    const QString unusedAddress = QLatin1String("127.0.0.1:9");
    BOOST_TEST(run({QLatin1String("status"), QLatin1String("--at"), unusedAddress}).code == 6);
    const TemporaryFile job("id: a\nteam: t\nresources: {cpu_milli: 1}\n");
    BOOST_TEST(run({QLatin1String("submit"), QLatin1String("--at"), unusedAddress, job.path()}).code == 6);
    const TemporaryFile bad("id: a b\nteam: t\n");
    BOOST_TEST(run({QLatin1String("submit"), QLatin1String("--at"), unusedAddress, bad.path()}).code == 2);
}

BOOST_AUTO_TEST_CASE(shippedExamplesAreValid)
{
    const QString folder = QLatin1String(MARJORAMHAVEN_SOURCE_DIR "/examples/");
    for (const char *name : {"check.yaml", "announcement.yaml", "sweep.yaml", "permit-set.yaml", "monitor.yaml"}) {
        BOOST_TEST(run({QLatin1String("check"), QLatin1String("--kind"), QLatin1String("job"), folder + QLatin1String(name)}).code == 0, name);
    }
    for (const char *name : {"chronowave.yaml", "registry.yaml", "next-quarter.yaml"}) {
        BOOST_TEST(run({QLatin1String("check"), QLatin1String("--kind"), QLatin1String("patch"), folder + QLatin1String(name)}).code == 0, name);
    }
    BOOST_TEST(run({QLatin1String("check"), folder + QLatin1String("entry.yaml")}).code == 0);
}

BOOST_AUTO_TEST_CASE(explainReportsTimePerPhase)
{
    const TemporaryFile file("{\"at\":1000,\"node\":\"a\",\"event\":\"submit\",\"id\":\"00000000000000a1\"}\n"
                             "{\"at\":1010,\"node\":\"b\",\"event\":\"job_known\",\"id\":\"00000000000000a1\"}\n"
                             "{\"at\":1050,\"node\":\"b\",\"event\":\"advice\",\"step\":\"00000000000000a1.0.0\"}\n"
                             "{\"at\":1100,\"node\":\"b\",\"event\":\"run_placed\",\"task\":\"00000000000000a1.0.0.0\"}\n"
                             "{\"at\":7000,\"node\":\"b\",\"event\":\"run_lost\",\"task\":\"00000000000000a1.0.0.0\"}\n"
                             "{\"at\":7000,\"node\":\"b\",\"event\":\"run_ended\",\"task\":\"00000000000000a1.0.0.0\",\"end\":\"lapsed\"}\n"
                             "{\"at\":7020,\"node\":\"b\",\"event\":\"run_placed\",\"task\":\"00000000000000a1.0.0.0\"}\n"
                             "{\"at\":8000,\"node\":\"b\",\"event\":\"run_ended\",\"task\":\"00000000000000a1.0.0.0\",\"end\":\"done\"}\n");
    const auto out = run({QLatin1String("explain"), QLatin1String("00000000000000a1"), file.path()}).out;
    BOOST_TEST(out.find("spent 5900 ms runs that failed, were stopped or were lost") != std::string::npos);
    BOOST_TEST(out.find("spent 980 ms running") != std::string::npos);
    BOOST_TEST(out.find("spent 40 ms waiting for advice") != std::string::npos);
    BOOST_TEST(out.find("spent 70 ms waiting for room") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(explainListsEventsInOrderAndReportsMissingOnes)
{
    const TemporaryFile file("noise {not json\n"
                             "{\"at\":2000,\"node\":\"b\",\"event\":\"run_placed\",\"task\":\"00000000000000a1.0.0.0\"}\n"
                             "   1.2 edge {\"at\":1000,\"node\":\"a\",\"event\":\"submit\",\"id\":\"00000000000000a1\"}\n"
                             "{\"at\":1500,\"node\":\"a\",\"event\":\"submit\",\"id\":\"00000000000000b2\"}\n");
    const auto result = run({QLatin1String("explain"), QLatin1String("00000000000000a1"), file.path()});
    BOOST_TEST(result.code == 0);
    const auto submit = result.out.find("a  submit");
    const auto placed = result.out.find("1.000 s  b  run_placed");
    BOOST_TEST(submit != std::string::npos);
    BOOST_TEST(placed != std::string::npos);
    BOOST_TEST(submit < placed);
    BOOST_TEST(result.out.find("b2") == std::string::npos);
    BOOST_TEST(result.out.find("missing: it has not ended") != std::string::npos);
    BOOST_TEST(run({QLatin1String("explain"), QLatin1String("x"), QLatin1String("/nowhere")}).code == 1);
}

BOOST_AUTO_TEST_SUITE_END()
