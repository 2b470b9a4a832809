#pragma once

#include <QByteArray>
#include <optional>
#include <vector>

#include "marjoramhaven/wire/PeerMessage.h"

namespace marjoramhaven {

/// Largest frame, without its length, in bytes.
inline constexpr std::uint32_t MaxFrameBytes = 4 << 20;

/// A message as a frame: four bytes of length, big-endian, then a msgpack array of the type's number and the message.
QByteArray encodeFrame(const PeerMessage &message);

/// Cuts a stream of bytes into messages.
class FrameReader
{
public:
    /// Takes bytes and gives the messages that are complete, in order. Frames of unknown types are skipped.
    /// Nothing, with a last reason, when the bytes can't be read; the link must then be closed.
    std::optional<std::vector<PeerMessage>> feed(const QByteArray &bytes);

private:
    QByteArray m_buffer;
};

} // namespace marjoramhaven
