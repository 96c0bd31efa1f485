#include "entry/internal/send_relay.h"

#include <utility>

#include "entry/internal/call_headers.h"

namespace monsoonshelf::entry {

using dispatch::SendResult;

namespace {

std::size_t MaxRecordedBodyBytes() { return outcomes::OutcomeTableLimits().max_body_bytes_; }

}  // namespace

void SendRelay::Start(SendCommand command) {
  const SendId id = command.request_.id_;
  TargetRequest request = std::move(command.request_);
  relays_[id].command_ = std::move(command);
  client_->Start(std::move(request));
}

bool SendRelay::Succeeded(const Relay& relay) {
  return relay.head_.outcome_ == CallOutcome::kAnswered &&
         (relay.head_.status_ < 500 || relay.command_.purpose_ != SendPurpose::kTarget);
}

void SendRelay::OnHead(SendId id, ResponseHead head) {
  Relay& relay = relays_.at(id);
  relay.returned_retry_budget_ = head.retry_budget_;
  if (relay.command_.purpose_ == SendPurpose::kSpill) {
    relay.shard_load_ = head.shard_load_;
  }
  if (!relay.command_.shard_load_.empty()) {
    head.headers_.emplace_back(kShardLoadHeader, relay.command_.shard_load_);
  }
  if (!head.retry_budget_ || *head.retry_budget_ > relay.command_.retry_budget_) {
    head.retry_budget_ = relay.command_.retry_budget_;
  }
  if (relay.command_.purpose_ == SendPurpose::kTarget && head.outcome_ == CallOutcome::kAnswered) {
    head.code_ = ResultCode::kOk;
  }
  relay.head_ = std::move(head);
  const bool small = relay.head_.body_length_ >= 0 &&
                     relay.head_.body_length_ <= static_cast<std::int64_t>(kSmallBodyBytes);
  // Failures are buffered because the call may be retried.
  if (!small && Succeeded(relay)) BeginStream(id, relay);
  client_->ReadChunk(id);
}

void SendRelay::BeginStream(SendId id, Relay& relay) {
  relay.streaming_ = true;
  delegate_.RelayHead(relay.command_.call_, id, relay.head_);
}

void SendRelay::RecordBody(Relay& relay, const std::string& bytes) {
  if (!relay.command_.record_outcome_ || !relay.records_body_) return;
  if (relay.recorded_body_.size() + bytes.size() > MaxRecordedBodyBytes()) {
    relay.records_body_ = false;
    relay.recorded_body_.clear();
    return;
  }
  relay.recorded_body_ += bytes;
}

void SendRelay::OnChunk(SendId id, std::string bytes) {
  Relay& relay = relays_.at(id);
  RecordBody(relay, bytes);
  if (relay.streaming_) {
    // The next chunk is read after the accepting task has written this one to the caller.
    delegate_.RelayChunk(relay.command_.call_, std::move(bytes));
    return;
  }
  relay.body_ += bytes;
  if (relay.body_.size() > kSmallBodyBytes) {
    // A failure whose body is too large to buffer is streamed and not retried.
    BeginStream(id, relay);
    delegate_.RelayChunk(relay.command_.call_, std::exchange(relay.body_, {}));
    return;
  }
  client_->ReadChunk(id);
}

void SendRelay::OnEnd(SendId id, const SendEnd& end) {
  const auto found = relays_.find(id);
  if (found == relays_.end()) return;
  Relay relay = std::move(found->second);
  relays_.erase(found);
  SendReport report;
  report.call_ = relay.command_.call_;
  report.send_ = id;
  report.result_ = end.result_;
  report.load_report_ = end.load_report_;
  report.sent_ = end.sent_;
  report.returned_retry_budget_ = relay.returned_retry_budget_;
  report.shard_load_ = std::move(relay.shard_load_);
  const bool whole = end.result_ == SendResult::kAnswered || end.result_ == SendResult::kFailed ||
                     end.result_ == SendResult::kRefused;
  if (whole && relay.command_.record_outcome_) {
    outcomes::FinishedCall recorded{relay.head_.outcome_, relay.head_.code_,
                                    relay.head_.status_,  "",
                                    relay.recorded_body_, relay.records_body_};
    if (const auto* type = FindHeader(relay.head_.headers_, "Content-Type")) {
      recorded.content_type_ = *type;
    }
    report.recorded_outcome_ = std::move(recorded);
  }
  if (relay.streaming_) {
    report.delivered_ = true;
    delegate_.RelayEnd(relay.command_.call_, whole);
  } else if (whole) {
    BufferedResponse response{std::move(relay.head_), std::move(relay.body_)};
    relay.head_ = {};
    const bool succeeded =
        end.result_ != SendResult::kRefused &&
        (end.result_ == SendResult::kAnswered || relay.command_.purpose_ != SendPurpose::kTarget);
    if (succeeded) {
      report.delivered_ = true;
      delegate_.RelayResponse(relay.command_.call_, std::move(response));
    } else {
      report.response_ = std::move(response);
    }
  }
  delegate_.ReportSend(std::move(report));
}

}  // namespace monsoonshelf::entry
