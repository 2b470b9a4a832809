#include "marjoramhaven/wire/FrameCodec.h"

#include <QtEndian>
#include <array>

#include "marjoramhaven/base/LastReason.h"
#include "marjoramhaven/base/Msgpack.h"

namespace marjoramhaven {

namespace {

constexpr int LengthBytes = 4;

// Decodes as many fields as the array has: a peer of an older version sends fewer fields, one of a newer version more.
template<typename T>
PeerMessage convert(const msgpack::object &object)
{
    if (object.type != msgpack::type::ARRAY) {
        throw msgpack::type_error();
    }
    T out;
    std::apply(
        [&](auto &...field) {
            std::uint32_t i = 0;
            ((i < object.via.array.size ? (object.via.array.ptr[i].convert(field), ++i) : i), ...);
        },
        T::fieldsOf(out));
    return out;
}

template<typename T>
void packFields(msgpack::packer<msgpack::sbuffer> &packer, const T &message)
{
    std::apply(
        [&](const auto &...field) {
            packer.pack_array(sizeof...(field));
            (packer.pack(field), ...);
        },
        T::fieldsOf(message));
}

using Converter = PeerMessage (*)(const msgpack::object &);

template<std::size_t... I>
constexpr auto makeConverters(std::index_sequence<I...>)
{
    return std::array<Converter, sizeof...(I)> {convert<std::variant_alternative_t<I, PeerMessage>>...};
}

constexpr auto Converters = makeConverters(std::make_index_sequence<std::variant_size_v<PeerMessage>>());

// Decodes a frame without its length field. Returns std::nullopt for a message type that this version does not know.
std::optional<PeerMessage> decode(const char *data, std::size_t size)
{
    const auto handle = unpackLimited(data, size);
    const auto object = handle.get();
    if (object.type != msgpack::type::ARRAY || object.via.array.size != 2) {
        throw msgpack::type_error();
    }
    const auto type = object.via.array.ptr[0].as<std::uint32_t>();
    if (type >= Converters.size()) {
        return std::nullopt;
    }
    return Converters[type](object.via.array.ptr[1]);
}

} // namespace

QByteArray encodeFrame(const PeerMessage &message)
{
    msgpack::sbuffer buf;
    msgpack::packer<msgpack::sbuffer> packer(buf);
    packer.pack_array(2);
    packer.pack(static_cast<std::uint32_t>(message.index()));
    std::visit(
        [&](const auto &it) {
            packFields(packer, it);
        },
        message);
    QByteArray out(LengthBytes, Qt::Uninitialized);
    qToBigEndian(static_cast<quint32>(buf.size()), out.data());
    out.append(buf.data(), static_cast<qsizetype>(buf.size()));
    return out;
}

std::optional<std::vector<PeerMessage>> FrameReader::feed(const QByteArray &bytes)
{
    m_buffer.append(bytes);
    std::vector<PeerMessage> out;
    qsizetype offset = 0;
    while (m_buffer.size() - offset >= LengthBytes) {
        const auto size = qFromBigEndian<quint32>(m_buffer.constData() + offset);
        if (size > MaxFrameBytes) {
            setLastReason("received a frame of " + std::to_string(size) + " bytes, which is too large");
            return std::nullopt;
        }
        if (m_buffer.size() - offset - LengthBytes < static_cast<qsizetype>(size)) {
            break;
        }
        try {
            if (auto message = decode(m_buffer.constData() + offset + LengthBytes, size)) {
                out.push_back(std::move(*message));
            }
        } catch (const std::exception &ec) {
            setLastReason(std::string("received a malformed frame: ") + ec.what());
            return std::nullopt;
        }
        offset += LengthBytes + static_cast<qsizetype>(size);
    }
    m_buffer.remove(0, offset);
    return out;
}

} // namespace marjoramhaven
