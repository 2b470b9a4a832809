#include "marjoramhaven/fleet/FleetJob.h"

#include <charconv>

#include "marjoramhaven/base/LastReason.h"

namespace marjoramhaven {

const QueuePolicy *FleetConfiguration::route(const std::string &host, const std::string &path) const
{
    const QueuePolicy *best = nullptr;
    for (const auto &it : queues) {
        const bool matches = it.host == host && path.starts_with(it.prefix);
        if (matches && (best == nullptr || it.prefix.size() > best->prefix.size())) {
            best = &it;
        }
    }
    return best;
}

const QueuePolicy *FleetConfiguration::find(const std::string &host, const std::string &prefix) const
{
    for (const auto &it : queues) {
        if (it.host == host && it.prefix == prefix) {
            return &it;
        }
    }
    return nullptr;
}

std::string FleetTaskId::toString() const
{
    return job + "." + std::to_string(occurrence) + "." + std::to_string(step) + "." + std::to_string(index);
}

std::optional<FleetTaskId> FleetTaskId::parse(const std::string &text)
{
    FleetTaskId out;
    const auto first = text.find('.');
    if (first == std::string::npos || first == 0) {
        setLastReason("not a task: " + text);
        return std::nullopt;
    }
    out.job = text.substr(0, first);
    const char *at = text.data() + first + 1;
    const char *end = text.data() + text.size();
    int *const parts[] = {&out.occurrence, &out.step, &out.index};
    for (std::size_t i = 0; i < std::size(parts); ++i) {
        const auto [rest, ec] = std::from_chars(at, end, *parts[i]);
        const bool isLast = i + 1 == std::size(parts);
        if (ec != std::errc() || (isLast ? rest != end : rest == end || *rest != '.')) {
            setLastReason("not a task: " + text);
            return std::nullopt;
        }
        at = rest + 1;
    }
    return out;
}

} // namespace marjoramhaven
