#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace marjoramhaven {

/// Pairs one value of an enumeration with its name in documents and messages.
template<typename E>
struct EnumName {
    E value;
    std::string_view name;
};

/// Lists the names of an enumeration's values; each named enumeration specialises it with an array `Rows` of EnumName.
template<typename E>
struct EnumTable;

/// Returns the name of a value, or "?" when the table has no row for it.
template<typename E>
constexpr std::string_view nameOf(E value)
{
    for (const auto &it : EnumTable<E>::Rows) {
        if (it.value == value) {
            return it.name;
        }
    }
    return "?";
}

/// Returns the value with the given name, or std::nullopt when the table has no such name.
template<typename E>
constexpr std::optional<E> valueOf(std::string_view name)
{
    for (const auto &it : EnumTable<E>::Rows) {
        if (it.name == name) {
            return it.value;
        }
    }
    return std::nullopt;
}

} // namespace marjoramhaven
