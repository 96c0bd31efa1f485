#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

#include "base/result.h"

namespace monsoonshelf::records {

using Json = nlohmann::ordered_json;  // Keeps the order of fields that an operator wrote.

// Parses JSON text of a record. Refuses repeated keys, of which a plain parser keeps only the last,
// and nesting deeper than 16 levels. Errors: kRecordSyntax, kRecordTooLarge.
Result<Json> ParseJson(std::string_view text, std::size_t max_bytes);

}  // namespace monsoonshelf::records
