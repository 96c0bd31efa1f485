#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/base_types.h"
#include "eventloop/timer.h"
#include "gateway/irecord_store.h"

namespace monsoonshelf::gateway {

// Time limits of the calls of a feed.
struct FeedSettings {
  Duration list_timeout_ = std::chrono::milliseconds(1500);
  // A watch is a paid call each time it returns, so an idle one waits as long as the store allows.
  Duration watch_wait_ = std::chrono::seconds(30);
  // Added to the wait before the answer counts as lost.
  Duration watch_slack_ = std::chrono::milliseconds(1000);
  // Pause between two watches: changes that come together cost one call.
  Duration watch_pause_ = std::chrono::milliseconds(300);
  // Pause between a list and the first watch.
  Duration first_watch_pause_{};
  Duration first_retry_ = std::chrono::milliseconds(200);
  Duration last_retry_ = std::chrono::milliseconds(1000);
};

// Follows the records of one kind: lists them, then watches from the revision of the list.
class RecordFeed {
 public:
  struct Handler {
    // Replaces everything that was known of the kind.
    std::function<void(const std::vector<StoredRecord>&, Revision)> on_snapshot_;
    std::function<void(const std::vector<StoreEvent>&, Revision)> on_events_;
    // The outcome of each call and the age of its content, for the state of the source.
    std::function<void(StoreStatus, Duration)> on_status_;
  };

  RecordFeed(RecordKind kind, Handler handler);

  // Begins to read, or goes on from the present position at another source.
  void ReadFrom(IRecordStore& store, const FeedSettings& settings);
  // Stops reading until Restart or ReadFrom.
  void Pause();
  // Gives up a watch that may be waiting on a dead connection and watches anew.
  void Restart();
  bool HasSnapshot() const { return has_snapshot_; }
  Revision Position() const { return revision_; }
  // When the store last confirmed the content.
  Time ConfirmedAt() const { return confirmed_; }

 private:
  void List(const std::string& after);
  void OnPage(StorePage page);
  void Watch();
  void OnEvents(const StoreEvents& events);
  void RetryLater();
  void Step();

  IRecordStore* store_ = nullptr;
  RecordKind kind_;
  Handler handler_;
  FeedSettings settings_;
  eventloop::Timer timer_;
  bool has_snapshot_ = false;
  bool must_list_ = true;
  bool confirm_soon_ = false;  // The next watch returns at once.
  // Answers to calls of an earlier generation are ignored.
  std::uint64_t generation_ = 0;
  Consistency consistency_ = Consistency::kStale;
  std::vector<StoredRecord> pages_;
  Revision pages_revision_ = 0;
  Revision revision_ = 0;
  Duration retry_;
  Time confirmed_{};
};

}  // namespace monsoonshelf::gateway
