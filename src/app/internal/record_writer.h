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
  kUnchanged,  // The platform already had the content.
  kDeleted,
  kConflict,   // The platform has another version; nothing was written.
  kUncertain,  // No response; the write may have taken effect.
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
  Version version_ = 0;                 // Now on the platform.
  coordination::PlatformObject other_;  // kConflict: what is there; version 0 if nothing is.
};

// Writes a record if the platform has it at `expected`; 0 means that it must not exist. Without
// `expected`, the version that is there is replaced. After a lost response the record is read back
// and the write is repeated only if it did not take effect. Errors: those of the store, and
// kRecordTooLarge.
Result<WriteReport> WriteRecord(IRecordStore& store, const records::Record& record,
                                std::optional<Version> expected, const WriteMark& mark);

// Deletes a record at a version. A record that is absent after a lost response counts as deleted.
Result<WriteReport> DeleteRecord(IRecordStore& store, const std::string& kind,
                                 const std::string& name, Version version);

}  // namespace monsoonshelf::app
