#include "marjoramhaven/fleetnode/ProgressReader.h"

namespace marjoramhaven {

namespace {

constexpr Millis LongPollWait {1000};
// The pause lets one read return several records.
constexpr Millis ReadGap {100};

} // namespace

ProgressReader::ProgressReader(StateLog &log)
    : m_follower(log, StateTopic::Progress, LongPollWait, ReadGap)
{
    m_follower.onRecords = [this](const std::vector<KeyedRecord> &records) {
        handleRecords(records);
    };
}

ProgressReader::~ProgressReader()
{
    m_follower.stop();
}

void ProgressReader::start()
{
    m_follower.start();
}

std::optional<FleetJobState> ProgressReader::stateOf(const std::string &job) const
{
    const auto it = m_states.find(job);
    return it == m_states.end() ? std::nullopt : std::optional(it->second);
}

void ProgressReader::handleRecords(const std::vector<KeyedRecord> &records)
{
    for (const auto &it : records) {
        if (!it.value) {
            m_states.erase(it.key);
        } else if (const auto record = decodeJobRecord(*it.value); record && record->part == 0) {
            // The record that fences the topic belongs to no job and can't be decoded as one.
            m_states[record->job] = record->state;
        }
    }
    if (!records.empty() && onUpdate) {
        onUpdate();
    }
}

} // namespace marjoramhaven
