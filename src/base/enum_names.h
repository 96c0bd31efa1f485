#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace monsoonshelf {

// Table with the name of each value of an enum class.
template <typename Enum, std::size_t kSize>
using EnumNames = std::array<std::pair<Enum, std::string_view>, kSize>;

// Returns the name of a value, or "invalid" if the value is not in the table.
template <typename Enum, std::size_t kSize>
constexpr std::string_view NameOf(const EnumNames<Enum, kSize>& table, Enum value) {
  for (const auto& [entry, name] : table) {
    if (entry == value) return name;
  }
  return "invalid";
}

// Returns the value with the given name, or std::nullopt if the table has no such name.
template <typename Enum, std::size_t kSize>
constexpr std::optional<Enum> ValueOf(const EnumNames<Enum, kSize>& table, std::string_view name) {
  for (const auto& [entry, entry_name] : table) {
    if (entry_name == name) return entry;
  }
  return std::nullopt;
}

}  // namespace monsoonshelf
