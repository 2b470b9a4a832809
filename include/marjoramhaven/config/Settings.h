#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "marjoramhaven/base/Time.h"
#include "marjoramhaven/config/YamlDocument.h"

namespace marjoramhaven {

inline constexpr int MaxPort = 65535;

/// Returns true for the number of a port that can be connected to.
constexpr bool isPort(std::int64_t number)
{
    return number >= 1 && number <= MaxPort;
}

/// An IPv4 address and a port.
struct Address {
    std::string host;
    int port = 0;

    /// Formats the address as "host:port".
    std::string toString() const;
    /// Parses "IPv4:port". Returns std::nullopt and sets lastReason() when the text has another form.
    static std::optional<Address> parse(const std::string &text);
};

/// Another entry process, as listed in the settings.
struct PeerSettings {
    std::string name;
    std::string zone;
    Address address;
};

/// The settings of one entry process, read once at its start: its name and zone, its addresses, and the services and peers it connects to.
struct Settings {
    std::string name;
    std::string zone;
    /// Address on which the process listens for clients' HTTP requests.
    Address clientListen;
    /// Address on which the process listens for other entry processes.
    Address peerListen;
    /// Base URL of the platform's services.
    std::string platformUrl;
    /// URL to which traces are exported; empty switches tracing off.
    std::string traceCollectorUrl;
    std::string logLevel = "info";
    std::vector<PeerSettings> peers;
    /// Duration of a task's lease on a worker.
    Millis lease {6000};
    /// Interval between lease renewals; at most a third of the lease.
    Millis renewInterval {2000};
    /// How long a shutdown may take.
    Millis shutdownTimeout {20000};
    /// Interval at which live state is written to the log again. It must be less than half of the log's retention time.
    Millis refreshInterval {600000};

    /// Reads the settings from a document. Returns std::nullopt and appends to `findings` when they are invalid.
    static std::optional<Settings> read(const YamlDocument &document, Findings &findings);
};

} // namespace marjoramhaven
