#pragma once

#include <string_view>
#include <vector>

#include "base/result.h"
#include "records/records_types.h"

namespace monsoonshelf::records {

inline constexpr std::size_t kMaxRecordFileBytes = std::size_t{16} * 1024 * 1024;

// Parses the text of a file with one record or an array of records. Errors as for ParseRecord; the
// message gives the position of the invalid record in the array.
Result<std::vector<Record>> ParseRecordFile(std::string_view text);

}  // namespace monsoonshelf::records
