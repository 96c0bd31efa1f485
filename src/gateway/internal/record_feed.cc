#include "gateway/record_feed.h"

#include <algorithm>
#include <utility>

#include "base/clock.h"
#include "logging/logging.h"

namespace monsoonshelf::gateway {

namespace {

// Wait of a watch that only confirms the content.
constexpr Duration kRetryWait = std::chrono::milliseconds(20);

}  // namespace

RecordFeed::RecordFeed(RecordKind kind, Handler handler)
    : kind_(kind),
      handler_(std::move(handler)),
      timer_(g_main_context_get_thread_default(), [this] { Step(); }),
      retry_(settings_.first_retry_) {}

void RecordFeed::ReadFrom(IRecordStore& store, const FeedSettings& settings) {
  store_ = &store;
  settings_ = settings;
  Restart();
}

void RecordFeed::Pause() {
  ++generation_;
  timer_.Clear();
}

void RecordFeed::Restart() {
  ++generation_;
  retry_ = settings_.first_retry_;
  Step();
}

void RecordFeed::Step() {
  timer_.Clear();
  if (must_list_) {
    List({});
  } else {
    Watch();
  }
}

void RecordFeed::List(const std::string& after) {
  if (after.empty()) pages_.clear();
  store_->List(kind_, after, consistency_, settings_.list_timeout_,
               [this, generation = generation_](StorePage page) {
                 if (generation == generation_) OnPage(std::move(page));
               });
}

void RecordFeed::OnPage(StorePage page) {
  if (page.status_ != StoreStatus::kOk) {
    RetryLater();
    return handler_.on_status_(page.status_, Duration(0));
  }
  confirmed_ = std::max(confirmed_, Now() - page.age_);
  confirm_soon_ = false;
  // Pages may differ in age. Watching from the oldest revision repeats changes but misses none.
  pages_revision_ = pages_.empty() ? page.revision_ : std::min(pages_revision_, page.revision_);
  std::move(page.records_.begin(), page.records_.end(), std::back_inserter(pages_));
  if (page.has_more_ && !pages_.empty()) return List(pages_.back().name_);
  must_list_ = false;
  has_snapshot_ = true;
  retry_ = settings_.first_retry_;
  // A stale list must not take back what is known already; the watch repeats its changes.
  if (pages_revision_ >= revision_) {
    revision_ = pages_revision_;
    handler_.on_snapshot_(pages_, revision_);
  }
  pages_.clear();
  const std::uint64_t generation = generation_;
  handler_.on_status_(StoreStatus::kOk, page.age_);
  if (generation != generation_) return;
  if (settings_.first_watch_pause_.count() > 0) {
    confirm_soon_ = true;
    timer_.Set(Now() + settings_.first_watch_pause_);
  } else {
    Watch();
  }
}

void RecordFeed::Watch() {
  // After a failure, and for the first time, an answer without a change is as good as one with a
  // change: it confirms the content.
  const Duration wait = confirm_soon_ ? kRetryWait : settings_.watch_wait_;
  store_->Watch(kind_, revision_, wait, wait + settings_.watch_slack_,
                [this, generation = generation_](const StoreEvents& events) {
                  if (generation == generation_) OnEvents(events);
                });
}

void RecordFeed::OnEvents(const StoreEvents& events) {
  if (events.status_ == StoreStatus::kHistoryGone) {
    logging::LogEvent(logging::LogLevel::kWarning, "history_gone",
                      {{"kind", std::string(NameOf(kRecordKindNames, kind_))},
                       {"revision", std::to_string(revision_)}});
    must_list_ = true;
    // A stale list could be older than the history that is left.
    consistency_ = Consistency::kLatest;
    Step();
    return handler_.on_status_(events.status_, Duration(0));
  }
  if (events.status_ != StoreStatus::kOk) {
    RetryLater();
    return handler_.on_status_(events.status_, Duration(0));
  }
  confirmed_ = std::max(confirmed_, Now() - events.age_);
  confirm_soon_ = false;
  retry_ = settings_.first_retry_;
  timer_.Set(Now() + settings_.watch_pause_);
  revision_ = std::max(revision_, events.revision_);
  if (!events.events_.empty()) handler_.on_events_(events.events_, revision_);
  handler_.on_status_(StoreStatus::kOk, events.age_);
}

void RecordFeed::RetryLater() {
  confirm_soon_ = true;
  timer_.Set(Now() + retry_);
  // Grows fast: each call is paid, and an outage that isn't over soon lasts for seconds.
  retry_ = std::min(retry_ * 4, settings_.last_retry_);
}

}  // namespace monsoonshelf::gateway
