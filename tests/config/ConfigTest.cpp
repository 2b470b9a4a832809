#include <boost/test/unit_test.hpp>

#include "marjoramhaven/base/Json.h"
#include "marjoramhaven/base/LastReason.h"
#include "marjoramhaven/config/ConfigurationHistory.h"
#include "marjoramhaven/config/MergePatch.h"
#include "marjoramhaven/config/Settings.h"

using namespace marjoramhaven;

namespace {

QJsonObject json(const char *text)
{
    return *parseJsonObject(text);
}

ConfigurationPatch patchOf(const std::string &id, std::int64_t base, const char *text)
{
    return {id, base, "tester", json(text)};
}

constexpr const char *ValidSettings = R"(name: e1
zone: north
callers: 127.0.0.1:8081
peer_listen: 127.0.0.1:8181
platform: http://127.0.0.1:8900
peers:
  e2: {zone: north, address: 127.0.0.1:8182}
)";

std::string findingsFor(const QByteArray &text)
{
    Findings findings;
    const auto document = YamlDocument::parse(text, "s.yaml", findings);
    if (document) {
        Settings::read(*document, findings);
    }
    return findings.toString();
}

} // namespace

BOOST_AUTO_TEST_SUITE(SettingsFile)

BOOST_AUTO_TEST_CASE(validSettingsAreRead)
{
    Findings findings;
    const auto document = YamlDocument::parse(ValidSettings, "s.yaml", findings);
    const auto settings = Settings::read(*document, findings);
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings->peers.at(0).address.toString() == "127.0.0.1:8182");
}

BOOST_AUTO_TEST_CASE(everyFindingHasItsSourceLocation)
{
    const auto text = findingsFor("name: e1\nzone: [a]\ncallers: here:1\npeer_listen: 127.0.0.1:99999\nplatform: ftp://x\nspeed: 1\n");
    BOOST_TEST(text.find("s.yaml:2:1: /zone: must be a string") != std::string::npos);
    BOOST_TEST(text.find("s.yaml:3:1: /callers: must begin with an IP address") != std::string::npos);
    BOOST_TEST(text.find("s.yaml:4:1: /peer_listen: must end in a port") != std::string::npos);
    BOOST_TEST(text.find("s.yaml:5:1: /platform: must be http://IP:port") != std::string::npos);
    BOOST_TEST(text.find("s.yaml:6:1: /speed: is not a known key") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(malformedAndHostileDocumentsAreRejected)
{
    BOOST_TEST(findingsFor("") != "");
    BOOST_TEST(findingsFor(QByteArray("\0\1\2", 3)).find("binary") != std::string::npos);
    BOOST_TEST(findingsFor(QByteArray(10 << 20, 'x')).find("larger than") != std::string::npos);
    BOOST_TEST(findingsFor("a: &x [1]\nb: [*x, *x]\n").find("aliases are not allowed") != std::string::npos);
    BOOST_TEST(findingsFor("name: a\nname: b\n").find("s.yaml:2:1: /name: is a duplicate key") != std::string::npos);
    BOOST_TEST(findingsFor(QByteArray("a: ") + QByteArray(100, '[')).find("nested too deeply") != std::string::npos);
    BOOST_TEST(findingsFor("a: {b: [}\n") != "");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ConfigurationVersions)

BOOST_AUTO_TEST_CASE(mergePatchFollowsRfc7386)
{
    BOOST_TEST((applyMergePatch(json(R"({"a":"b"})"), json(R"({"a":null})")) == QJsonObject()));
    BOOST_TEST((applyMergePatch(json(R"({"a":[1]})"), json(R"({"a":{"b":2}})")) == json(R"({"a":{"b":2}})")));
    BOOST_TEST((applyMergePatch(json(R"({})"), json(R"({"a":{"bb":{"ccc":null}}})")) == json(R"({"a":{"bb":{}}})")));
    const auto from = json(R"({"a":1,"b":{"c":2,"d":3}})");
    const auto to = json(R"({"b":{"c":4},"e":{"f":5}})");
    BOOST_TEST((applyMergePatch(from, makeMergePatch(from, to)) == to));
}

BOOST_AUTO_TEST_CASE(onlyTheFirstOfConflictingPatchesIsAccepted)
{
    ConfigurationHistory history;
    const auto first = history.applyFromLog(patchOf("p1", 0, R"({"teams":{"a":{"share":1}}})"), 0);
    const auto second = history.applyFromLog(patchOf("p2", 0, R"({"teams":{"b":{"share":1}}})"), 1);
    BOOST_TEST((first.state == PatchState::Accepted));
    BOOST_TEST((second.state == PatchState::Refused));
    BOOST_TEST(second.version == 1);
    // A retried append puts both records into the log a second time; the verdicts must not change.
    BOOST_TEST((history.applyFromLog(patchOf("p1", 0, R"({"teams":{"a":{"share":1}}})"), 2).state == PatchState::Accepted));
    BOOST_TEST((history.applyFromLog(patchOf("p2", 0, R"({"teams":{"b":{"share":1}}})"), 3).state == PatchState::Refused));
    BOOST_TEST(history.number() == 1);
}

BOOST_AUTO_TEST_CASE(invalidPatchesAreRefusedWithAllFindings)
{
    ConfigurationHistory history;
    const auto verdict = history.applyFromLog(patchOf("p", 0, R"({"teams":{"a":{"share":-1,"cap":7}},"packing":"loose"})"), 0);
    BOOST_TEST((verdict.state == PatchState::Refused));
    BOOST_TEST(verdict.findings.items().size() == 3U);
    BOOST_TEST((history.applyFromLog(patchOf("q", 9, "{}"), 1).state == PatchState::Refused));
    BOOST_TEST(history.number() == 0);
}

BOOST_AUTO_TEST_CASE(versionsReceivedFromAPeerNeverContradictTheLog)
{
    ConfigurationHistory upToDate;
    upToDate.applyFromLog(patchOf("p1", 0, R"({"packing":"spread"})"), 5);
    ConfigurationHistory lagging;
    for (const auto &it : upToDate.since(0, 10)) {
        BOOST_TEST(lagging.appendVersion(it));
    }
    BOOST_TEST(lagging.current().hash == upToDate.current().hash);
    // The process that read the log in time refused the record at offset 3. A process that reads the record only after it received a later version
    // from a peer must refuse it too.
    BOOST_TEST((lagging.applyFromLog(patchOf("early", 1, R"({"packing":"tight"})"), 3).state == PatchState::Refused));
    BOOST_TEST((lagging.applyFromLog(patchOf("p1", 0, R"({"packing":"spread"})"), 5).state == PatchState::Accepted));
    BOOST_TEST(lagging.number() == 1);
    auto forged = upToDate.current();
    forged.number = 2;
    BOOST_TEST(!lagging.appendVersion(forged));
    BOOST_TEST(!lagging.restore(*upToDate.version(0)));
}

BOOST_AUTO_TEST_SUITE_END()
