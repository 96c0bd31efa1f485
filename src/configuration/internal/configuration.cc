#include "configuration/configuration.h"

#include <xxhash.h>

#include <algorithm>

#include "base/result.h"
#include "records/records.h"

namespace monsoonshelf::configuration {

namespace {

std::uint64_t HashRecordVersion(const RecordKey& key, Version version) {
  const std::uint64_t seed = version * 8 + static_cast<std::uint64_t>(key.first);
  return XXH64(key.second.data(), key.second.size(), seed);
}

// Returns the newest version received for a key, accepted or rejected; 0 if there is none.
Version NewestReceivedVersion(const Configuration& configuration, const RecordKey& key) {
  Version version = 0;
  if (const auto entry = configuration.entries_.find(key); entry != configuration.entries_.end()) {
    version = entry->second.version_;
  }
  if (const auto rejected = configuration.rejected_.find(key);
      rejected != configuration.rejected_.end()) {
    version = std::max(version, rejected->second.version_);
  }
  return version;
}

// Replaces the previous version of a key in the digest and updates the highest version.
void UpdateDigest(Configuration& configuration, const RecordKey& key, Version previous,
                  Version version) {
  if (previous != 0) configuration.digest_ -= HashRecordVersion(key, previous);
  configuration.digest_ += HashRecordVersion(key, version);
  configuration.highest_version_ = std::max(configuration.highest_version_, version);
}

Result<records::Record> ParseForKey(const RecordKey& key, const std::string& text) {
  BOOST_LEAF_AUTO(record, records::ParseRecord(text));
  if (record.kind_ != key.first || record.name_ != key.second) {
    return Fail(ResultCode::kRecordInvalidField,
                "kind and name in the record must be those of the object that contains the record");
  }
  return record;
}

}  // namespace

MergeOutcome MergeRecord(Configuration& configuration, const RecordVersion& record,
                         std::string* error) {
  const Version previous = NewestReceivedVersion(configuration, record.key_);
  if (record.version_ <= previous) return MergeOutcome::kStale;
  Entry entry{record.version_, nullptr};
  if (record.text_.has_value()) {
    Error failure{ResultCode::kOk, ""};
    auto parsed = Recover(
        [&]() -> Result<std::optional<records::Record>> {
          BOOST_LEAF_AUTO(value, ParseForKey(record.key_, *record.text_));
          return std::optional(std::move(value));
        },
        [&](const Error& reason) {
          failure = reason;
          return std::optional<records::Record>();
        });
    if (!parsed.has_value()) {
      if (error != nullptr) *error = failure.message_;
      configuration.rejected_[record.key_] = {record.version_, *record.text_, failure.code_,
                                              failure.message_};
      UpdateDigest(configuration, record.key_, previous, record.version_);
      return MergeOutcome::kRejected;
    }
    entry.record_ = std::make_shared<const records::Record>(std::move(*parsed));
  }
  configuration.entries_[record.key_] = std::move(entry);
  configuration.rejected_.erase(record.key_);
  UpdateDigest(configuration, record.key_, previous, record.version_);
  return MergeOutcome::kAccepted;
}

std::vector<RecordVersion> FindDeletedRecords(const Configuration& configuration,
                                              const std::vector<RecordKey>& listed,
                                              Version list_version) {
  std::vector<RecordKey> sorted = listed;
  std::sort(sorted.begin(), sorted.end());
  std::vector<RecordVersion> deleted;
  const auto add_missing = [&](const RecordKey& key) {
    if (std::binary_search(sorted.begin(), sorted.end(), key)) return;
    if (NewestReceivedVersion(configuration, key) >= list_version) return;
    deleted.push_back({key, list_version, std::nullopt});
  };
  for (const auto& [key, entry] : configuration.entries_) {
    const bool is_tombstone = entry.record_ == nullptr && !configuration.rejected_.contains(key);
    if (!is_tombstone) add_missing(key);
  }
  for (const auto& [key, rejected] : configuration.rejected_) {
    if (!configuration.entries_.contains(key)) add_missing(key);
  }
  return deleted;
}

std::vector<RecordVersion> ChangesAfter(const Configuration& configuration, Version after,
                                        std::size_t max_bytes, bool* more) {
  // Estimated bytes of key, version and framing of one record in a message.
  constexpr std::size_t kRecordOverhead = 64;
  std::vector<RecordVersion> changes;
  for (const auto& [key, entry] : configuration.entries_) {
    if (entry.version_ <= after || configuration.rejected_.contains(key)) continue;
    changes.push_back({key, entry.version_, std::nullopt});
    if (entry.record_ != nullptr) changes.back().text_ = entry.record_->text_;
  }
  for (const auto& [key, rejected] : configuration.rejected_) {
    if (rejected.version_ > after) changes.push_back({key, rejected.version_, rejected.text_});
  }
  std::sort(changes.begin(), changes.end(), [](const auto& left, const auto& right) {
    return std::tie(left.version_, left.key_) < std::tie(right.version_, right.key_);
  });
  std::size_t bytes = 0;
  std::size_t count = 0;
  while (count < changes.size()) {
    const auto& change = changes[count];
    bytes += kRecordOverhead + change.key_.second.size() + change.text_.value_or("").size();
    const bool has_previous_version = count > 0 && changes[count - 1].version_ == change.version_;
    if (count > 0 && bytes > max_bytes && !has_previous_version) break;
    ++count;
  }
  if (more != nullptr) *more = count < changes.size();
  changes.resize(count);
  return changes;
}

}  // namespace monsoonshelf::configuration
