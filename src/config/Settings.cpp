#include "marjoramhaven/config/Settings.h"

#include <QHostAddress>
#include <QUrl>
#include <set>

#include "marjoramhaven/base/Json.h"
#include "marjoramhaven/base/LastReason.h"

namespace marjoramhaven {

namespace {

constexpr std::size_t MaxNameBytes = 64;
constexpr std::int64_t MinLeaseMs = 500;
constexpr std::int64_t MaxLeaseMs = 120'000;
constexpr std::int64_t MinRenewMs = 50;
constexpr std::int64_t MaxStopWithinMs = 600'000;
constexpr std::int64_t MinRefreshMs = 1000;
constexpr std::int64_t MaxRefreshMs = 24 * 3'600'000;

Address readAddress(JsonReader &reader, std::string_view key)
{
    const auto text = reader.requiredText(key, MaxNameBytes);
    if (text.empty()) {
        return {};
    }
    const auto address = Address::parse(text);
    if (!address) {
        reader.report(key, lastReason());
        return {};
    }
    return *address;
}

std::string readUrl(JsonReader &reader, std::string_view key, bool required)
{
    constexpr std::size_t MaxUrlBytes = 256;
    auto text = required ? reader.requiredText(key, MaxUrlBytes) : reader.text(key);
    if (text.empty()) {
        return text;
    }
    const QUrl url(toQt(text), QUrl::StrictMode);
    if (!url.isValid() || url.scheme() != QLatin1String("http") || QHostAddress(url.host()).isNull() || url.port() <= 0) {
        reader.report(key, "must be http://IP:port");
    }
    return text;
}

void readPeers(const QJsonObject &peers, const std::string &pointer, Settings &out, Findings &findings)
{
    std::set<std::string> usedAddresses {out.peerListen.toString()};
    for (auto it = peers.begin(); it != peers.end(); ++it) {
        const auto memberPointer = pointer + "/" + it.key().toStdString();
        if (!it->isObject()) {
            findings.add(memberPointer, "must be a mapping");
            continue;
        }
        JsonReader reader(it->toObject(), memberPointer, findings);
        PeerSettings peer;
        peer.name = it.key().toStdString();
        peer.zone = reader.requiredText("zone", MaxNameBytes);
        peer.address = readAddress(reader, "address");
        reader.rejectUnknown();
        if (peer.name == out.name) {
            findings.add(memberPointer, "has the name of this process");
        } else if (peer.address.port != 0 && !usedAddresses.insert(peer.address.toString()).second) {
            reader.report("address", "is the address of another peer or the peer_listen address of this process");
        }
        out.peers.push_back(std::move(peer));
    }
}

} // namespace

std::string Address::toString() const
{
    return host + ":" + std::to_string(port);
}

std::optional<Address> Address::parse(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        setLastReason("must be IP:port");
        return std::nullopt;
    }
    Address out;
    out.host = text.substr(0, colon);
    bool ok = false;
    out.port = toQt(std::string_view(text).substr(colon + 1)).toInt(&ok);
    if (!ok || !isPort(out.port)) {
        setLastReason("must end in a port from 1 to 65535");
        return std::nullopt;
    }
    if (QHostAddress(toQt(out.host)).isNull()) {
        setLastReason("must begin with an IP address");
        return std::nullopt;
    }
    return out;
}

std::optional<Settings> Settings::read(const YamlDocument &document, Findings &findings)
{
    Findings local;
    JsonReader reader(document.root(), "", local);
    Settings out;
    out.name = reader.requiredText("name", MaxNameBytes);
    out.zone = reader.requiredText("zone", MaxNameBytes);
    out.clientListen = readAddress(reader, "callers");
    out.peerListen = readAddress(reader, "peer_listen");
    out.platformUrl = readUrl(reader, "platform", true);
    out.traceCollectorUrl = readUrl(reader, "trace_collector", false);
    out.logLevel = reader.text("log_level", out.logLevel);
    if (out.logLevel != "debug" && out.logLevel != "info" && out.logLevel != "warn" && out.logLevel != "error") {
        reader.report("log_level", "must be debug, info, warn or error");
    }
    out.lease = Millis(reader.integer("lease_ms", out.lease.count(), MinLeaseMs, MaxLeaseMs));
    out.renewInterval = Millis(reader.integer("renew_ms", out.renewInterval.count(), MinRenewMs, MaxLeaseMs));
    out.shutdownTimeout = Millis(reader.integer("stop_within_ms", out.shutdownTimeout.count(), 0, MaxStopWithinMs));
    out.refreshInterval = Millis(reader.integer("refresh_ms", out.refreshInterval.count(), MinRefreshMs, MaxRefreshMs));
    if (out.renewInterval * 3 > out.lease) {
        reader.report("renew_ms", "must be at most a third of lease_ms");
    }
    readPeers(reader.object("peers"), reader.pointerTo("peers"), out, local);
    reader.rejectUnknown();
    document.locate(local, findings);
    if (!local.isEmpty()) {
        return std::nullopt;
    }
    return out;
}

} // namespace marjoramhaven
