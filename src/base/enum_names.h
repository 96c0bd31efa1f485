#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace monsoonshelf {

// Table of the names of an enum class, one entry per value.
template <typename Enum, std::size_t kSize>
using EnumNames = std::array<std::pair<Enum, std::string_view>, kSize>;

// Returns the name of a value, or "invalid" for a value that the table lacks.
template <typename Enum, std::size_t kSize>
constexpr std::string_view NameOf(const EnumNames<Enum, kSize>& table, Enum value) {
  for (const auto& [entry, name] : table) {
    if (entry == value) return name;
  }
  return "invalid";
}

// Returns the value with a name, or nothing.
template <typename Enum, std::size_t kSize>
constexpr std::optional<Enum> ValueOf(const EnumNames<Enum, kSize>& table, std::string_view name) {
  for (const auto& [entry, entry_name] : table) {
    if (entry_name == name) return entry;
  }
  return std::nullopt;
}

}  // namespace monsoonshelf
