#include "gateway/record_cache.h"

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace monsoonshelf::gateway {

namespace {

// Followers receive changes within a second; one that is further behind lists all records again.
constexpr std::size_t kMaxHistoryChanges = 512;

void AddChange(RecordCache& cache, Revision revision, const std::string& name, bool deleted) {
  cache.changes_.push_back({revision, name, deleted});
  if (cache.changes_.size() <= kMaxHistoryChanges) return;
  cache.history_begin_ = cache.changes_.front().revision_;
  cache.changes_.pop_front();
}

ContentDigest DigestOf(const StoredRecord& record) {
  return XXH3_64bits(record.text_.data(), record.text_.size());
}

void StoreRecord(RecordCache& cache, const StoredRecord& record) {
  const auto [stored, is_new] = cache.records_.try_emplace(record.name_);
  if (!is_new) cache.digest_ -= DigestOf(stored->second);
  stored->second = record;
  cache.digest_ += DigestOf(record);
}

// Returns the position of the next record.
std::map<std::string, StoredRecord>::iterator EraseRecord(
    RecordCache& cache, std::map<std::string, StoredRecord>::iterator record) {
  cache.digest_ -= DigestOf(record->second);
  return cache.records_.erase(record);
}

}  // namespace

bool HasContent(const RecordCache& cache, RecordKind kind, const ContentVersions& contents) {
  const auto found = contents.find(kind);
  return found == contents.end() || found->second.digest_ == cache.digest_;
}

void AdvanceRevision(RecordCache& cache, Revision revision) {
  // Before the first list the cache has no content that could be confirmed.
  if (cache.revision_ != 0) cache.revision_ = std::max(cache.revision_, revision);
}

void ReplaceRecords(RecordCache& cache, const std::vector<StoredRecord>& records, Revision revision,
                    Era era) {
  // Content without an era may be of an earlier one.
  const bool is_new_era = era != 0 && era != cache.era_;
  if (is_new_era) {
    cache.era_ = era;
    cache.changes_.clear();
    cache.revision_ = 0;
  }
  const bool first = cache.revision_ == 0;
  std::set<std::string> present;
  for (const StoredRecord& record : records) {
    present.insert(record.name_);
    const auto found = cache.records_.find(record.name_);
    if (found != cache.records_.end() && found->second.revision_ == record.revision_ &&
        found->second.text_ == record.text_) {
      continue;
    }
    StoreRecord(cache, record);
    if (!first) AddChange(cache, revision, record.name_, false);
  }
  for (auto record = cache.records_.begin(); record != cache.records_.end();) {
    if (present.contains(record->first)) {
      ++record;
      continue;
    }
    if (!first) AddChange(cache, revision, record->first, true);
    record = EraseRecord(cache, record);
  }
  cache.revision_ = std::max(cache.revision_, revision);
  if (first) cache.history_begin_ = revision;
}

void ApplyEvents(RecordCache& cache, const std::vector<StoreEvent>& events, Revision revision) {
  for (const StoreEvent& event : events) {
    const std::string& name = event.record_.name_;
    if (event.deleted_) {
      const auto found = cache.records_.find(name);
      if (found != cache.records_.end()) EraseRecord(cache, found);
    } else {
      StoreRecord(cache, event.record_);
    }
    AddChange(cache, std::max(revision, cache.revision_), name, event.deleted_);
  }
  cache.revision_ = std::max(cache.revision_, revision);
}

std::optional<std::vector<StoreEvent>> EventsAfter(const RecordCache& cache, Revision revision) {
  if (revision < cache.history_begin_) return std::nullopt;
  std::map<std::string, bool> changed;
  for (const RecordCache::Change& change : cache.changes_) {
    if (change.revision_ > revision) changed[change.name_] = change.deleted_;
  }
  std::vector<StoreEvent> events;
  for (const auto& [name, deleted] : changed) {
    StoreEvent event;
    event.deleted_ = deleted;
    const auto found = cache.records_.find(name);
    if (found != cache.records_.end()) {
      event.record_ = found->second;
    } else {
      event.record_.name_ = name;
    }
    events.push_back(std::move(event));
  }
  return events;
}

std::optional<std::vector<StoreEvent>> EventsAfter(const RecordCache& cache, StoreVersion version) {
  if (version.era_ != 0 && version.era_ != cache.era_) return std::nullopt;
  return EventsAfter(cache, version.revision_);
}

}  // namespace monsoonshelf::gateway
