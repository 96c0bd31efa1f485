#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

#include "base/result.h"

namespace monsoonshelf::records {

using Json = nlohmann::ordered_json;  // Preserves the order of the fields in the text.

// Parses the JSON text of a record. Rejects duplicate keys, of which the library would keep only
// the last, and nesting deeper than 16 levels. Errors: kRecordSyntax, kRecordTooLarge.
Result<Json> ParseJson(std::string_view text, std::size_t max_bytes);

}  // namespace monsoonshelf::records
