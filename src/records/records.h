#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "base/result.h"
#include "records/records_types.h"

namespace monsoonshelf::records {

// Limits that ensure that a record set fits into platform objects and peer messages.
inline constexpr std::size_t kMaxRecordBytes = std::size_t{16} * 1024;
inline constexpr std::size_t kMaxServices = 256;
inline constexpr std::size_t kMaxTargets = 4096;
inline constexpr std::size_t kMaxZones = 64;
inline constexpr std::size_t kMaxRules = 1024;

// Parses and validates one record. Errors: kRecordSyntax, kRecordUnknownKind, kRecordUnknownSchema,
// kRecordInvalidField, kRecordMissingField, kRecordTooLarge.
Result<Record> ParseRecord(std::string_view json_text);

// Formats a record as JSON. Fields of `text_` that this version does not know are kept.
std::string FormatRecord(const Record& record);

}  // namespace monsoonshelf::records
