#include "gateway/internal/call_attempt.h"

#include <utility>

#include "base/clock.h"
#include "logging/logging.h"

namespace monsoonshelf::gateway {

namespace {

// Response bodies up to this size are forwarded when they are complete, so that the request can be
// retried if the response breaks off. Larger ones are streamed.
constexpr std::size_t kMaxBodyBuffer = std::size_t{1} << 20;
// Maximum size of the response with an error status that is kept in case all attempts fail, in
// bytes, and of other responses that may be forwarded only when they are complete (3xx, 4xx).
constexpr std::uint64_t kMaxCompleteResponseBytes = kMaxBodyBuffer;
// Maximum size of a response that cannot be forwarded, in bytes. It is read to its end so that the
// connection can be reused.
constexpr std::uint64_t kMaxUnusableResponseBytes = std::uint64_t{128} * 1024;
// Time that the rest of such a response has after its head. A target sends its short responses at
// once.
constexpr Duration kUnusableResponseGrace = std::chrono::milliseconds(50);

}  // namespace

Call::Attempt::Attempt(Call& call, TargetPtr target, http::ClientConnectionPtr connection,
                       Time sent, double slowness, bool nearly_full)
    : call_(call),
      target_(std::move(target)),
      connection_(std::move(connection)),
      sent_at_(sent),
      slowness_(slowness),
      nearly_full_(nearly_full) {}

void Call::Attempt::Send(Duration time_left) {
  const http::RequestHead& head = call_.request_.head_;
  connection_->SendRequest(
      call_.state_.format_.FormatTargetRequest(head, call_.request_.body_, target_->record_.id_,
                                               time_left, call_.CredentialsForTarget()),
      head.method_ == "HEAD", *this);
}

void Call::Attempt::PauseReading(bool paused) {
  if (paused_ && !paused) last_progress_at_ = Now();
  paused_ = paused;
  connection_->PauseReading(paused);
}

bool Call::Attempt::OnHead(http::ResponseHead& head) {
  TargetResponseInfo response = call_.state_.format_.ReadTargetResponse(head);
  // A late response to a probe has no identifier.
  if (response.call_id_ != call_.info_.id_) {
    logging::LogEvent(logging::LogLevel::kWarning, "extra_answer",
                      {{"call", call_.info_.id_},
                       {"target", target_->record_.id_},
                       {"status", std::to_string(head.status_)},
                       {"belongs_to", response.call_id_.value_or("")}});
    return false;
  }
  if (!response.misdirected_) {
    ApplyTargetNotice(call_.state_, *target_, response.notice_, "response", Now());
  }
  response_ = std::move(response);
  head_ = head;
  if (!IsForwardable()) {
    connection_->LimitResponse(IsUsable() ? kMaxCompleteResponseBytes : kMaxUnusableResponseBytes);
  }
  if (!IsUsable() && (IsIdempotent(call_.route_->kind_) || !IsNotExecuted())) {
    give_up_at_ = Now() + kUnusableResponseGrace;
    call_.SetTimer();
  }
  return true;
}

void Call::Attempt::OnBody(std::string& body) {
  received_bytes_ += body.size();
  last_progress_at_ = Now();
  if (call_.exchange_ == nullptr) {
    // The caller has left, and the request goes on only because it is not idempotent.
    std::string().swap(body_);
    return body.clear();
  }
  if (streamed_) {
    call_.exchange_->WriteChunk(body);
    body.clear();
    if (call_.exchange_->UnsentBytes() > detail::kMaxUnsentBytes) PauseReading(true);
    return;
  }
  if (IsUsable()) body_.append(body);
  body.clear();
  if (body_.size() <= kMaxBodyBuffer || !IsForwardable()) return;
  call_.BeginStreaming(*this);
}

void Call::Attempt::OnDone() {
  const auto self = call_.shared_from_this();
  complete_ = true;
  call_.OnAttemptResponse(*this);
}

void Call::Attempt::OnFailed(http::Failure failure, bool sent) {
  const auto self = call_.shared_from_this();
  if (!sent) --call_.possibly_executed_sends_;
  call_.OnAttemptFailed(*this, sent ? NameOf(http::kFailureNames, failure) : "not_sent");
}

bool Call::Attempt::IsForwardable() const {
  return head_.status_ >= 200 && head_.status_ < 300 && response_.is_signed_ &&
         !response_.is_encoded_ && !response_.not_run_;
}

bool Call::Attempt::IsNotExecuted() const { return response_.not_run_ || response_.misdirected_; }

bool Call::Attempt::IsUsable() const {
  if (!response_.is_signed_ || IsNotExecuted()) return false;
  return !response_.is_encoded_ || (head_.status_ >= 300 && head_.status_ < 500);
}

}  // namespace monsoonshelf::gateway
