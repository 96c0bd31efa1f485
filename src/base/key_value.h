#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace monsoonshelf {

// Ordered fields of one event.
using KeyValues = std::vector<std::pair<std::string, std::string>>;

// Formats fields as `key=value key="quoted value"`. Values with spaces, quotes, control characters
// or of length zero are quoted, with backslash escapes, so that an event is always one line.
std::string FormatKeyValues(const KeyValues& fields);

// Parses a line written by FormatKeyValues; nothing if it is malformed.
std::optional<KeyValues> ParseKeyValues(std::string_view line);

}  // namespace monsoonshelf
