#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "gateway/internal/call.h"
#include "http/client_connection.h"

namespace monsoonshelf::gateway {

namespace detail {

// Unsent bytes of a streamed response above which reading from the target is paused.
inline constexpr std::size_t kMaxUnsentBytes = std::size_t{512} * 1024;

}  // namespace detail

// One request to one target.
class Call::Attempt : public http::IExchangeHandler {
 public:
  Attempt(Call& call, TargetPtr target, http::ClientConnectionPtr connection, Time sent,
          double slowness, bool nearly_full);

  void Send(Duration time_left);
  void PauseReading(bool paused);

  bool OnHead(http::ResponseHead& head) override;
  void OnBody(std::string& body) override;
  void OnDone() override;
  void OnFailed(http::Failure failure, bool sent) override;

  // Returns whether the response is a success that may be forwarded unchanged.
  bool IsForwardable() const;
  // Returns whether the target states that it did not execute the request.
  bool IsNotExecuted() const;
  // Returns whether the response may be forwarded when it is complete, at least if all other
  // attempts fail.
  bool IsUsable() const;

  Call& call_;
  TargetPtr target_;
  http::ClientConnectionPtr connection_;
  Time sent_at_;
  double slowness_;
  bool nearly_full_;  // The target, with this request.
  bool is_hedge_ = false;
  http::ResponseHead head_;
  TargetResponseInfo response_;
  std::string body_;
  std::uint64_t received_bytes_ = 0;  // Of the body.
  // When the last byte of the body arrived, or reading began again after a pause.
  Time last_progress_at_{};
  // When the attempt fails although its response is not complete, because it is not usable.
  Time give_up_at_ = Time::max();
  bool complete_ = false;
  bool streamed_ = false;
  bool paused_ = false;  // Reading waits for the caller, or for the turn of the response.
};

}  // namespace monsoonshelf::gateway
