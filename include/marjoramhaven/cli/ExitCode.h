#pragma once

namespace marjoramhaven {

/// Exit codes of the program.
enum class ExitCode : int {
    Ok = 0,
    /// The work ran and failed, or one of the demo's checks failed.
    Failed = 1,
    /// The command line or a document is not valid.
    Invalid = 2,
    /// The system refused the request, such as a patch against an outdated configuration version.
    Refused = 3,
    /// The work did not run and never will.
    NotRun = 4,
    /// The outcome is not known: the work may or may not have run.
    Unknown = 5,
    /// No entry process could be reached.
    Unreachable = 6,
};

} // namespace marjoramhaven
