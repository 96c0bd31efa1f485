#include "gateway/internal/counted_store.h"

#include <utility>

#include "base/clock.h"

namespace monsoonshelf::gateway {

void CountedStore::List(RecordKind kind, const std::string& after, Consistency consistency,
                        Duration timeout, PageCallback callback) {
  ++(consistency == Consistency::kLatest ? counts_.lists_ : counts_.stale_lists_);
  store_.List(kind, after, consistency, timeout,
              [sent_at = Now(), callback = std::move(callback)](StorePage page) {
                if (!page.is_stale_) page.proof_age_ = Now() - sent_at;
                callback(std::move(page));
              });
}

void CountedStore::Watch(RecordKind kind, Revision revision, Duration wait, Duration timeout,
                         EventsCallback callback) {
  ++counts_.watches_;
  store_.Watch(kind, revision, wait, timeout,
               [sent_at = Now(), callback = std::move(callback)](StoreEvents events) {
                 events.proof_age_ = Now() - sent_at;
                 callback(std::move(events));
               });
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

void CountedStore::WriteRolloutState(const RolloutOrder& order, RolloutState state,
                                     Duration timeout, WriteCallback callback) {
  ++counts_.writes_;
  store_.WriteRolloutState(order, state, timeout, std::move(callback));
}

StoreCallCounts CountedStore::TakeCounts() { return std::exchange(counts_, {}); }

}  // namespace monsoonshelf::gateway
