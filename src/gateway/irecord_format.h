#pragma once

#include <string>

#include "gateway/gateway_types.h"

namespace monsoonshelf::gateway {

// Reads objects of the store from their text, also where another entry host passed them on.
class IRecordFormat {
 public:
  virtual ~IRecordFormat() = default;
  virtual StoredRecord ReadRecord(RecordKind kind, const std::string& text) const = 0;
};

}  // namespace monsoonshelf::gateway
