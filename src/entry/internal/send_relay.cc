#include "entry/internal/send_relay.h"

#include <utility>

#include "entry/internal/call_headers.h"

namespace monsoonshelf::entry {

using dispatch::SendResult;

namespace {

std::size_t KeptBytes() { return outcomes::OutcomeTableLimits().max_body_bytes_; }

}  // namespace

void SendRelay::Start(SendOrder order) {
  const SendId id = order.request_.id_;
  TargetRequest request = std::move(order.request_);
  relays_[id].order_ = std::move(order);
  client_->Start(std::move(request));
}

bool SendRelay::Succeeded(const Relay& relay) {
  return relay.head_.outcome_ == CallOutcome::kAnswered &&
         (relay.head_.status_ < 500 || relay.order_.purpose_ != SendPurpose::kTarget);
}

void SendRelay::OnHead(SendId id, ResponseHead head) {
  Relay& relay = relays_.at(id);
  relay.returned_budget_ = head.retry_budget_;
  if (relay.order_.purpose_ == SendPurpose::kSpill) {
    relay.shard_load_ = head.shard_load_;
  }
  if (!relay.order_.shard_load_.empty()) {
    head.headers_.emplace_back(kShardLoadHeader, relay.order_.shard_load_);
  }
  if (!head.retry_budget_ || *head.retry_budget_ > relay.order_.retry_budget_) {
    head.retry_budget_ = relay.order_.retry_budget_;
  }
  if (relay.order_.purpose_ == SendPurpose::kTarget && head.outcome_ == CallOutcome::kAnswered) {
    head.code_ = ResultCode::kOk;
  }
  relay.head_ = std::move(head);
  const bool small = relay.head_.body_length_ >= 0 &&
                     relay.head_.body_length_ <= static_cast<std::int64_t>(kSmallBodyBytes);
  // Failures are buffered, because the call may be sent again.
  if (!small && Succeeded(relay)) BeginStream(id, relay);
  client_->Read(id);
}

void SendRelay::BeginStream(SendId id, Relay& relay) {
  relay.streaming_ = true;
  port_.Head(relay.order_.call_, id, relay.head_);
}

void SendRelay::Keep(Relay& relay, const std::string& bytes) {
  if (!relay.order_.keep_ || !relay.keeps_body_) return;
  if (relay.kept_.size() + bytes.size() > KeptBytes()) {
    relay.keeps_body_ = false;
    relay.kept_.clear();
    return;
  }
  relay.kept_ += bytes;
}

void SendRelay::OnChunk(SendId id, std::string bytes) {
  Relay& relay = relays_.at(id);
  Keep(relay, bytes);
  if (relay.streaming_) {
    // The next piece is read when the caller's task has written this one.
    port_.Chunk(relay.order_.call_, std::move(bytes));
    return;
  }
  relay.body_ += bytes;
  if (relay.body_.size() > kSmallBodyBytes) {
    // A failure with a large body is passed on as it is.
    BeginStream(id, relay);
    port_.Chunk(relay.order_.call_, std::exchange(relay.body_, {}));
    return;
  }
  client_->Read(id);
}

void SendRelay::OnEnd(SendId id, const SendEnd& end) {
  const auto found = relays_.find(id);
  if (found == relays_.end()) return;
  Relay relay = std::move(found->second);
  relays_.erase(found);
  SendReport report;
  report.call_ = relay.order_.call_;
  report.send_ = id;
  report.result_ = end.result_;
  report.report_ = end.report_;
  report.sent_ = end.sent_;
  report.returned_budget_ = relay.returned_budget_;
  report.shard_load_ = std::move(relay.shard_load_);
  const bool whole = end.result_ == SendResult::kAnswered || end.result_ == SendResult::kFailed ||
                     end.result_ == SendResult::kRefused;
  if (whole && relay.order_.keep_) {
    outcomes::FinishedCall kept{relay.head_.outcome_, relay.head_.code_, relay.head_.status_, "",
                                relay.kept_,          relay.keeps_body_};
    if (const auto* type = FindHeader(relay.head_.headers_, "Content-Type")) {
      kept.content_type_ = *type;
    }
    report.kept_ = std::move(kept);
  }
  if (relay.streaming_) {
    report.delivered_ = true;
    port_.End(relay.order_.call_, whole);
  } else if (whole) {
    WholeResponse response{std::move(relay.head_), std::move(relay.body_)};
    relay.head_ = {};
    const bool succeeded =
        end.result_ != SendResult::kRefused &&
        (end.result_ == SendResult::kAnswered || relay.order_.purpose_ != SendPurpose::kTarget);
    if (succeeded) {
      report.delivered_ = true;
      port_.Whole(relay.order_.call_, std::move(response));
    } else {
      report.response_ = std::move(response);
    }
  }
  port_.Report(std::move(report));
}

}  // namespace monsoonshelf::entry
