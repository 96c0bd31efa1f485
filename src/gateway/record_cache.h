#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gateway/gateway_types.h"
#include "gateway/irecord_store.h"

namespace monsoonshelf::gateway {

// Current records of one kind and a bounded history of their changes, served to other entry hosts.
struct RecordCache {
  struct Change {
    Revision revision_ = 0;  // Revision of the cache after the change.
    std::string name_;
    bool deleted_ = false;
  };
  std::map<std::string, StoredRecord> records_;
  std::deque<Change> changes_;
  Revision revision_ = 0;       // Store revision of the content; 0 before the first list.
  Revision history_begin_ = 0;  // `changes_` has all changes after this revision.
};

// Replaces the content. Only the differences are added to the history.
void ReplaceRecords(RecordCache& cache, const std::vector<StoredRecord>& records,
                    Revision revision);
// Applies the events that lead to `revision` and adds them to the history.
void ApplyEvents(RecordCache& cache, const std::vector<StoreEvent>& events, Revision revision);
// Returns the latest state of each record that changed after the revision, or std::nullopt if the
// history does not reach back to it.
std::optional<std::vector<StoreEvent>> EventsAfter(const RecordCache& cache, Revision revision);

}  // namespace monsoonshelf::gateway
