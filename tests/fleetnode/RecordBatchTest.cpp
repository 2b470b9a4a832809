#include <boost/test/unit_test.hpp>

#include "marjoramhaven/fleetnode/RecordBatch.h"

using namespace marjoramhaven;

BOOST_AUTO_TEST_SUITE(RecordBatches)

// Guards against progress of very many jobs, as after an outage of the log, that is too large for one append and therefore is never stored.
BOOST_AUTO_TEST_CASE(largeBatchIsSplitInOrderWithoutLoss)
{
    constexpr std::size_t MaxBytes = 1000;
    std::vector<KeyedRecord> records;
    for (int i = 0; i < 500; ++i) {
        const auto size = static_cast<std::size_t>(i % 7 == 0 ? 1500 : i % 90);
        records.push_back({std::to_string(i), i % 5 == 0 ? std::nullopt : std::optional(std::string(size, 'x')), 0});
    }
    RecordBatch batch(records);
    int next = 0;
    while (!batch.isEmpty()) {
        const auto part = batch.takeNext(MaxBytes);
        BOOST_REQUIRE(!part.empty());
        std::size_t bytes = 0;
        for (const auto &it : part) {
            BOOST_TEST(it.key == std::to_string(next++));
            bytes += it.key.size() + it.value.value_or("").size();
        }
        BOOST_TEST((bytes <= MaxBytes || part.size() == 1U));
    }
    BOOST_TEST(next == 500);
    BOOST_TEST(RecordBatch().isEmpty());
}

BOOST_AUTO_TEST_CASE(recordsThatArePutBackComeAgainInOrder)
{
    RecordBatch batch({{"a", "1", 0}, {"b", "2", 0}, {"c", std::nullopt, 0}, {"d", "4", 0}});
    batch.takeNext(2);
    batch.putBack(batch.takeNext(1000));
    batch.removeIf([](const std::string &key) {
        return key == "c";
    });
    const auto rest = batch.takeNext(1000);
    BOOST_REQUIRE(rest.size() == 2U);
    BOOST_TEST((rest[0].key == "b" && rest[0].value == "2"));
    BOOST_TEST((rest[1].key == "d" && rest[1].value == "4"));
    BOOST_TEST(batch.isEmpty());
}

BOOST_AUTO_TEST_SUITE_END()
