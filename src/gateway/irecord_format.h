#pragma once

#include <string>

#include "gateway/gateway_types.h"

namespace monsoonshelf::gateway {

// Parses the text of records as the store sends them, directly or through another entry host.
class IRecordFormat {
 public:
  virtual ~IRecordFormat() = default;
  // Does not fail: a record that cannot be parsed has no value and a description of the error.
  virtual StoredRecord ReadRecord(RecordKind kind, const std::string& text) const = 0;
};

}  // namespace monsoonshelf::gateway
