#pragma once

#include <optional>
#include <string>
#include <vector>

#include "marjoramhaven/base/Time.h"
#include "marjoramhaven/config/YamlDocument.h"

namespace marjoramhaven {

/// An IP address and a port.
struct Address {
    std::string host;
    int port = 0;

    /// Renders "host:port".
    std::string toString() const;
    /// Reads "IPv4:port"; nothing, with a last reason, when it is not that.
    static std::optional<Address> parse(const std::string &text);
};

/// Another entry process as named in the settings.
struct PeerSettings {
    std::string name;
    std::string zone;
    Address address;
};

/// What one entry process is told at its start: who and where it is, and whom it can reach.
struct Settings {
    std::string name;
    std::string zone;
    Address callers;
    Address peerListen;
    std::string platformUrl;
    std::string traceCollectorUrl;
    std::string logLevel = "info";
    std::vector<PeerSettings> peers;
    Millis lease {6000};
    Millis renewEvery {2000};
    Millis stopWithin {20000};
    /// Live state is written to the log again this often; less than half of the log's retention.
    Millis refreshEvery {600000};

    /// Reads settings; gives nothing when the findings are not empty.
    static std::optional<Settings> read(const YamlDocument &document, Findings &findings);
};

} // namespace marjoramhaven
