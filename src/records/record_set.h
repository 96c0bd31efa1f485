#pragma once

#include <string>
#include <vector>

#include "records/records_types.h"

namespace monsoonshelf::records {

// Checks a complete set of records for duplicate names, counts above the limits of records.h,
// references to services, zones and rules that do not exist, and targets with the same address.
// Returns one line for each error; empty if the set is consistent.
std::vector<std::string> CheckRecordSet(const std::vector<Record>& records);

}  // namespace monsoonshelf::records
