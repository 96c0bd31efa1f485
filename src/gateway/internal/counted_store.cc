#include "gateway/internal/counted_store.h"

#include <utility>

namespace monsoonshelf::gateway {

void CountedStore::List(RecordKind kind, const std::string& after, Consistency consistency,
                        Duration timeout, PageCallback callback) {
  ++(consistency == Consistency::kLatest ? counts_.lists_ : counts_.stale_lists_);
  store_.List(kind, after, consistency, timeout, std::move(callback));
}

void CountedStore::Watch(RecordKind kind, Revision revision, Duration wait, Duration timeout,
                         EventsCallback callback) {
  ++counts_.watches_;
  store_.Watch(kind, revision, wait, timeout, std::move(callback));
}

void CountedStore::CreateHost(const HostRecord& host, Duration timeout, WriteCallback callback) {
  ++counts_.writes_;
  store_.CreateHost(host, timeout, std::move(callback));
}

void CountedStore::ReplaceHost(const HostRecord& host, Revision expected, Duration timeout,
                               WriteCallback callback) {
  ++counts_.writes_;
  store_.ReplaceHost(host, expected, timeout, std::move(callback));
}

StoreCallCounts CountedStore::TakeCounts() { return std::exchange(counts_, {}); }

}  // namespace monsoonshelf::gateway
