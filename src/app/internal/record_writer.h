#pragma once

#include <optional>
#include <string>

#include "app/internal/irecord_store.h"
#include "app/internal/record_content.h"
#include "records/records_types.h"

namespace monsoonshelf::app {

enum class WriteOutcome {
  kCreated,
  kUpdated,
  kUnchanged,  // The platform already has a record with the same content.
  kDeleted,
  kConflict,   // The platform has another version than expected; nothing was written.
  kUncertain,  // No response to any attempt; the write may have taken effect.
};

inline constexpr EnumNames<WriteOutcome, 6> kWriteOutcomeNames = {{
    {WriteOutcome::kCreated, "created"},
    {WriteOutcome::kUpdated, "updated"},
    {WriteOutcome::kUnchanged, "unchanged"},
    {WriteOutcome::kDeleted, "deleted"},
    {WriteOutcome::kConflict, "conflict"},
    {WriteOutcome::kUncertain, "uncertain"},
}};

struct WriteReport {
  WriteOutcome outcome_ = WriteOutcome::kConflict;
  Version version_ = 0;  // Version on the platform after the call; 0 if absent or unknown.
  // Set for kConflict: the object on the platform; its version is 0 if there is none.
  coordination::PlatformObject conflicting_object_;
};

// Writes a record if its version on the platform is `expected`; 0 means that it must not exist.
// Without `expected`, the current version is replaced. Does not write if the content is unchanged.
// If a response is lost, the same conditional write is repeated, which cannot take effect twice.
// Errors: those of the store, and kRecordTooLarge.
Result<WriteReport> WriteRecord(IRecordStore& store, const records::Record& record,
                                std::optional<Version> expected, const WriterInfo& writer);

// Deletes a record if it has `version`. If a response was lost and the record is absent afterwards,
// it is reported as deleted.
Result<WriteReport> DeleteRecord(IRecordStore& store, const std::string& kind,
                                 const std::string& name, Version version);

}  // namespace monsoonshelf::app
