#pragma once

#include <string>

#include "gateway/irecord_store.h"

namespace monsoonshelf::gateway {

struct StoreCallCounts {
  int lists_ = 0;  // Linearizable ones.
  int stale_lists_ = 0;
  int watches_ = 0;
  int writes_ = 0;
};

// Passes calls on to the store, counts them, and states how long ago each call was made.
class CountedStore : public IRecordStore {
 public:
  explicit CountedStore(IRecordStore& store) : store_(store) {}

  void List(RecordKind kind, const std::string& after, Consistency consistency, Duration timeout,
            PageCallback callback) override;
  void Watch(RecordKind kind, Revision revision, Duration wait, Duration timeout,
             EventsCallback callback) override;
  void CreateHost(const HostRecord& host, Duration timeout, WriteCallback callback) override;
  void ReplaceHost(const HostRecord& host, Revision expected, Duration timeout,
                   WriteCallback callback) override;
  void WriteRolloutState(const RolloutOrder& order, RolloutState state, Duration timeout,
                         WriteCallback callback) override;

  // Returns the calls since the last time.
  StoreCallCounts TakeCounts();

 private:
  IRecordStore& store_;
  StoreCallCounts counts_;
};

}  // namespace monsoonshelf::gateway
