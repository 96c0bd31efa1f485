#include "gateway/record_feed.h"

#include <algorithm>
#include <utility>

#include "base/clock.h"
#include "logging/logging.h"

namespace monsoonshelf::gateway {

namespace {

// Added to the wait of a watch before its answer counts as lost.
constexpr Duration kWatchSlack = std::chrono::seconds(2);

}  // namespace

RecordFeed::RecordFeed(IRecordStore& store, RecordKind kind, Handler handler, FeedSettings settings)
    : store_(store),
      kind_(kind),
      handler_(std::move(handler)),
      settings_(settings),
      timer_(g_main_context_get_thread_default(), [this] { Step(); }),
      retry_(settings.first_retry_) {}

void RecordFeed::Start() { Step(); }

void RecordFeed::Restart() {
  if (listing_) return;
  retry_ = settings_.first_retry_;
  Step();
}

void RecordFeed::Step() {
  timer_.Clear();
  if (must_list_) {
    if (!listing_) List({});
  } else {
    Watch();
  }
}

void RecordFeed::List(const std::string& after) {
  if (after.empty()) pages_.clear();
  listing_ = true;
  store_.List(kind_, after, consistency_, settings_.list_timeout_,
              [this](StorePage page) { OnPage(std::move(page)); });
}

void RecordFeed::OnPage(StorePage page) {
  listing_ = false;
  handler_.on_status_(page.status_);
  if (page.status_ != StoreStatus::kOk) return RetryLater();
  confirmed_ = Now();
  // Pages may differ in age. Watching from the oldest revision repeats changes but misses none.
  pages_revision_ = pages_.empty() ? page.revision_ : std::min(pages_revision_, page.revision_);
  std::move(page.records_.begin(), page.records_.end(), std::back_inserter(pages_));
  if (page.more_ && !pages_.empty()) return List(pages_.back().name_);
  must_list_ = false;
  has_snapshot_ = true;
  retry_ = settings_.first_retry_;
  // A stale list must not take back what is known already; the watch repeats its changes.
  if (pages_revision_ >= revision_) {
    revision_ = pages_revision_;
    handler_.on_snapshot_(pages_, revision_);
  }
  pages_.clear();
  Watch();
}

void RecordFeed::Watch() {
  store_.Watch(kind_, revision_, settings_.watch_wait_, settings_.watch_wait_ + kWatchSlack,
               [this](StoreEvents events) { OnEvents(std::move(events)); });
}

void RecordFeed::OnEvents(StoreEvents events) {
  handler_.on_status_(events.status_);
  if (events.status_ == StoreStatus::kHistoryGone) {
    logging::LogEvent(logging::LogLevel::kWarning, "history_gone",
                      {{"kind", std::string(NameOf(kRecordKindNames, kind_))},
                       {"revision", std::to_string(revision_)}});
    must_list_ = true;
    // A stale list could be older than the history that is left.
    consistency_ = Consistency::kLatest;
    return Step();
  }
  if (events.status_ != StoreStatus::kOk) return RetryLater();
  confirmed_ = Now();
  retry_ = settings_.first_retry_;
  for (const StoreEvent& event : events.events_) handler_.on_event_(event);
  revision_ = std::max(revision_, events.revision_);
  timer_.Set(Now() + settings_.watch_pause_);
}

void RecordFeed::RetryLater() {
  timer_.Set(Now() + retry_);
  retry_ = std::min(retry_ * 2, settings_.last_retry_);
}

}  // namespace monsoonshelf::gateway
