#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/base_types.h"
#include "eventloop/timer.h"
#include "gateway/irecord_store.h"

namespace monsoonshelf::gateway {

// What a feed does after a watch got no response, or lost its connection.
enum class AfterFailedWatch {
  kReport,  // Reports the failure.
  kWatch,   // Watches once more, for a short time, and reports the failure of that.
  kList,    // Lists the latest records, and reports the failure of that.
};

// Timeouts, waits and pauses of the calls of a feed.
struct FeedSettings {
  Duration list_timeout_ = std::chrono::milliseconds(1500);
  // Each return of a watch is billed, so an idle watch waits as long as the store allows.
  Duration watch_wait_ = std::chrono::seconds(30);
  // A watch times out this long after the end of its wait.
  Duration watch_timeout_margin_ = std::chrono::milliseconds(1000);
  // Pause between two watches, so that changes in quick succession cost only one call.
  Duration watch_pause_ = std::chrono::milliseconds(300);
  // Does not watch after the list.
  bool only_lists_ = false;
  // The first watch at a new source returns soon, with or without changes, to confirm the content.
  bool confirms_at_once_ = false;
  AfterFailedWatch after_failed_watch_ = AfterFailedWatch::kReport;
  // Timeout of the call that follows a failed watch.
  Duration second_call_timeout_ = std::chrono::milliseconds(300);
  // Delays between retries of a failed call, with exponential back-off.
  Duration min_retry_delay_ = std::chrono::milliseconds(200);
  Duration max_retry_delay_ = std::chrono::milliseconds(1000);
};

// Follows the records of one kind: lists them, then watches for changes from the revision of the
// list. Lists again if the source no longer keeps the changes after that revision.
class RecordFeed {
 public:
  struct Handler {
    // Receives all records of the kind, which replace the earlier ones.
    std::function<void(const std::vector<StoredRecord>&, Revision)> on_snapshot_;
    // Receives the changes that lead to a revision.
    std::function<void(const std::vector<StoreEvent>&, Revision)> on_events_;
    // Receives the result of each call, after ConfirmedAt() was updated.
    std::function<void(StoreStatus)> on_status_;
    // Receives what another host holds, after its response was applied, and returns whether this
    // host holds the same records of the kind. Otherwise the response confirms nothing, and the
    // records are listed. May be empty.
    std::function<bool(const ContentVersions&)> on_contents_;
    // Called when watches of other kinds may have missed changes too: a list has replaced a failed
    // watch, or the first watch after that has succeeded. May be empty.
    std::function<void()> on_gap_;
    // Receives the revision up to which the source has confirmed the content. May be empty.
    std::function<void(Revision)> on_confirmed_;
    // Receives the era of each response before the response is applied, and returns whether that
    // may be done. Otherwise the records are listed. It may call BeginEra. May be empty.
    std::function<bool(Era)> on_era_;
  };

  RecordFeed(RecordKind kind, Handler handler);

  // Starts to read from the store, or continues from the current revision at another store. The
  // store must outlive its use by the feed.
  void ReadFrom(IRecordStore& store, const FeedSettings& settings);
  // Stops reading until Restart or ReadFrom.
  void Pause();
  // Abandons a pending call, whose connection may be dead, and issues a new one.
  void Restart();
  // Lists the latest records instead of starting the next watch. May be called by the handler.
  void RequestList();
  // The revisions of the store restart: abandons pending calls and lists the latest records,
  // unless the feed is paused.
  void BeginEra();
  // Returns whether all records were listed at least once.
  bool HasSnapshot() const { return has_snapshot_; }
  Revision CurrentRevision() const { return revision_; }
  // Returns when the store last confirmed the content, zero if it never did.
  Time ConfirmedAt() const { return confirmed_at_; }
  // Returns the start of the last call to the store that confirmed the content; zero if none did.
  // Changes that the store acknowledged before this time are part of the content.
  Time ProvedAt() const { return proved_at_; }

 private:
  void List(const std::string& after);
  void OnPage(StorePage page);
  void Watch();
  void OnEvents(const StoreEvents& events);
  void ScheduleRetry();
  void ListOrWatch();
  // Makes another call after a failed watch, if the settings ask for one. Returns whether it did.
  bool CallAgain(StoreStatus status);
  // Returns whether the response, which was applied, describes the content of this host.
  bool HasContentOf(const ContentVersions& contents) const;
  void Confirm(Duration age, std::optional<Duration> proof_age);
  void ReportGap();
  // Returns whether a response of this era may be used.
  bool AcceptEra(Era era);

  IRecordStore* store_ = nullptr;
  RecordKind kind_;
  Handler handler_;
  FeedSettings settings_;
  eventloop::Timer timer_;
  bool has_snapshot_ = false;
  bool is_paused_ = true;
  bool needs_list_ = true;
  bool is_second_call_ = false;  // The last watch failed, and its failure is not reported yet.
  bool is_after_failed_watch_ = false;  // A list has replaced a failed watch; none succeeded since.
  bool history_gone_ = false;           // The last watch failed with kHistoryGone.
  bool is_next_watch_short_ = false;    // Use a short wait to confirm the content soon.
  // Increases when pending calls are abandoned. Responses to calls of an earlier generation are
  // ignored.
  std::uint64_t generation_ = 0;
  Consistency consistency_ = Consistency::kStale;
  std::vector<StoredRecord> listed_records_;  // Of the pages received so far.
  Revision listed_revision_ = 0;
  Time list_started_at_{};
  Revision revision_ = 0;
  Duration retry_delay_;
  Time confirmed_at_{};
  Time proved_at_{};
};

}  // namespace monsoonshelf::gateway
