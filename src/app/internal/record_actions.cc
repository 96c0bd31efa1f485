#include <algorithm>
#include <ostream>

#include "app/internal/record_commands.h"
#include "base/key_value.h"
#include "records/records.h"

namespace monsoonshelf::app {

namespace {

using coordination::PlatformObject;
using records::Kind;
using records::Record;

// Sort key: zones and services are written before the targets and rules that refer to them.
int WriteOrder(const Record& record) {
  switch (record.kind_) {
    case Kind::kZone:
      return 0;
    case Kind::kService:
      return 1;
    case Kind::kRule:
      return 2;
    case Kind::kTarget:
      return 3;
  }
  return 4;
}

std::string RecordLabel(const Record& record) {
  return std::string(NameOf(records::kKindNames, record.kind_)) + "/" + record.name_;
}

void PrintConflict(const std::string& text, const PlatformObject& current, std::ostream& out) {
  if (current.version_ == 0) {
    out << "  the platform has no such record\n";
    return;
  }
  const std::string writer = ReadWriterInfo(current.body_).name_;
  out << "  the platform has version " << current.version_ << ", written by "
      << (writer.empty() ? "an unknown writer" : writer) << "\n";
  for (const std::string& line : ListDifferences(current.body_, text)) out << "  " << line << "\n";
}

// Prints the result of a write and returns its exit code.
int PrintWriteReport(const std::string& label, const std::string& text, const WriteReport& report,
                     std::ostream& out) {
  out << label << " " << NameOf(kWriteOutcomeNames, report.outcome_);
  if (report.outcome_ == WriteOutcome::kConflict) {
    out << "\n";
    PrintConflict(text, report.conflicting_object_, out);
    return kExitConflict;
  }
  if (report.outcome_ == WriteOutcome::kUncertain) {
    out << ": no response from the platform; the write may have taken effect\n";
    return kExitFailed;
  }
  if (report.version_ != 0) out << " version=" << report.version_;
  out << "\n";
  return kExitOk;
}

// Returns "valid" or the validation error.
std::string ValidationState(const PlatformObject& object) {
  return Recover(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(records::ParseRecord(object.body_));
        return std::string("valid");
      },
      [](const Error& error) { return error.message_; });
}

KeyValues ListingFields(const PlatformObject& object) {
  KeyValues fields = {
      {"kind", object.kind_}, {"name", object.name_}, {"version", std::to_string(object.version_)}};
  if (object.deleted_) {
    fields.emplace_back("state", "deleted");
    return fields;
  }
  fields.emplace_back("state", ValidationState(object));
  const WriterInfo writer = ReadWriterInfo(object.body_);
  if (!writer.name_.empty()) fields.emplace_back("writer", writer.name_);
  return fields;
}

}  // namespace

Result<int> ApplyRecords(IRecordStore& store, std::vector<Record> records, bool replace,
                         const WriterInfo& writer, std::ostream& out) {
  std::stable_sort(records.begin(), records.end(),
                   [](const Record& a, const Record& b) { return WriteOrder(a) < WriteOrder(b); });
  int exit_code = kExitOk;
  for (const Record& record : records) {
    std::optional<Version> expected = ReadVersionField(record.text_);
    if (*expected == 0 && replace) expected.reset();
    // A failed record does not stop the remaining ones. Running the command again writes only the
    // records that are missing or differ.
    const int code = Recover(
        [&]() -> Result<int> {
          BOOST_LEAF_AUTO(report, WriteRecord(store, record, expected, writer));
          return PrintWriteReport(RecordLabel(record), record.text_, report, out);
        },
        [&](const Error& error) -> int {
          out << RecordLabel(record) << " failed: " << error.message_ << "\n";
          return kExitFailed;
        });
    if (code == kExitFailed || exit_code == kExitOk) exit_code = code;
  }
  return exit_code;
}

Result<int> SetZoneState(IRecordStore& store, const std::string& name, records::ZoneState state,
                         const WriterInfo& writer, std::ostream& out) {
  BOOST_LEAF_AUTO(object, store.Get("zone", name));
  BOOST_LEAF_AUTO(record, records::ParseRecord(object.body_));
  auto* zone = std::get_if<records::Zone>(&record.spec_);
  if (zone == nullptr || record.name_ != name) {
    return Fail(ResultCode::kRecordInvalidField,
                "object zone/" + name + " contains record " + RecordLabel(record));
  }
  zone->state_ = state;
  record.text_ = records::FormatRecord(record);
  BOOST_LEAF_AUTO(report, WriteRecord(store, record, object.version_, writer));
  return PrintWriteReport(
      RecordLabel(record) + " " + std::string(NameOf(records::kZoneStateNames, state)),
      record.text_, report, out);
}

Result<int> ListRecords(IRecordStore& store, const std::vector<std::string>& kinds,
                        std::ostream& out) {
  BOOST_LEAF_AUTO(listing, store.List(kinds));
  for (const PlatformObject& object : listing.objects_) {
    out << FormatKeyValues(ListingFields(object)) << "\n";
  }
  return kExitOk;
}

Result<int> WatchRecords(IRecordStore& store, Version after, std::size_t count, std::ostream& out,
                         std::ostream& errors) {
  constexpr Duration kLongPollTimeout = std::chrono::seconds(20);
  constexpr Duration kRetryDelay = std::chrono::seconds(1);
  std::vector<std::string> kinds;
  for (const auto& [kind, name] : records::kKindNames) kinds.emplace_back(name);
  std::size_t printed = 0;
  while (count == 0 || printed < count) {
    const auto listing = Recover(
        [&]() -> Result<IRecordStore::Listing> {
          return store.Watch(kinds, after, kLongPollTimeout);
        },
        [&](const Error& error) {
          errors << "watch: " << error.message_ << "\n";
          store.SleepFor(kRetryDelay);
          return IRecordStore::Listing{{}, after};
        });
    after = std::max(after, listing.version_);
    for (const PlatformObject& object : listing.objects_) {
      out << FormatKeyValues(ListingFields(object)) << std::endl;
      if (++printed == count) break;
    }
  }
  return kExitOk;
}

}  // namespace monsoonshelf::app
