#include <algorithm>
#include <utility>

#include "base/clock.h"
#include "http/server_connection.h"

// What a connection holds, and how it is closed when memory or descriptors are short.

namespace monsoonshelf::http {

namespace {

// Memory of a connection without buffers: its objects, their event source and its entry in the set
// of connections. An estimate.
constexpr std::size_t kConnectionBytes = 2048;
// Memory of a parser without the header and the body. An estimate.
constexpr std::size_t kParserBytes = 1024;
// An input buffer larger than this is released when it is mostly empty.
constexpr std::size_t kMaxKeptInputBytes = std::size_t{4} * 1024;

}  // namespace

std::size_t ServerConnection::HeldBytes() const {
  if (stream_ == nullptr) return 0;
  std::size_t bytes = kConnectionBytes + stream_->BufferBytes() + held_bytes_;
  if (parser_ != nullptr) {
    bytes += kParserBytes + head_bytes_ + parser_->FieldBytes() + parser_->Body().size();
  }
  if (next_request_) bytes += head_bytes_ + next_request_->body_.size();
  return bytes;
}

void ServerConnection::UpdateAccount() {
  const std::size_t bytes = HeldBytes();
  if (bytes > accounted_bytes_) {
    owner_.account_->Add(bytes - accounted_bytes_);
  } else {
    owner_.account_->Remove(accounted_bytes_ - bytes);
  }
  accounted_bytes_ = bytes;
}

void ServerConnection::ReleaseBuffers() {
  std::string& input = stream_->InputBuffer();
  if (input.capacity() > std::max(kMaxKeptInputBytes, 2 * input.size())) input.shrink_to_fit();
}

ConnectionLoad ServerConnection::Load(Time now) const {
  ConnectionLoad load;
  load.held_bytes_ = accounted_bytes_;
  bool is_running = false;
  for (const ServerExchangePtr& exchange : exchanges_) {
    load.held_bytes_ += exchange->request_bytes_;
    is_running = is_running || exchange->state_ == ServerExchange::State::kWaiting ||
                 exchange->state_ == ServerExchange::State::kStreaming;
  }
  const bool is_idle = (IsIdle() || state_ == State::kClosing) && UnsentBytes() == 0;
  load.phase_ = is_running ? ConnectionPhase::kRunning
                : is_idle  ? ConnectionPhase::kIdle
                           : ConnectionPhase::kWaiting;
  load.without_progress_ = now - std::max({state_entered_at_, last_byte_at_, sent_at_});
  return load;
}

bool ServerConnection::Shed() {
  const auto self = shared_from_this();
  if (IsIdle() && UnsentBytes() == 0) return CloseIfIdle();
  if (state_ == State::kOpen && parser_ != nullptr && exchanges_.empty()) {
    Reject(503, "memory is short");
  } else {
    ReportDisconnect(CloseNow());
  }
  return true;
}

bool ServerConnection::Replace() {
  const auto self = shared_from_this();
  if (IsIdle() && UnsentBytes() == 0) {
    if (!CloseIfIdle()) return false;
  } else if (state_ == State::kOpen && parser_ != nullptr && exchanges_.empty()) {
    Reject(503, "connections are short");
  }
  if (IsOpen()) ReportDisconnect(CloseNow());
  return true;
}

bool ServerConnection::CheckResponseTimeout(Time now) {
  const std::uint64_t sent = stream_->BytesSent();
  if (sent != std::exchange(bytes_sent_seen_, sent)) sent_at_ = now;
  if (stream_->UnsentBytes() == 0) return false;
  if (now - sent_at_ <= owner_.limits_.response_timeout_) return false;
  const auto self = shared_from_this();
  ReportDisconnect(CloseNow());
  owner_.handler_.OnRejected(0, "response was not read");
  return true;
}

}  // namespace monsoonshelf::http
