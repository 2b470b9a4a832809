#include "marjoramhaven/base/Findings.h"

namespace marjoramhaven {

std::string SourceLocation::toString() const
{
    std::string out = source;
    if (line > 0) {
        out += ":" + std::to_string(line) + ":" + std::to_string(column);
    }
    if (!pointer.empty()) {
        out += (out.empty() ? "" : ": ") + pointer;
    }
    return out;
}

void Findings::add(SourceLocation location, std::string message)
{
    m_items.push_back({std::move(location), std::move(message)});
}

void Findings::add(std::string pointer, std::string message)
{
    add(SourceLocation {.source = {}, .line = 0, .column = 0, .pointer = std::move(pointer)}, std::move(message));
}

void Findings::append(const Findings &other)
{
    m_items.insert(m_items.end(), other.m_items.begin(), other.m_items.end());
}

std::string Findings::toString() const
{
    std::string out;
    for (const auto &it : m_items) {
        const auto location = it.location.toString();
        out += (out.empty() ? "" : "\n") + (location.empty() ? it.message : location + ": " + it.message);
    }
    return out;
}

} // namespace marjoramhaven
