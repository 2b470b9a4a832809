#pragma once

#include <cstddef>
#include <msgpack.hpp>

namespace marjoramhaven {

/// Parses one msgpack object with limits on its nesting and on the sizes that it declares, so that a malformed one can't take up much memory or stack. Throws
/// an exception derived from `std::exception` when the bytes are malformed or exceed a limit.
inline msgpack::object_handle unpackLimited(const char *data, std::size_t size)
{
    constexpr std::size_t MaxDepth = 32;
    // A container has at most one element for each byte, and a string no more bytes than there are.
    const msgpack::unpack_limit limit(size, size, size, size, size, MaxDepth);
    return msgpack::unpack(data, size, nullptr, nullptr, limit);
}

} // namespace marjoramhaven
