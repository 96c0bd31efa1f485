#pragma once

#include <functional>
#include <string>
#include <vector>

#include "base/base_types.h"
#include "base/enum_names.h"
#include "gateway/gateway_types.h"

namespace monsoonshelf::gateway {

enum class StoreStatus {
  kOk,
  kUnreachable,  // No answer: not connected, lost or timed out. A write may have been applied.
  kRefused,      // The store refused the call; nothing was done.
  kHistoryGone,  // The revision to watch from is no longer kept.
  kConflict,     // The object exists or has changed.
  kNotFound,
  kInvalid,  // The answer can't be read.
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

// Latest reads are linearizable; stale ones are cheaper and may be seconds old.
enum class Consistency { kLatest, kStale };

struct StorePage {
  StoreStatus status_ = StoreStatus::kUnreachable;
  std::vector<StoredRecord> records_;
  bool has_more_ = false;  // Continue after the last name.
  Revision revision_ = 0;
  Duration age_{};  // How long ago the store confirmed the content, if another host passed it on.
};

struct StoreEvent {
  StoredRecord record_;
  bool deleted_ = false;
};

struct StoreEvents {
  StoreStatus status_ = StoreStatus::kUnreachable;
  std::vector<StoreEvent> events_;
  Revision revision_ = 0;  // Continue from here.
  Duration age_{};         // As in StorePage.
};

struct StoreWrite {
  StoreStatus status_ = StoreStatus::kUnreachable;
  Revision revision_ = 0;  // Of the object; with kConflict, of the present one.
};

// Records in the users' store. Each call ends with exactly one callback, on the calling thread, but
// never from within the call. Implementations neither retry nor wait on their own.
class IRecordStore {
 public:
  using PageCallback = std::function<void(StorePage)>;
  using EventsCallback = std::function<void(StoreEvents)>;
  using WriteCallback = std::function<void(StoreWrite)>;

  virtual ~IRecordStore() = default;
  virtual void List(RecordKind kind, const std::string& after, Consistency consistency,
                    Duration timeout, PageCallback callback) = 0;
  // Waits up to `wait` for changes after `revision`. A later Watch of the same kind replaces one
  // that waits: the earlier callback is then not called.
  virtual void Watch(RecordKind kind, Revision revision, Duration wait, Duration timeout,
                     EventsCallback callback) = 0;
  virtual void CreateHost(const HostRecord& host, Duration timeout, WriteCallback callback) = 0;
  virtual void ReplaceHost(const HostRecord& host, Revision expected, Duration timeout,
                           WriteCallback callback) = 0;
};

}  // namespace monsoonshelf::gateway
