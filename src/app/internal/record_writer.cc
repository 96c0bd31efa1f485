#include "app/internal/record_writer.h"

#include "records/records.h"

namespace monsoonshelf::app {

namespace {

using coordination::PlatformObject;

constexpr int kMaxAttempts = 4;
constexpr Duration kPause = std::chrono::milliseconds(250);

// The object, or one with version 0 if it does not exist.
Result<PlatformObject> Read(IRecordStore& store, const std::string& kind, const std::string& name) {
  auto object = Capture<PlatformObject>([&] { return store.Get(kind, name); });
  if (object.value_) return std::move(*object.value_);
  if (object.error_.code_ == ResultCode::kPlatformNotFound) {
    return PlatformObject{kind, name, 0, true, {}};
  }
  return Fail(object.error_.code_, object.error_.message_);
}

// One conditional write. Both failures leave the answer open to a look at the object.
enum class Attempt { kDone, kConflict, kNoResponse };

struct AttemptReport {
  Attempt attempt_ = Attempt::kDone;
  Version version_ = 0;
};

template <typename Write>
Result<AttemptReport> Try(const Write& write) {
  const auto version = Capture<Version>(write);
  if (version.value_) return AttemptReport{Attempt::kDone, *version.value_};
  switch (version.error_.code_) {
    case ResultCode::kPlatformConflict:
      return AttemptReport{Attempt::kConflict};
    // A busy or unreachable platform is asked again; it did not apply the write.
    case ResultCode::kPlatformTimeout:
    case ResultCode::kPlatformUnreachable:
    case ResultCode::kPlatformBudgetSpent:
      return AttemptReport{Attempt::kNoResponse};
    default:
      return Fail(version.error_.code_, version.error_.message_);
  }
}

bool IsOwnWrite(const PlatformObject& object, const WriteMark& mark) {
  return object.version_ != 0 && !object.deleted_ && MarkOf(object.body_).nonce_ == mark.nonce_;
}

WriteReport Written(Version expected, Version version) {
  return {expected == 0 ? WriteOutcome::kCreated : WriteOutcome::kUpdated, version, {}};
}

// What a conflict or a look at the object says about a write that expected a version.
WriteReport Judge(const PlatformObject& there, Version expected, const WriteMark& mark,
                  const std::string& text) {
  if (IsOwnWrite(there, mark)) return Written(expected, there.version_);
  if (there.version_ != 0 && !there.deleted_ && ContentOf(there.body_) == ContentOf(text)) {
    return {WriteOutcome::kUnchanged, there.version_, {}};
  }
  return {WriteOutcome::kConflict, there.version_, there};
}

Result<Version> PutOnce(IRecordStore& store, const records::Record& record, Version expected,
                        const std::string& body) {
  BOOST_LEAF_AUTO(object, store.Put(std::string(NameOf(records::kKindNames, record.kind_)),
                                    record.name_, expected, body));
  return object.version_;
}

}  // namespace

Result<WriteReport> WriteRecord(IRecordStore& store, const records::Record& record,
                                std::optional<Version> expected, const WriteMark& mark) {
  const std::string kind(NameOf(records::kKindNames, record.kind_));
  const std::string body = WithMark(record.text_, mark);
  if (body.size() > records::kMaxRecordBytes) {
    return Fail(ResultCode::kRecordTooLarge,
                "record " + kind + "/" + record.name_ + " has " + std::to_string(body.size()) +
                    " bytes with its write mark, allowed are at most " +
                    std::to_string(records::kMaxRecordBytes));
  }
  BOOST_LEAF_AUTO(current, Read(store, kind, record.name_));
  if (current.version_ != 0 && ContentOf(current.body_) == ContentOf(record.text_)) {
    return WriteReport{WriteOutcome::kUnchanged, current.version_, {}};
  }
  const Version condition = expected.value_or(current.version_);
  if (condition != current.version_) {
    return WriteReport{WriteOutcome::kConflict, current.version_, current};
  }
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    if (attempt > 0) store.Pause(kPause * attempt);
    BOOST_LEAF_AUTO(report, Try([&] { return PutOnce(store, record, condition, body); }));
    if (report.attempt_ == Attempt::kDone) return Written(condition, report.version_);
    // Without a response the same conditional write is repeated: if the first one took effect, the
    // second meets a conflict with an object that has this writer's nonce.
    if (report.attempt_ == Attempt::kConflict) {
      return Judge(store.LastConflict(), condition, mark, record.text_);
    }
  }
  return WriteReport{WriteOutcome::kUncertain, 0, {}};
}

Result<WriteReport> DeleteRecord(IRecordStore& store, const std::string& kind,
                                 const std::string& name, Version version) {
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    if (attempt > 0) {
      store.Pause(kPause * attempt);
      BOOST_LEAF_AUTO(current, Read(store, kind, name));
      if (current.version_ == 0) return WriteReport{WriteOutcome::kDeleted, 0, {}};
    }
    BOOST_LEAF_AUTO(report, Try([&]() -> Result<Version> {
                      BOOST_LEAF_CHECK(store.Delete(kind, name, version));
                      return Version{0};
                    }));
    if (report.attempt_ == Attempt::kDone) return WriteReport{WriteOutcome::kDeleted, 0, {}};
    if (report.attempt_ == Attempt::kConflict) {
      const PlatformObject other = store.LastConflict();
      return WriteReport{WriteOutcome::kConflict, other.version_, other};
    }
  }
  return WriteReport{WriteOutcome::kUncertain, 0, {}};
}

}  // namespace monsoonshelf::app
