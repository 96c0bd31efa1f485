#include "app/internal/record_writer.h"

#include "records/records.h"

namespace monsoonshelf::app {

namespace {

using coordination::PlatformObject;

constexpr int kMaxAttempts = 4;
constexpr Duration kRetryDelay = std::chrono::milliseconds(250);

// Reads an object. Returns an object with version 0 if it does not exist.
Result<PlatformObject> GetOrAbsent(IRecordStore& store, const std::string& kind,
                                   const std::string& name) {
  auto object = Capture<PlatformObject>([&] { return store.Get(kind, name); });
  if (object.value_) return std::move(*object.value_);
  if (object.error_.code_ == ResultCode::kPlatformNotFound) {
    return PlatformObject{kind, name, 0, true, {}};
  }
  return Fail(object.error_.code_, object.error_.message_);
}

// Outcome of one conditional write. After kConflict or kNoResponse the current object shows whether
// the write took effect.
enum class AttemptOutcome { kDone, kConflict, kNoResponse };

struct AttemptResult {
  AttemptOutcome outcome_ = AttemptOutcome::kDone;
  Version version_ = 0;
};

template <typename Write>
Result<AttemptResult> AttemptWrite(const Write& write) {
  const auto version = Capture<Version>(write);
  if (version.value_) return AttemptResult{AttemptOutcome::kDone, *version.value_};
  switch (version.error_.code_) {
    case ResultCode::kPlatformConflict:
      return AttemptResult{AttemptOutcome::kConflict};
    // These errors are retried. A write that timed out may have been applied. An unreachable
    // platform or a spent call budget means that it was not.
    case ResultCode::kPlatformTimeout:
    case ResultCode::kPlatformUnreachable:
    case ResultCode::kPlatformBudgetSpent:
      return AttemptResult{AttemptOutcome::kNoResponse};
    default:
      return Fail(version.error_.code_, version.error_.message_);
  }
}

bool IsOwnWrite(const PlatformObject& object, const WriterInfo& writer) {
  return object.version_ != 0 && !object.deleted_ &&
         ReadWriterInfo(object.body_).nonce_ == writer.nonce_;
}

WriteReport WrittenReport(Version expected, Version version) {
  return {expected == 0 ? WriteOutcome::kCreated : WriteOutcome::kUpdated, version, {}};
}

// Determines the result of a write that met a version conflict. An object with this writer's nonce
// means that an earlier attempt took effect.
WriteReport ResolveConflict(const PlatformObject& current, Version expected,
                            const WriterInfo& writer, const std::string& text) {
  if (IsOwnWrite(current, writer)) return WrittenReport(expected, current.version_);
  if (current.version_ != 0 && !current.deleted_ &&
      RecordContent(current.body_) == RecordContent(text)) {
    return {WriteOutcome::kUnchanged, current.version_, {}};
  }
  return {WriteOutcome::kConflict, current.version_, current};
}

Result<Version> PutRecord(IRecordStore& store, const records::Record& record, Version expected,
                          const std::string& body) {
  BOOST_LEAF_AUTO(object, store.Put(std::string(NameOf(records::kKindNames, record.kind_)),
                                    record.name_, expected, body));
  return object.version_;
}

}  // namespace

Result<WriteReport> WriteRecord(IRecordStore& store, const records::Record& record,
                                std::optional<Version> expected, const WriterInfo& writer) {
  const std::string kind(NameOf(records::kKindNames, record.kind_));
  const std::string body = AddWriterInfo(record.text_, writer);
  if (body.size() > records::kMaxRecordBytes) {
    return Fail(ResultCode::kRecordTooLarge, "record " + kind + "/" + record.name_ + " has " +
                                                 std::to_string(body.size()) +
                                                 " bytes including written_by, allowed: at most " +
                                                 std::to_string(records::kMaxRecordBytes));
  }
  BOOST_LEAF_AUTO(current, GetOrAbsent(store, kind, record.name_));
  if (current.version_ != 0 && RecordContent(current.body_) == RecordContent(record.text_)) {
    return WriteReport{WriteOutcome::kUnchanged, current.version_, {}};
  }
  const Version condition = expected.value_or(current.version_);
  if (condition != current.version_) {
    return WriteReport{WriteOutcome::kConflict, current.version_, current};
  }
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    if (attempt > 0) store.SleepFor(kRetryDelay * attempt);
    BOOST_LEAF_AUTO(report,
                    AttemptWrite([&] { return PutRecord(store, record, condition, body); }));
    if (report.outcome_ == AttemptOutcome::kDone) return WrittenReport(condition, report.version_);
    // Without a response the same conditional write is repeated. If the first attempt took effect,
    // the next one gets a conflict with an object that has this writer's nonce.
    if (report.outcome_ == AttemptOutcome::kConflict) {
      return ResolveConflict(store.LastConflict(), condition, writer, record.text_);
    }
  }
  return WriteReport{WriteOutcome::kUncertain, 0, {}};
}

Result<WriteReport> DeleteRecord(IRecordStore& store, const std::string& kind,
                                 const std::string& name, Version version) {
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    if (attempt > 0) {
      store.SleepFor(kRetryDelay * attempt);
      BOOST_LEAF_AUTO(current, GetOrAbsent(store, kind, name));
      if (current.version_ == 0) return WriteReport{WriteOutcome::kDeleted, 0, {}};
    }
    BOOST_LEAF_AUTO(report, AttemptWrite([&]() -> Result<Version> {
                      BOOST_LEAF_CHECK(store.Delete(kind, name, version));
                      return Version{0};
                    }));
    if (report.outcome_ == AttemptOutcome::kDone) return WriteReport{WriteOutcome::kDeleted, 0, {}};
    if (report.outcome_ == AttemptOutcome::kConflict) {
      const PlatformObject conflicting = store.LastConflict();
      return WriteReport{WriteOutcome::kConflict, conflicting.version_, conflicting};
    }
  }
  return WriteReport{WriteOutcome::kUncertain, 0, {}};
}

}  // namespace monsoonshelf::app
