#pragma once

#include <string>
#include <vector>

namespace marjoramhaven {

/// A position in an input: a file or document name, a 1-based line and column (0 when unknown), and a JSON pointer (RFC 6901).
struct SourceLocation {
    std::string source;
    int line = 0;
    int column = 0;
    std::string pointer;

    /// Formats the location as "file:line:column: /pointer", leaving out the parts that are unknown.
    std::string toString() const;
};

/// One error in an input and its location.
struct Finding {
    SourceLocation location;
    /// What is wrong, phrased so that it can follow the location, such as "must be a string".
    std::string message;
};

/// Collects all errors in an input, so that they can be reported together instead of one per attempt.
class Findings
{
public:
    /// Adds a finding with its location.
    void add(SourceLocation location, std::string message);
    /// Adds a finding whose file, line and column are unknown; only its JSON pointer is given.
    void add(std::string pointer, std::string message);
    /// Returns true when there are no findings.
    bool isEmpty() const { return m_items.empty(); }
    /// Returns the findings in the order in which they were added.
    const std::vector<Finding> &items() const { return m_items; }
    /// Appends all findings of another collection.
    void append(const Findings &other);
    /// Formats the findings, one line for each.
    std::string toString() const;

private:
    std::vector<Finding> m_items;
};

} // namespace marjoramhaven
