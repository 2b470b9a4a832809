#pragma once

#include <QByteArray>
#include <optional>
#include <vector>

#include "marjoramhaven/wire/PeerMessage.h"

namespace marjoramhaven {

/// Maximum size of a frame without its length field, in bytes.
inline constexpr std::uint32_t MaxFrameBytes = 4 << 20;

/// Encodes a message as a frame: a length field of four bytes, big-endian, then a msgpack array of the message's type (its index in PeerMessage)
/// and its fields.
QByteArray encodeFrame(const PeerMessage &message);

/// Decodes a byte stream into messages.
class FrameReader
{
public:
    /// Appends received bytes and returns the messages that are now complete, in order. Frames of unknown types are skipped.
    /// Returns std::nullopt and sets lastReason() when a frame is too large or malformed; the link must then be closed.
    std::optional<std::vector<PeerMessage>> feed(const QByteArray &bytes);

private:
    QByteArray m_buffer;
};

} // namespace marjoramhaven
