#pragma once

namespace marjoramhaven {

/// What the process's exit code tells.
enum class ExitCode : int {
    Ok = 0,
    /// The work ran and failed, or a check of the demo did.
    Failed = 1,
    /// The command line or a document is not valid.
    Invalid = 2,
    /// The system refused, such as a patch against an old version.
    Refused = 3,
    /// The work did not run and never will.
    NotRun = 4,
    /// The outcome is not known.
    Unknown = 5,
    /// No entry process could be reached.
    Unreachable = 6,
};

} // namespace marjoramhaven
