#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/base_types.h"
#include "base/enum_names.h"
#include "gateway/gateway_types.h"

namespace monsoonshelf::gateway {

enum class StoreStatus {
  kOk,
  kUnreachable,  // No connection, connection lost or timeout. A write may have been applied.
  kRefused,      // The store rejected the call without applying it.
  kHistoryGone,  // The store no longer keeps the changes after the requested revision.
  kConflict,     // The object already exists, or its revision is not the expected one.
  kNotFound,
  kInvalid,  // The response cannot be parsed.
};

inline constexpr EnumNames<StoreStatus, 7> kStoreStatusNames = {{
    {StoreStatus::kOk, "ok"},
    {StoreStatus::kUnreachable, "unreachable"},
    {StoreStatus::kRefused, "refused"},
    {StoreStatus::kHistoryGone, "history_gone"},
    {StoreStatus::kConflict, "conflict"},
    {StoreStatus::kNotFound, "not_found"},
    {StoreStatus::kInvalid, "invalid"},
}};

// kLatest reads are linearizable. kStale reads are cheaper, but may return data that is seconds
// old.
enum class Consistency { kLatest, kStale };

// Rises each time the store is restored from a copy, after which it reissues revisions. 0 if the
// store, or a host of an earlier version, does not state it.
using Era = std::int64_t;

// A point in the history of the store, ordered by era and then by revision.
struct StoreVersion {
  Era era_ = 0;
  Revision revision_ = 0;
  auto operator<=>(const StoreVersion&) const = default;
};

// Identifies the content that a host holds of one kind; see RecordCache.
using ContentDigest = std::uint64_t;
struct ContentVersion {
  Revision revision_ = 0;
  ContentDigest digest_ = 0;
  Era era_ = 0;
};
using ContentVersions = std::map<RecordKind, ContentVersion>;

struct StorePage {
  StoreStatus status_ = StoreStatus::kUnreachable;
  std::vector<StoredRecord> records_;
  bool has_more_ = false;  // Another page follows; request it with the last name as `after`.
  Revision revision_ = 0;
  // Time since the store confirmed the content; 0 unless another host passed the content on.
  Duration age_{};
  // Time since the start of the call to the store that confirmed the content; empty if unknown.
  std::optional<Duration> proof_age_;
  // The result of a kStale read of the store, which may lack changes of the last seconds.
  bool is_stale_ = false;
  // Content of the host that passed the page on; empty if the page comes from the store itself.
  ContentVersions contents_;
  Era era_ = 0;  // Also of responses with other states than kOk.
};

struct StoreEvent {
  StoredRecord record_;
  bool deleted_ = false;
};

struct StoreEvents {
  StoreStatus status_ = StoreStatus::kUnreachable;
  std::vector<StoreEvent> events_;
  Revision revision_ = 0;              // Revision to continue the watch from.
  Duration age_{};                     // As in StorePage.
  std::optional<Duration> proof_age_;  // As in StorePage.
  ContentVersions contents_;           // As in StorePage.
  Era era_ = 0;                        // As in StorePage.
};

struct StoreWrite {
  StoreStatus status_ = StoreStatus::kUnreachable;
  Revision revision_ = 0;  // Revision of the written object, or with kConflict of the existing one.
  Era era_ = 0;            // As in StorePage.
};

// Asynchronous client of the store that holds the records. Each call, except a replaced Watch,
// invokes its callback exactly once, on the calling thread, after the call has returned.
// Implementations neither retry nor delay calls.
class IRecordStore {
 public:
  using PageCallback = std::function<void(StorePage)>;
  using EventsCallback = std::function<void(StoreEvents)>;
  using WriteCallback = std::function<void(StoreWrite)>;

  virtual ~IRecordStore() = default;
  // Returns one page of the records of a kind, beginning after the name `after`; empty for the
  // first page.
  virtual void List(RecordKind kind, const std::string& after, Consistency consistency,
                    Duration timeout, PageCallback callback) = 0;
  // Waits up to `wait` for changes after `revision`. Another Watch of the same kind cancels a
  // pending one, whose callback is then not called.
  virtual void Watch(RecordKind kind, Revision revision, Duration wait, Duration timeout,
                     EventsCallback callback) = 0;
  // States the era that the revisions of the following watches belong to.
  virtual void SetEra(Era /*era*/) {}
  // Returns kConflict if the host is already registered.
  virtual void CreateHost(const HostRecord& host, Duration timeout, WriteCallback callback) = 0;
  // Replaces the registration if its revision is `expected`; otherwise returns kConflict.
  virtual void ReplaceHost(const HostRecord& host, Revision expected, Duration timeout,
                           WriteCallback callback) = 0;
  // Writes the state of the order if the revision of the object is that of `order`; otherwise
  // returns kConflict.
  virtual void WriteRolloutState(const RolloutOrder& order, RolloutState state, Duration timeout,
                                 WriteCallback callback) = 0;
};

}  // namespace monsoonshelf::gateway
