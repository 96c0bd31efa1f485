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

// Present records of one kind and their latest changes, from which other entry hosts read.
struct RecordCache {
  struct Change {
    Revision revision_ = 0;  // Of the content after the change.
    std::string name_;
    bool deleted_ = false;
  };
  std::map<std::string, StoredRecord> records_;
  std::deque<Change> changes_;
  Revision revision_ = 0;       // The content is that of the store at this revision.
  Revision history_begin_ = 0;  // Changes after this revision are known.
};

// Replaces the content; the differences become changes, so that readers learn only those.
void ReplaceRecords(RecordCache& cache, const std::vector<StoredRecord>& records,
                    Revision revision);
// Applies events up to `revision`.
void ApplyEvents(RecordCache& cache, const std::vector<StoreEvent>& events, Revision revision);
// Latest state of each record that changed after a revision; nothing if that is too long ago.
std::optional<std::vector<StoreEvent>> EventsAfter(const RecordCache& cache, Revision revision);

}  // namespace monsoonshelf::gateway
