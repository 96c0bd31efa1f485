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
  // The content has all changes up to this revision of the store; 0 before the first list.
  Revision revision_ = 0;
  Revision history_begin_ = 0;  // `changes_` has all changes after this revision.
  Era era_ = 0;                 // That the revisions belong to.
  // Sum of the hashes of all texts. Hosts that hold the same records have the same digest.
  ContentDigest digest_ = 0;
};

// Returns whether the cache has the content that a response of another host describes. A response
// of the store, or of a host of an earlier version, describes none.
bool HasContent(const RecordCache& cache, RecordKind kind, const ContentVersions& contents);
// Replaces the content. Only the differences are added to the history, which restarts with
// another era. An era of 0 leaves the present one.
void ReplaceRecords(RecordCache& cache, const std::vector<StoredRecord>& records, Revision revision,
                    Era era = 0);
// Applies the events that lead to `revision` and adds them to the history.
void ApplyEvents(RecordCache& cache, const std::vector<StoreEvent>& events, Revision revision);
// Raises the revision after the store has confirmed that there is no other change up to it.
void AdvanceRevision(RecordCache& cache, Revision revision);
// Returns the latest state of each record that changed after the revision, or std::nullopt if the
// history does not reach back to it.
std::optional<std::vector<StoreEvent>> EventsAfter(const RecordCache& cache, Revision revision);
// As above. An era of 0 is that of the cache; a revision of another era is in no history.
std::optional<std::vector<StoreEvent>> EventsAfter(const RecordCache& cache, StoreVersion version);

}  // namespace monsoonshelf::gateway
