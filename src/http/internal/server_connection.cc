#include "http/server_connection.h"

#include <utility>
#include <vector>

#include "base/clock.h"
#include "http/message_writer.h"

namespace monsoonshelf::http {

namespace {

// Maximum number of bytes read while a request is being processed. Further bytes stay in the socket
// buffer until the response is complete.
constexpr std::size_t kMaxReadAheadBytes = std::size_t{64} * 1024;
// After a graceful close, the socket stays open for this time so that the caller can read the
// response.
constexpr Duration kLingerTime = std::chrono::seconds(1);
// A new connection is not closed as idle within this time, because its first request is on its way.
constexpr Duration kFirstRequestTime = std::chrono::seconds(1);
// Detects callers whose machine disappeared without closing the connection.
constexpr StreamOptions kCallerStreamOptions = {.keep_alive_idle_ = std::chrono::seconds(10),
                                                .user_timeout_ = std::chrono::seconds(10)};

}  // namespace

ServerConnection::ServerConnection(int descriptor, ServerConnections& owner)
    : owner_(owner), state_entered_at_(Now()) {
  stream_ = Stream::Adopt(descriptor, *this, kCallerStreamOptions);
}

ServerConnection::~ServerConnection() = default;

void ServerConnection::OnDataReceived() {
  last_byte_at_ = Now();
  if (state_ == State::kIdle) {
    state_ = State::kReading;
    state_entered_at_ = last_byte_at_;
    request_started_at_ = last_byte_at_;
  }
  if (state_ == State::kReading) {
    ParseInput();
  } else if (stream_->InputBuffer().size() > kMaxReadAheadBytes) {
    stream_->PauseReading(true);
  }
}

// A request may be answered within OnRequest. The next one is then parsed by this loop and not by
// FinishResponse, so that pipelined requests do not exhaust the stack.
void ServerConnection::ParseInput() {
  if (parsing_) return;
  const auto self = shared_from_this();
  parsing_ = true;
  bool is_next = true;
  while (is_next) is_next = ParseRequest() && state_ == State::kReading;
  parsing_ = false;
}

bool ServerConnection::ParseRequest() {
  const auto self = shared_from_this();
  std::string& input = stream_->InputBuffer();
  if (parser_ == nullptr) {
    // Empty lines before a request line are ignored, as RFC 9112 recommends.
    const std::size_t begin = input.find_first_not_of("\r\n");
    input.erase(0, std::min(begin, input.size()));
    if (input.empty()) {
      state_ = State::kIdle;
      return false;
    }
    parser_ = std::make_unique<RequestParser>(owner_.limits_.max_header_bytes_,
                                              owner_.limits_.max_body_bytes_);
    continue_sent_ = false;
  }
  const std::size_t before = parser_->Body().size();
  input.erase(0, parser_->Feed(input));
  owner_.buffered_bytes_ += parser_->Body().size() - before;
  switch (parser_->Error()) {
    case ParseError::kNone:
      break;
    case ParseError::kHeaderTooLarge:
      Reject(431, "header is too large");
      return false;
    case ParseError::kBodyTooLarge:
      Reject(413, "body is too large");
      return false;
    case ParseError::kMalformed:
      Reject(400, "request is malformed");
      return false;
  }
  if (parser_->HasHead() && !parser_->IsDone()) {
    if (owner_.buffered_bytes_ > owner_.max_buffered_bytes_) {
      Reject(503, "request bodies fill memory");
      return false;
    }
    if (parser_->Head().expects_continue_ && !continue_sent_) {
      continue_sent_ = true;
      stream_->Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    return false;
  }
  if (!parser_->IsDone()) return false;
  Request request{std::move(parser_->Head()), std::move(parser_->Body()), request_started_at_};
  owner_.buffered_bytes_ -= request.body_.size();
  parser_.reset();
  state_ = State::kBusy;
  had_request_ = true;
  state_entered_at_ = Now();
  keep_alive_ = request.head_.keep_alive_;
  is_head_ = request.head_.method_ == "HEAD";
  owner_.handler_.OnRequest(self, std::move(request));
  return true;
}

void ServerConnection::Reject(int status, std::string_view reason) {
  if (parser_ != nullptr) owner_.buffered_bytes_ -= parser_->Body().size();
  parser_.reset();
  owner_.handler_.OnRejected(status, reason);
  keep_alive_ = false;
  is_head_ = false;
  state_ = State::kBusy;
  Respond(status, {{"Content-Type", "text/plain"}}, reason, true);
}

void ServerConnection::Respond(int status, const Headers& headers, std::string_view body,
                               bool close) {
  if (state_ != State::kBusy) return;
  close = close || !keep_alive_ || owner_.close_after_response_;
  std::string text = FormatResponseHead(status, headers, body.size(), close);
  if (!is_head_) text.append(body);
  state_ = State::kStreaming;
  stream_->Write(text);
  FinishResponse(close);
}

void ServerConnection::BeginChunkedResponse(int status, const Headers& headers, bool close) {
  if (state_ != State::kBusy) return;
  keep_alive_ = keep_alive_ && !close && !owner_.close_after_response_;
  state_ = State::kStreaming;
  stream_->Write(FormatChunkedHead(status, headers, !keep_alive_));
}

void ServerConnection::WriteChunk(std::string_view bytes) {
  if (state_ != State::kStreaming || bytes.empty() || is_head_) return;
  stream_->Write(FormatChunk(bytes));
}

void ServerConnection::EndChunkedResponse() {
  if (state_ != State::kStreaming) return;
  if (!is_head_) stream_->Write(kLastChunk);
  FinishResponse(!keep_alive_);
}

void ServerConnection::Abort() { CloseNow(); }

void ServerConnection::FinishResponse(bool close) {
  if (stream_ == nullptr) return;
  state_entered_at_ = Now();
  last_byte_at_ = state_entered_at_;
  if (close) return CloseGracefully();
  state_ = State::kIdle;
  stream_->PauseReading(false);
  if (stream_->InputBuffer().empty()) return;
  state_ = State::kReading;
  request_started_at_ = state_entered_at_;
  ParseInput();
}

void ServerConnection::CloseGracefully() {
  state_ = State::kClosing;
  state_entered_at_ = Now();
  stream_->ShutDown();
}

void ServerConnection::OnOutputFlushed() {
  if (state_ == State::kStreaming) owner_.handler_.OnResponseFlushed(shared_from_this());
  if (state_ == State::kClosing) state_entered_at_ = Now();  // The linger time begins.
}

void ServerConnection::OnClosed(Failure failure) {
  const auto self = shared_from_this();
  const bool was_busy = IsBusy();
  // A caller that closes only its sending direction during a request is treated as disconnected
  // too.
  (void)failure;
  CloseNow();
  if (was_busy) owner_.handler_.OnCallerDisconnected(self);
}

void ServerConnection::CloseNow() {
  if (state_ == State::kClosed) return;
  const auto self = shared_from_this();
  if (parser_ != nullptr) owner_.buffered_bytes_ -= parser_->Body().size();
  parser_.reset();
  state_ = State::kClosed;
  stream_.reset();
  owner_.connections_.erase(self);
}

bool ServerConnection::CloseIfIdle() {
  if (state_ != State::kIdle) return false;
  if (!had_request_ && Now() - state_entered_at_ < kFirstRequestTime) return false;
  // A timer can run before the socket is read. A request that has arrived must not be discarded.
  const auto self = shared_from_this();
  stream_->ReceiveNow();
  if (state_ != State::kIdle || !stream_->InputBuffer().empty()) return false;
  CloseGracefully();
  return true;
}

void ServerConnection::CheckReadTimeout(Time now) {
  const auto is_late = [this, now] {
    const bool has_head = parser_ != nullptr && parser_->HasHead();
    return has_head ? now - last_byte_at_ > owner_.limits_.body_timeout_
                    : now - state_entered_at_ > owner_.limits_.header_timeout_;
  };
  if (!is_late()) return;
  // A timer can run before the socket is read. The rest of the request may have arrived in time.
  const auto self = shared_from_this();
  const Time last_byte_at = last_byte_at_;
  stream_->ReceiveNow();
  const bool received_bytes = last_byte_at_ != last_byte_at;
  const bool has_head = parser_ != nullptr && parser_->HasHead();
  if (state_ != State::kReading || (has_head && received_bytes)) return;
  Reject(408, has_head ? "body took too long" : "header took too long");
}

void ServerConnection::CheckTimeouts(Time now) {
  const ServerLimits& limits = owner_.limits_;
  switch (state_) {
    case State::kIdle:
      if (now - state_entered_at_ > limits.idle_timeout_) CloseIfIdle();
      break;
    case State::kReading:
      CheckReadTimeout(now);
      break;
    case State::kClosing:
      if (now - state_entered_at_ > kLingerTime && stream_->UnsentBytes() == 0) CloseNow();
      break;
    case State::kBusy:
    case State::kStreaming:
    case State::kClosed:
      break;
  }
}

ServerConnections::~ServerConnections() {
  const auto connections = std::move(connections_);
  connections_.clear();
  for (const auto& connection : connections) connection->Abort();
}

void ServerConnections::Accept(int descriptor) {
  connections_.insert(std::make_shared<ServerConnection>(descriptor, *this));
}

void ServerConnections::CheckTimeouts(Time now) {
  const std::vector<ServerConnectionPtr> all(connections_.begin(), connections_.end());
  for (const auto& connection : all) {
    if (connection->IsOpen()) connection->CheckTimeouts(now);
  }
}

void ServerConnections::CloseIdle() {
  const std::vector<ServerConnectionPtr> all(connections_.begin(), connections_.end());
  for (const auto& connection : all) {
    if (connection->IsOpen()) connection->CloseIfIdle();
  }
}

ConnectionCounts ServerConnections::CountByState() const {
  ConnectionCounts counts;
  counts.open_ = connections_.size();
  for (const auto& connection : connections_) {
    if (connection->IsReading()) ++counts.reading_;
    if (connection->IsBusy()) ++counts.busy_;
    if (connection->IsClosing()) ++counts.closing_;
    counts.unsent_bytes_ += connection->UnsentBytes();
  }
  return counts;
}

}  // namespace monsoonshelf::http
