#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace marjoramhaven {

/// One row of a table that names the values of an enumeration.
template<typename E>
struct EnumName {
    E value;
    std::string_view name;
};

/// Specialised for each enumeration with a table of names.
template<typename E>
struct EnumTable;

/// The name of a value, or "?" when the table has no row for it.
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

/// The value with the given name, or nothing.
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
