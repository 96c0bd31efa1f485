#pragma once

#include <algorithm>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "eventloop/timer.h"
#include "gateway/irecord_store.h"

namespace monsoonshelf::gateway::tests {

// In-memory store that several hosts read, each through a view of its own that can be rejected or
// silenced. Watches end after their wait, and calls without a response after their timeout.
class SharedStore {
 public:
  enum class Access {
    kServed,
    kReset,    // Calls fail at once, the waiting ones too.
    kRefused,  // New calls are refused at once.
    kSilent,   // No call gets a response.
  };

  class View : public IRecordStore {
   public:
    explicit View(SharedStore& store)
        : store_(store), timer_(g_main_context_get_thread_default(), [this] { OnTimer(); }) {}

    // The process that made the pending calls has ended.
    void DropPendingCalls() { pending_.clear(); }
    // Calls that are pending get no response, as on connections that died.
    void LosePendingCalls() {
      for (PendingCall& call : pending_) call.is_lost_ = true;
      SetTimer();
    }
    // Pending calls fail at once, as on connections that were reset.
    void ResetPendingCalls() {
      for (PendingCall& call : pending_) call.is_reset_ = true;
      SetTimer();
    }

    void SetAccess(Access access) {
      access_ = access;
      if (access == Access::kReset) {
        for (PendingCall& call : pending_) call.end_at_ = Now();
      }
      SetTimer();
    }

    void List(RecordKind kind, const std::string& /*after*/, Consistency consistency,
              Duration timeout, PageCallback callback) override {
      ++calls_;
      if (consistency == Consistency::kLatest) CountRead();
      Add(kind, -1, Duration(0), timeout, [this, kind, consistency, callback](StoreStatus status) {
        StorePage page;
        page.status_ = status;
        page.era_ = status == StoreStatus::kUnreachable ? 0 : store_.era_;
        page.is_stale_ = consistency == Consistency::kStale;
        if (status == StoreStatus::kOk) {
          for (const auto& [name, record] : store_.records_[kind]) page.records_.push_back(record);
          page.revision_ = store_.revision_;
        }
        callback(page);
      });
    }
    void Watch(RecordKind kind, Revision revision, Duration wait, Duration timeout,
               EventsCallback callback) override {
      ++calls_;
      CountRead();
      pending_.remove_if([kind](const PendingCall& call) { return call.Watches(kind); });
      Add(kind, revision, wait, timeout, [this, kind, revision, callback](StoreStatus status) {
        StoreEvents events;
        events.status_ = status;
        events.era_ = status == StoreStatus::kUnreachable ? 0 : store_.era_;
        if (status == StoreStatus::kOk && !store_.HasHistoryAfter(revision)) {
          events.status_ = StoreStatus::kHistoryGone;
        } else if (status == StoreStatus::kOk) {
          events.revision_ = store_.revision_;
          events.events_ = store_.EventsAfter(kind, revision);
        }
        callback(events);
      });
    }
    void CreateHost(const HostRecord& host, Duration timeout, WriteCallback callback) override {
      ++writes_;
      Add(RecordKind::kHost, -1, Duration(0), timeout, [this, host, callback](StoreStatus status) {
        if (status == StoreStatus::kOk) {
          store_.Put(RecordKind::kHost, {host.name_, 0, host, {}, host.name_});
        }
        callback({status, store_.revision_, store_.era_});
      });
    }
    void ReplaceHost(const HostRecord& host, Revision /*expected*/, Duration timeout,
                     WriteCallback callback) override {
      CreateHost(host, timeout, std::move(callback));
    }

    void WriteRolloutState(const RolloutOrder& order, RolloutState state, Duration timeout,
                           WriteCallback callback) override {
      Add(RecordKind::kRollout, -1, Duration(0), timeout,
          [this, order, state, callback](StoreStatus status) {
            StoredRecord record = store_.records_[RecordKind::kRollout][order.service_];
            if (status == StoreStatus::kOk && record.revision_ != order.revision_) {
              return callback({StoreStatus::kConflict, record.revision_});
            }
            if (status == StoreStatus::kOk) {
              std::get<RolloutOrder>(record.value_).state_ = state;
              store_.Put(RecordKind::kRollout, record);
            }
            callback({status, store_.revision_});
          });
    }

    int calls_ = 0;
    int writes_ = 0;
    int reads_ = 0;          // Watches and latest lists, without stale lists.
    int calls_to_lose_ = 0;  // The next calls that get no response, as on a dead connection.

   private:
    friend class SharedStore;
    struct PendingCall {
      RecordKind kind_;
      Revision after_;  // Of a watch; -1 for other calls.
      Time end_at_;
      Time timeout_at_;
      std::function<void(StoreStatus)> callback_;
      bool is_lost_ = false;
      bool is_reset_ = false;
      bool Watches(RecordKind kind) const { return after_ >= 0 && kind_ == kind; }
    };

    void CountRead() {
      ++reads_;
      store_.reads_.push_back({Now(), this});
    }

    void Add(RecordKind kind, Revision after, Duration wait, Duration timeout,
             std::function<void(StoreStatus)> callback) {
      const bool waits = access_ == Access::kServed || access_ == Access::kSilent;
      const Time now = Now();
      const bool is_lost = calls_to_lose_ > 0;
      if (is_lost) --calls_to_lose_;
      pending_.push_back(
          {kind, after, waits ? now + wait : now, now + timeout, std::move(callback), is_lost});
      SetTimer();
    }

    void OnTimer() {
      const Time now = Now();
      std::list<PendingCall> due;
      for (auto call = pending_.begin(); call != pending_.end();) {
        const auto next = std::next(call);
        if (EndsAt(*call) <= now) due.splice(due.end(), pending_, call);
        call = next;
      }
      for (const PendingCall& call : due) {
        StoreStatus status = StoreStatus::kOk;
        if (access_ == Access::kRefused) status = StoreStatus::kRefused;
        if (call.is_reset_ || access_ == Access::kReset || access_ == Access::kSilent ||
            now >= call.timeout_at_) {
          status = StoreStatus::kUnreachable;
        }
        call.callback_(status);
      }
      SetTimer();
    }

    // A watch of a served host ends early if there is a change.
    Time EndsAt(const PendingCall& call) const {
      if (call.is_reset_) return Time{};
      if (access_ == Access::kSilent || call.is_lost_) return call.timeout_at_;
      if (store_.are_watches_silent_ && call.after_ >= 0) return call.timeout_at_;
      if (access_ == Access::kServed && call.after_ >= 0 &&
          (!store_.HasHistoryAfter(call.after_) ||
           !store_.EventsAfter(call.kind_, call.after_).empty())) {
        return Time{};
      }
      return std::min(call.end_at_, call.timeout_at_);
    }

    void SetTimer() {
      Time next = Time::max();
      for (const PendingCall& call : pending_) next = std::min(next, EndsAt(call));
      if (next != Time::max()) timer_.Set(next);
    }

    SharedStore& store_;
    Access access_ = Access::kServed;
    std::list<PendingCall> pending_;
    eventloop::Timer timer_;
  };

  // A watch or a linearizable list.
  struct Read {
    Time at_;
    const View* view_;
  };

  // Until EndCompaction, watches get no response.
  void BeginCompaction() { are_watches_silent_ = true; }
  // Drops the history and resets the waiting watches, those of one kind only if `only` names it.
  // The other ones then get no response.
  void EndCompaction(std::optional<RecordKind> only = std::nullopt) {
    are_watches_silent_ = false;
    for (const auto& view : views_) {
      for (View::PendingCall& call : view->pending_) {
        if (call.after_ < 0) continue;
        (!only || call.kind_ == *only ? call.is_reset_ : call.is_lost_) = true;
      }
    }
    history_begin_ = revision_;
    for (const auto& view : views_) view->SetTimer();
  }

  // Goes back to the content at the time of MakeCopy, in the next era, and reissues its revisions.
  // Connections stay open.
  void MakeCopy() { copy_ = {records_, changes_, revision_}; }
  void RestoreCopy() {
    records_ = copy_.records_;
    changes_ = copy_.changes_;
    revision_ = copy_.revision_;
    ++era_;
    for (const auto& view : views_) view->SetTimer();
  }
  bool HasHost(const std::string& name) const {
    const auto hosts = records_.find(RecordKind::kHost);
    return hosts != records_.end() && hosts->second.contains(name);
  }

  View& AddView() {
    views_.push_back(std::make_unique<View>(*this));
    return *views_.back();
  }
  void Put(RecordKind kind, StoredRecord record) {
    record.revision_ = ++revision_;
    records_[kind][record.name_] = record;
    changes_.emplace_back(kind, StoreEvent{std::move(record), false});
    for (const auto& view : views_) view->SetTimer();
  }

  std::vector<Read> reads_;
  Era era_ = 0;  // Unknown unless a test sets it.

 private:
  bool HasHistoryAfter(Revision revision) const {
    return revision >= history_begin_ && (era_ <= 1 || revision <= revision_);
  }
  std::vector<StoreEvent> EventsAfter(RecordKind kind, Revision revision) const {
    std::vector<StoreEvent> events;
    for (const auto& [changed, event] : changes_) {
      if (changed == kind && event.record_.revision_ > revision) events.push_back(event);
    }
    return events;
  }

  struct Copy {
    std::map<RecordKind, std::map<std::string, StoredRecord>> records_;
    std::vector<std::pair<RecordKind, StoreEvent>> changes_;
    Revision revision_ = 1;
  };

  Copy copy_;
  std::map<RecordKind, std::map<std::string, StoredRecord>> records_;
  std::vector<std::pair<RecordKind, StoreEvent>> changes_;
  Revision revision_ = 1;
  Revision history_begin_ = 0;
  bool are_watches_silent_ = false;
  std::vector<std::unique_ptr<View>> views_;
};

}  // namespace monsoonshelf::gateway::tests
