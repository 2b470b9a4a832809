#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <QtEndian>

#include "marjoramhaven/base/LastReason.h"
#include "marjoramhaven/wire/FrameCodec.h"
#include "support/Mutator.h"

using namespace marjoramhaven;

namespace {

QByteArray framed(const std::vector<std::uint8_t> &payload)
{
    QByteArray out(4, Qt::Uninitialized);
    qToBigEndian(static_cast<quint32>(payload.size()), out.data());
    out.append(reinterpret_cast<const char *>(payload.data()), static_cast<qsizetype>(payload.size()));
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Wire)

BOOST_AUTO_TEST_CASE(messagesAreDecodedHoweverTheStreamIsSplit)
{
    BOOST_TEST(rc::check([](std::int64_t epoch, bool leading, const std::string &follows, std::uint64_t hash, std::uint8_t splitAt) {
        HeartbeatMessage heartbeat;
        heartbeat.epoch = epoch;
        heartbeat.isLeading = leading;
        heartbeat.followedLeader = follows;
        heartbeat.configurationHash = hash;
        const QByteArray stream = encodeFrame(heartbeat) + encodeFrame(HelloMessage {WireVersion, "e1", "north"});
        const auto split = static_cast<qsizetype>(splitAt) % stream.size();
        FrameReader reader;
        auto first = reader.feed(stream.left(split));
        auto second = reader.feed(stream.mid(split));
        RC_ASSERT(first.has_value() && second.has_value());
        first->insert(first->end(), second->begin(), second->end());
        RC_ASSERT(first->size() == 2U);
        const auto &decoded = std::get<HeartbeatMessage>(first->at(0));
        RC_ASSERT(decoded.epoch == epoch && decoded.isLeading == leading && decoded.followedLeader == follows && decoded.configurationHash == hash);
        RC_ASSERT(std::get<HelloMessage>(first->at(1)).name == "e1");
    }));
}

BOOST_AUTO_TEST_CASE(arbitraryBytesDoNotCrashTheReader)
{
    BOOST_TEST(rc::check([](const std::vector<std::uint8_t> &payload, const std::vector<std::uint8_t> &raw) {
        FrameReader reader;
        reader.feed(framed(payload));
        FrameReader other;
        other.feed(QByteArray(reinterpret_cast<const char *>(raw.data()), static_cast<qsizetype>(raw.size())));
    }));
}

// Arrays within arrays, and an array that declares far more elements than the frame has bytes.
BOOST_AUTO_TEST_CASE(nestedAndOversizedFramesAreRefused)
{
    for (const std::size_t depth : {40U, 100'000U, 2'000'000U}) {
        std::vector<std::uint8_t> payload {0x92, 0x01};
        payload.insert(payload.end(), depth, 0x91);
        payload.push_back(0x01);
        FrameReader reader;
        BOOST_TEST(!reader.feed(framed(payload)));
    }
    FrameReader reader;
    BOOST_TEST(!reader.feed(framed({0x92, 0x01, 0xdd, 0xff, 0xff, 0xff, 0xff})));
}

BOOST_AUTO_TEST_CASE(mutatedFramesAreDecodedOrRefused)
{
    test::Mutator mutator(4);
    FleetHeartbeatMessage heartbeat;
    heartbeat.planner = "node-1";
    const auto sample = encodeFrame(heartbeat).mid(4).toStdString();
    for (int i = 0; i < test::fuzzCount(); ++i) {
        const auto bytes = mutator.mutate(sample);
        FrameReader reader;
        reader.feed(framed({bytes.begin(), bytes.end()}));
    }
    BOOST_TEST(true);
}

BOOST_AUTO_TEST_CASE(messagesOfOlderAndNewerVersionsAreDecoded)
{
    // [1, [7, true]]: a HeartbeatMessage of an older version with only two fields.
    FrameReader reader;
    const auto older = reader.feed(framed({0x92, 0x01, 0x92, 0x07, 0xc3}));
    BOOST_REQUIRE(older.has_value());
    BOOST_TEST(std::get<HeartbeatMessage>(older->at(0)).epoch == 7);
    BOOST_TEST(std::get<HeartbeatMessage>(older->at(0)).leaderAgeMillis == -1);
    // [0, [1, "a", "z", 99]]: a HelloMessage of a newer version with a fourth field.
    const auto newer = reader.feed(framed({0x92, 0x00, 0x94, 0x01, 0xa1, 'a', 0xa1, 'z', 0x63}));
    BOOST_REQUIRE(newer.has_value());
    BOOST_TEST(std::get<HelloMessage>(newer->at(0)).zone == "z");
    // A frame of a message type that this version does not know is skipped.
    const auto unknown = reader.feed(framed({0x92, 0x63, 0x90}));
    BOOST_REQUIRE(unknown.has_value());
    BOOST_TEST(unknown->empty());
}

BOOST_AUTO_TEST_CASE(oversizedAndMalformedFramesAreRejected)
{
    FrameReader reader;
    BOOST_TEST(!reader.feed(QByteArray("\xff\xff\xff\xff", 4)).has_value());
    BOOST_TEST(lastReason().find("too large") != std::string::npos);
    FrameReader other;
    BOOST_TEST(!other.feed(framed({0x92, 0x01, 0xa1, 'x'})).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
