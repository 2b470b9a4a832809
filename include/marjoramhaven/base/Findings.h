#pragma once

#include <string>
#include <vector>

namespace marjoramhaven {

/// Where a finding stands: a file or document name, a 1-based line and column (0 when unknown), and a JSON pointer.
struct Place {
    std::string source;
    int line = 0;
    int column = 0;
    std::string pointer;

    /// Renders "file:line:column: /pointer", leaving out what is unknown.
    std::string toString() const;
};

/// One thing that is wrong with an input, and where.
struct Finding {
    Place place;
    std::string message;
};

/// Collects every finding about an input, so that all of them are reported together.
class Findings
{
public:
    /// Adds a finding at a place.
    void add(Place place, std::string message);
    /// Adds a finding known only by its JSON pointer.
    void add(std::string pointer, std::string message);
    /// True when nothing is wrong.
    bool isEmpty() const { return m_items.empty(); }
    /// The findings in the order in which they were found.
    const std::vector<Finding> &items() const { return m_items; }
    /// Appends the findings of another collection.
    void append(const Findings &other);
    /// One line for each finding.
    std::string toString() const;

private:
    std::vector<Finding> m_items;
};

} // namespace marjoramhaven
