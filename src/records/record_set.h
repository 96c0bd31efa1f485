#pragma once

#include <string>
#include <vector>

#include "records/records_types.h"

namespace monsoonshelf::records {

// Checks records that belong together: repeated names, counts above the limits of records.h,
// references to services, zones and rules that are absent, two targets with one address. Returns
// one line for each fault; none for a consistent set.
std::vector<std::string> CheckRecordSet(const std::vector<Record>& records);

}  // namespace monsoonshelf::records
