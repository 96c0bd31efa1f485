#pragma once

#include <glib.h>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gateway/irecord_store.h"

namespace monsoonshelf::gateway::tests {

// In-memory store. Callbacks run from the main context, as those of the real store do.
class MockRecordStore : public IRecordStore {
 public:
  struct ListCall {
    RecordKind kind_;
    Consistency consistency_;
  };

  void Put(RecordKind kind, StoredRecord record) {
    record.revision_ = ++revision_;
    if (record.text_.empty()) record.text_ = record.name_;
    records_[kind][record.name_] = record;
    changes_.push_back({kind, {record, false}});
    EndChangedWatches();
  }
  void Delete(RecordKind kind, const std::string& name) {
    ++revision_;
    StoredRecord record;
    record.name_ = name;
    record.revision_ = revision_;
    records_[kind].erase(name);
    changes_.push_back({kind, {record, true}});
    EndChangedWatches();
  }
  // Goes back to the content at the time of MakeCopy, in the next era. Waiting watches remain and
  // continue at their revision, which is then reissued.
  void MakeCopy() { copy_ = {records_, revision_, changes_}; }
  void RestoreCopy() {
    records_ = copy_.records_;
    revision_ = copy_.revision_;
    changes_ = copy_.changes_;
    ++era_;
  }
  // Discards all history without ending watches.
  void Compact() { history_begin_ = revision_; }
  // Ends the waiting watches that have changes or an error to return.
  void EndChangedWatches() {
    if (suppress_watch_events_) return;
    auto watches = std::move(watches_);
    watches_.clear();
    for (auto& [kind, watch] : watches) ReplyOrWait(kind, std::move(watch));
  }
  // Returns whether at least `count` watches wait.
  bool HasWaitingWatches(std::size_t count) const { return watches_.size() >= count; }
  // Ends waiting watches of a kind, or of all kinds, as if their wait had elapsed.
  void ExpireWatches(std::optional<RecordKind> only = std::nullopt) {
    auto watches = std::move(watches_);
    watches_.clear();
    for (auto& [kind, watch] : watches) {
      if (only && kind != *only) {
        watches_.emplace_back(kind, std::move(watch));
      } else {
        Reply(std::move(watch.callback_), EventsFor(kind, watch.after_));
      }
    }
  }

  void List(RecordKind kind, const std::string& /*after*/, Consistency consistency,
            Duration /*timeout*/, PageCallback callback) override {
    list_calls_.push_back({kind, consistency});
    StorePage page;
    page.status_ = status_;
    page.era_ = era_;
    page.is_stale_ = consistency == Consistency::kStale;
    if (status_ == StoreStatus::kOk) {
      const auto& source =
          consistency == Consistency::kStale && stale_records_ ? *stale_records_ : records_;
      const auto found = source.find(kind);
      if (found != source.end()) {
        for (const auto& [name, record] : found->second) page.records_.push_back(record);
      }
      page.revision_ =
          consistency == Consistency::kStale && stale_records_ ? stale_revision_ : revision_;
    }
    Reply(std::move(callback), page);
  }

  // Watches with a wait of 100 ms or more end only through changes or ExpireWatches().
  void Watch(RecordKind kind, Revision revision, Duration wait, Duration /*timeout*/,
             EventsCallback callback) override {
    ++watch_calls_;
    if (wait < std::chrono::milliseconds(100)) {
      return Reply(std::move(callback), EventsFor(kind, revision));
    }
    ReplyOrWait(kind, {revision, std::move(callback)});
  }

  void CreateHost(const HostRecord& host, Duration /*timeout*/, WriteCallback callback) override {
    ++write_calls_;
    if (status_ != StoreStatus::kOk) return Reply(std::move(callback), StoreWrite{status_, 0});
    if (records_[RecordKind::kHost].contains(host.name_)) {
      const Revision present = records_[RecordKind::kHost][host.name_].revision_;
      return Reply(std::move(callback), StoreWrite{StoreStatus::kConflict, present, era_});
    }
    Put(RecordKind::kHost, {host.name_, 0, host, {}, {}});
    Reply(std::move(callback), StoreWrite{StoreStatus::kOk, revision_, era_});
  }
  void ReplaceHost(const HostRecord& host, Revision /*expected*/, Duration /*timeout*/,
                   WriteCallback callback) override {
    ++write_calls_;
    if (status_ != StoreStatus::kOk) return Reply(std::move(callback), StoreWrite{status_, 0});
    Put(RecordKind::kHost, {host.name_, 0, host, {}, {}});
    Reply(std::move(callback), StoreWrite{StoreStatus::kOk, revision_, era_});
  }

  void WriteRolloutState(const RolloutOrder& order, RolloutState state, Duration /*timeout*/,
                         WriteCallback callback) override {
    ++write_calls_;
    if (status_ != StoreStatus::kOk) return Reply(std::move(callback), StoreWrite{status_, 0});
    StoredRecord record = records_[RecordKind::kRollout][order.service_];
    if (record.revision_ != order.revision_) {
      return Reply(std::move(callback), StoreWrite{StoreStatus::kConflict, record.revision_});
    }
    std::get<RolloutOrder>(record.value_).state_ = state;
    record.text_ += std::string(" ") + std::string(NameOf(kRolloutStateNames, state));
    Put(RecordKind::kRollout, record);
    rollout_writes_.push_back(state);
    // The write has taken effect, also if its response is lost.
    const bool is_lost = std::exchange(loses_rollout_response_, false);
    Reply(std::move(callback),
          StoreWrite{is_lost ? StoreStatus::kUnreachable : StoreStatus::kOk, revision_});
  }

  using Records = std::map<RecordKind, std::map<std::string, StoredRecord>>;
  Records records_;
  std::optional<Records> stale_records_;  // Content of stale lists; unset for the current records.
  Revision stale_revision_ = 0;
  Revision revision_ = 1;
  Revision history_begin_ = 0;
  StoreStatus status_ = StoreStatus::kOk;
  StoreStatus watch_status_ = StoreStatus::kOk;  // Of watches alone.
  bool suppress_watch_events_ = false;           // Changes do not end watches.
  std::vector<ListCall> list_calls_;
  int watch_calls_ = 0;
  int write_calls_ = 0;
  bool loses_rollout_response_ = false;       // Of the next write of a roll-out.
  std::vector<RolloutState> rollout_writes_;  // That took effect.
  Era era_ = 0;                               // Unknown unless a test sets it.

 private:
  struct WaitingWatch {
    Revision after_;
    EventsCallback callback_;
  };

  StoreEvents EventsFor(RecordKind kind, Revision after) const {
    StoreEvents events;
    events.status_ = status_ == StoreStatus::kOk ? watch_status_ : status_;
    events.era_ = era_;
    if (events.status_ != StoreStatus::kOk) return events;
    if (after < history_begin_ || (era_ > 1 && after > revision_)) {
      events.status_ = StoreStatus::kHistoryGone;
      return events;
    }
    for (const auto& [changed, event] : changes_) {
      if (changed == kind && event.record_.revision_ > after) events.events_.push_back(event);
    }
    events.revision_ = revision_;
    return events;
  }

  void ReplyOrWait(RecordKind kind, WaitingWatch watch) {
    StoreEvents events = EventsFor(kind, watch.after_);
    if (events.status_ == StoreStatus::kOk && (events.events_.empty() || suppress_watch_events_)) {
      watches_.emplace_back(kind, std::move(watch));
      return;
    }
    Reply(std::move(watch.callback_), std::move(events));
  }

  template <typename Callback, typename Value>
  void Reply(Callback callback, Value value) {
    auto* call = new std::function<void()>(
        [callback = std::move(callback), value = std::move(value)] { callback(value); });
    GSource* source = g_idle_source_new();
    g_source_set_priority(source, G_PRIORITY_DEFAULT);
    g_source_set_callback(
        source,
        [](gpointer data) -> gboolean {
          (*static_cast<std::function<void()>*>(data))();
          return G_SOURCE_REMOVE;
        },
        call, [](gpointer data) { delete static_cast<std::function<void()>*>(data); });
    g_source_attach(source, g_main_context_get_thread_default());
    g_source_unref(source);
  }

  struct Copy {
    Records records_;
    Revision revision_ = 1;
    std::deque<std::pair<RecordKind, StoreEvent>> changes_;
  };

  std::deque<std::pair<RecordKind, StoreEvent>> changes_;
  Copy copy_;
  std::vector<std::pair<RecordKind, WaitingWatch>> watches_;
};

}  // namespace monsoonshelf::gateway::tests
