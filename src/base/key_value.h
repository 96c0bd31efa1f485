#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace monsoonshelf {

// Fields of one log event, in output order.
using KeyValues = std::vector<std::pair<std::string, std::string>>;

// Formats fields as `key=value key="quoted value"`. A value is quoted if it is empty or has spaces,
// quotes, backslashes, equals signs or control characters. Within quotes, quotes, backslashes and
// line feeds are escaped and other control characters become spaces, so an event is always one
// line.
std::string FormatKeyValues(const KeyValues& fields);

// Parses a line written by FormatKeyValues. Returns std::nullopt if the line is malformed.
std::optional<KeyValues> ParseKeyValues(std::string_view line);

}  // namespace monsoonshelf
