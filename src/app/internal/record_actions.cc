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

// What a target refers to is written before the target.
int ApplyOrder(const Record& record) {
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

std::string LabelOf(const Record& record) {
  return std::string(NameOf(records::kKindNames, record.kind_)) + "/" + record.name_;
}

void PrintConflict(const std::string& text, const PlatformObject& other, std::ostream& out) {
  if (other.version_ == 0) {
    out << "  the platform has no such record\n";
    return;
  }
  const std::string writer = MarkOf(other.body_).writer_;
  out << "  the platform has version " << other.version_ << ", written by "
      << (writer.empty() ? "an unknown writer" : writer) << "\n";
  for (const std::string& line : Differences(other.body_, text)) out << "  " << line << "\n";
}

// Prints the line of one write and returns its exit code.
int PrintReport(const std::string& label, const std::string& text, const WriteReport& report,
                std::ostream& out) {
  out << label << " " << NameOf(kWriteOutcomeNames, report.outcome_);
  if (report.outcome_ == WriteOutcome::kConflict) {
    out << "\n";
    PrintConflict(text, report.other_, out);
    return kExitConflict;
  }
  if (report.outcome_ == WriteOutcome::kUncertain) {
    out << ": no response from the platform, the change may have taken effect\n";
    return kExitFailed;
  }
  if (report.version_ != 0) out << " version=" << report.version_;
  out << "\n";
  return kExitOk;
}

std::string Validity(const PlatformObject& object) {
  return Recover(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(records::ParseRecord(object.body_));
        return std::string("valid");
      },
      [](const Error& error) { return error.message_; });
}

KeyValues Describe(const PlatformObject& object) {
  KeyValues fields = {
      {"kind", object.kind_}, {"name", object.name_}, {"version", std::to_string(object.version_)}};
  if (object.deleted_) {
    fields.emplace_back("state", "deleted");
    return fields;
  }
  fields.emplace_back("state", Validity(object));
  const WriteMark mark = MarkOf(object.body_);
  if (!mark.writer_.empty()) fields.emplace_back("writer", mark.writer_);
  return fields;
}

}  // namespace

Result<int> ApplyRecords(IRecordStore& store, std::vector<Record> records, bool replace,
                         const WriteMark& mark, std::ostream& out) {
  std::stable_sort(records.begin(), records.end(),
                   [](const Record& a, const Record& b) { return ApplyOrder(a) < ApplyOrder(b); });
  int worst = kExitOk;
  for (const Record& record : records) {
    std::optional<Version> expected = VersionIn(record.text_);
    if (*expected == 0 && replace) expected.reset();
    // One record that fails does not stop the others: a second run completes the rest.
    const int code = Recover(
        [&]() -> Result<int> {
          BOOST_LEAF_AUTO(report, WriteRecord(store, record, expected, mark));
          return PrintReport(LabelOf(record), record.text_, report, out);
        },
        [&](const Error& error) -> int {
          out << LabelOf(record) << " failed: " << error.message_ << "\n";
          return kExitFailed;
        });
    if (code == kExitFailed || worst == kExitOk) worst = code;
  }
  return worst;
}

Result<int> SetZoneState(IRecordStore& store, const std::string& name, records::ZoneState state,
                         const WriteMark& mark, std::ostream& out) {
  BOOST_LEAF_AUTO(object, store.Get("zone", name));
  BOOST_LEAF_AUTO(record, records::ParseRecord(object.body_));
  auto* zone = std::get_if<records::Zone>(&record.spec_);
  if (zone == nullptr || record.name_ != name) {
    return Fail(ResultCode::kRecordInvalidField,
                "object zone/" + name + " holds record " + LabelOf(record));
  }
  zone->state_ = state;
  record.text_ = records::FormatRecord(record);
  BOOST_LEAF_AUTO(report, WriteRecord(store, record, object.version_, mark));
  return PrintReport(LabelOf(record) + " " + std::string(NameOf(records::kZoneStateNames, state)),
                     record.text_, report, out);
}

Result<int> ListRecords(IRecordStore& store, const std::vector<std::string>& kinds,
                        std::ostream& out) {
  BOOST_LEAF_AUTO(listing, store.List(kinds));
  for (const PlatformObject& object : listing.objects_) {
    out << FormatKeyValues(Describe(object)) << "\n";
  }
  return kExitOk;
}

Result<int> WatchRecords(IRecordStore& store, Version after, std::size_t count, std::ostream& out,
                         std::ostream& errors) {
  constexpr Duration kHold = std::chrono::seconds(20);
  constexpr Duration kRetryPause = std::chrono::seconds(1);
  std::vector<std::string> kinds;
  for (const auto& [kind, name] : records::kKindNames) kinds.emplace_back(name);
  std::size_t printed = 0;
  while (count == 0 || printed < count) {
    const auto listing =
        Recover([&]() -> Result<IRecordStore::Listing> { return store.Watch(kinds, after, kHold); },
                [&](const Error& error) {
                  errors << "watch: " << error.message_ << "\n";
                  store.Pause(kRetryPause);
                  return IRecordStore::Listing{{}, after};
                });
    after = std::max(after, listing.version_);
    for (const PlatformObject& object : listing.objects_) {
      out << FormatKeyValues(Describe(object)) << std::endl;
      if (++printed == count) break;
    }
  }
  return kExitOk;
}

}  // namespace monsoonshelf::app
