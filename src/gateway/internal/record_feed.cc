#include "gateway/record_feed.h"

#include <algorithm>
#include <utility>

#include "base/clock.h"
#include "logging/logging.h"

namespace monsoonshelf::gateway {

namespace {

// Wait of a watch that is meant to confirm the content soon.
constexpr Duration kShortWatchWait = std::chrono::milliseconds(20);

}  // namespace

RecordFeed::RecordFeed(RecordKind kind, Handler handler)
    : kind_(kind),
      handler_(std::move(handler)),
      timer_(g_main_context_get_thread_default(), [this] { ListOrWatch(); }),
      retry_delay_(settings_.min_retry_delay_) {}

void RecordFeed::ReadFrom(IRecordStore& store, const FeedSettings& settings) {
  store_ = &store;
  settings_ = settings;
  history_gone_ = false;
  is_next_watch_short_ = is_next_watch_short_ || settings.confirms_at_once_;
  Restart();
}

void RecordFeed::Pause() {
  is_paused_ = true;
  ++generation_;
  is_second_call_ = false;
  timer_.Clear();
}

void RecordFeed::Restart() {
  is_paused_ = false;
  ++generation_;
  is_second_call_ = false;
  retry_delay_ = settings_.min_retry_delay_;
  ListOrWatch();
}

void RecordFeed::RequestList() {
  needs_list_ = true;
  consistency_ = Consistency::kLatest;
}

void RecordFeed::BeginEra() {
  revision_ = 0;
  listed_revision_ = 0;
  history_gone_ = false;
  RequestList();
  if (!is_paused_) Restart();
}

bool RecordFeed::AcceptEra(Era era) {
  const std::uint64_t generation = generation_;
  if (handler_.on_era_ == nullptr || handler_.on_era_(era)) return true;
  // The handler has begun a new era, or the response is of an earlier one.
  if (generation == generation_) {
    is_second_call_ = false;
    RequestList();
    ScheduleRetry();
  }
  return false;
}

void RecordFeed::ListOrWatch() {
  timer_.Clear();
  if (needs_list_) {
    List({});
  } else {
    Watch();
  }
}

void RecordFeed::List(const std::string& after) {
  if (after.empty()) {
    listed_records_.clear();
    list_started_at_ = Now();
  }
  store_->List(kind_, after, consistency_,
               is_second_call_ ? settings_.second_call_timeout_ : settings_.list_timeout_,
               [this, generation = generation_](StorePage page) {
                 if (generation == generation_) OnPage(std::move(page));
               });
}

void RecordFeed::OnPage(StorePage page) {
  if (!AcceptEra(page.era_)) return;
  const bool was_second_call = std::exchange(is_second_call_, false);
  if (page.status_ != StoreStatus::kOk) {
    // After a failed watch the content may still be continued from its revision.
    if (was_second_call && has_snapshot_) needs_list_ = false;
    ScheduleRetry();
    return handler_.on_status_(page.status_);
  }
  is_next_watch_short_ = settings_.confirms_at_once_ && page.is_stale_;
  // Pages may have different revisions. Watching from the oldest one may repeat changes, but misses
  // none.
  listed_revision_ =
      listed_records_.empty() ? page.revision_ : std::min(listed_revision_, page.revision_);
  std::move(page.records_.begin(), page.records_.end(), std::back_inserter(listed_records_));
  if (page.has_more_ && !listed_records_.empty()) return List(listed_records_.back().name_);
  needs_list_ = false;
  has_snapshot_ = true;
  if (!history_gone_) retry_delay_ = settings_.min_retry_delay_;
  // A stale list must not replace newer content; the watch delivers the changes after it. The same
  // holds for the list of a host that is behind; it confirms nothing unless it has the same
  // records.
  const bool is_current = listed_revision_ >= revision_;
  revision_ = std::max(revision_, listed_revision_);
  // Followers get the changes with the age of this response, so a list of the store confirms them
  // before they are passed on.
  const bool confirms = !page.is_stale_;
  // Later pages do not show changes to records on earlier pages.
  if (page.proof_age_) {
    page.proof_age_ = std::max(*page.proof_age_, Duration(Now() - list_started_at_));
  }
  if (!is_current) page.proof_age_.reset();
  if (confirms && page.contents_.empty()) Confirm(page.age_, page.proof_age_);
  if (is_current) handler_.on_snapshot_(listed_records_, revision_);
  listed_records_.clear();
  if (was_second_call) {
    // The watches may still hear nothing. A short one shows when that has ended.
    is_after_failed_watch_ = true;
    is_next_watch_short_ = true;
    ReportGap();
  }
  if (confirms && !page.contents_.empty() && HasContentOf(page.contents_)) {
    Confirm(page.age_, page.proof_age_);
  }
  const std::uint64_t generation = generation_;
  handler_.on_status_(StoreStatus::kOk);
  if (generation != generation_) return;
  if (settings_.only_lists_) return;
  if (needs_list_) {
    timer_.Set(Now() + settings_.watch_pause_);
  } else {
    Watch();
  }
}

void RecordFeed::Watch() {
  // After a failure, and for the first watch after a delay, a short wait is used: a response
  // without changes is enough to confirm the content.
  const Duration wait = is_next_watch_short_ ? kShortWatchWait : settings_.watch_wait_;
  const Duration margin =
      is_second_call_ ? settings_.second_call_timeout_ : settings_.watch_timeout_margin_;
  store_->Watch(kind_, revision_, wait, wait + margin,
                [this, generation = generation_](const StoreEvents& events) {
                  if (generation == generation_) OnEvents(events);
                });
}

bool RecordFeed::CallAgain(StoreStatus status) {
  // A refusal is an answer of the store.
  if (status != StoreStatus::kUnreachable ||
      settings_.after_failed_watch_ == AfterFailedWatch::kReport ||
      std::exchange(is_second_call_, true)) {
    is_second_call_ = false;
    return false;
  }
  is_next_watch_short_ = true;
  if (settings_.after_failed_watch_ == AfterFailedWatch::kList) RequestList();
  ListOrWatch();
  return true;
}

void RecordFeed::OnEvents(const StoreEvents& events) {
  if (!AcceptEra(events.era_)) return;
  if (events.status_ == StoreStatus::kHistoryGone) {
    logging::LogEvent(logging::LogLevel::kWarning, "history_gone",
                      {{"kind", std::string(NameOf(kRecordKindNames, kind_))},
                       {"revision", std::to_string(revision_)}});
    needs_list_ = true;
    is_second_call_ = false;
    // A stale list could be older than the remaining history.
    consistency_ = Consistency::kLatest;
    // If a watch fails right after such a list too, the store keeps no history at the moment, and
    // listing at once would repeat without end.
    if (std::exchange(history_gone_, true)) {
      ScheduleRetry();
    } else {
      ListOrWatch();
    }
    return handler_.on_status_(events.status_);
  }
  if (events.status_ != StoreStatus::kOk) {
    if (CallAgain(events.status_)) return;
    ScheduleRetry();
    return handler_.on_status_(events.status_);
  }
  revision_ = std::max(revision_, events.revision_);
  // As in OnPage.
  if (events.contents_.empty()) Confirm(events.age_, events.proof_age_);
  is_next_watch_short_ = false;
  history_gone_ = false;
  is_second_call_ = false;
  retry_delay_ = settings_.min_retry_delay_;
  timer_.Set(Now() + settings_.watch_pause_);
  if (!events.events_.empty()) handler_.on_events_(events.events_, revision_);
  if (HasContentOf(events.contents_)) {
    Confirm(events.age_, events.proof_age_);
  } else {
    // The timer that was set above lists the records.
    needs_list_ = true;
  }
  if (std::exchange(is_after_failed_watch_, false)) ReportGap();
  handler_.on_status_(StoreStatus::kOk);
}

bool RecordFeed::HasContentOf(const ContentVersions& contents) const {
  return contents.empty() || handler_.on_contents_ == nullptr || handler_.on_contents_(contents);
}

void RecordFeed::ReportGap() {
  if (handler_.on_gap_ != nullptr) handler_.on_gap_();
}

void RecordFeed::Confirm(Duration age, std::optional<Duration> proof_age) {
  if (proof_age) proved_at_ = std::max(proved_at_, Now() - *proof_age);
  confirmed_at_ = std::max(confirmed_at_, Now() - age);
  if (handler_.on_confirmed_ != nullptr) handler_.on_confirmed_(revision_);
}

void RecordFeed::ScheduleRetry() {
  is_next_watch_short_ = true;
  timer_.Set(Now() + retry_delay_);
  // The delay grows fast, because each call is billed and an outage that does not end soon lasts
  // for seconds.
  retry_delay_ = std::min(retry_delay_ * 4, settings_.max_retry_delay_);
}

}  // namespace monsoonshelf::gateway
