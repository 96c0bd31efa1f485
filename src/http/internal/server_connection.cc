#include "http/server_connection.h"

#include <algorithm>
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
  UpdateAccount();
}

ServerConnection::~ServerConnection() = default;

void ServerConnection::OnDataReceived() {
  last_byte_at_ = Now();
  arrival_times_.Add(stream_->InputBuffer().size() - arrival_times_.Remaining(), last_byte_at_);
  const auto self = shared_from_this();
  ReadRequests();
  owner_.account_->ShedIfShort(last_byte_at_);
}

bool ServerConnection::IsIdle() const {
  return state_ == State::kOpen && exchanges_.empty() && !HasUnstartedInput();
}

bool ServerConnection::HasUnstartedInput() const {
  return next_request_.has_value() || parser_ != nullptr || !stream_->InputBuffer().empty();
}

PipelineState ServerConnection::Pipeline() const {
  PipelineState pipeline;
  pipeline.started_ = exchanges_.size();
  pipeline.allows_overlap_ =
      std::all_of(exchanges_.begin(), exchanges_.end(),
                  [](const ServerExchangePtr& exchange) { return exchange->allows_overlap_; });
  pipeline.closes_ = closes_ || owner_.close_after_response_;
  pipeline.held_bytes_ = held_bytes_;
  pipeline.buffered_bytes_ = owner_.buffered_bytes_;
  pipeline.max_buffered_bytes_ = owner_.max_buffered_bytes_;
  return pipeline;
}

// A request may be answered within OnRequest. The next one is then started by this loop and not by
// WriteResponses, so that pipelined requests do not exhaust the stack.
void ServerConnection::ReadRequests() {
  if (reading_requests_ || state_ != State::kOpen) return;
  const auto self = shared_from_this();
  reading_requests_ = true;
  while (state_ == State::kOpen && ReadRequest()) {
  }
  reading_requests_ = false;
  if (state_ != State::kOpen) return;
  stream_->PauseReading(stream_->InputBuffer().size() > kMaxReadAheadBytes);
  ReleaseBuffers();
  UpdateAccount();
}

bool ServerConnection::ReadRequest() {
  // Requests behind the close of the connection are not read; the caller sends them again.
  if (!exchanges_.empty() && Pipeline().closes_) return false;
  if (!next_request_) {
    // Responses to pipelined requests must not fill the output buffer.
    waits_for_output_ = parser_ == nullptr && stream_->UnsentBytes() >= kMaxHeldResponseBytes;
    if (waits_for_output_) return false;
    if (parser_ == nullptr && !MayStartRequest(Pipeline(), true)) return false;
    if (!ParseRequest()) return false;
  }
  if (!exchanges_.empty() &&
      !MayStartRequest(Pipeline(), owner_.handler_.MayOverlap(next_request_->head_))) {
    return false;
  }
  Request request = std::move(*next_request_);
  next_request_.reset();
  owner_.buffered_bytes_ -= request.body_.size();
  StartRequest(std::move(request));
  return true;
}

bool ServerConnection::ParseRequest() {
  std::string& input = stream_->InputBuffer();
  if (parser_ == nullptr) {
    // Empty lines before a request line are ignored, as RFC 9112 recommends.
    const std::size_t empty_bytes = std::min(input.find_first_not_of("\r\n"), input.size());
    input.erase(0, empty_bytes);
    arrival_times_.Remove(empty_bytes);
    if (input.empty()) return false;
    parser_ =
        std::make_unique<RequestParser>(owner_.limits_.max_header_bytes_,
                                        owner_.limits_.max_body_bytes_, owner_.limits_.max_fields_);
    continue_sent_ = false;
    head_bytes_ = 0;
    parsing_since_ = last_byte_at_ = Now();
    request_received_at_ = arrival_times_.First(parsing_since_);
  }
  const std::size_t body_before = parser_->Body().size();
  const std::size_t parsed_bytes = parser_->Feed(input);
  input.erase(0, parsed_bytes);
  arrival_times_.Remove(parsed_bytes);
  owner_.buffered_bytes_ += parser_->Body().size() - body_before;
  if (head_bytes_ == 0 && parser_->HasHead()) head_bytes_ = HeadBytes(parser_->Head());
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
  if (parser_->IsDone()) {
    next_request_ =
        Request{std::move(parser_->Head()), std::move(parser_->Body()), request_received_at_};
    parser_.reset();
    return true;
  }
  if (!parser_->HasHead()) return false;
  if (owner_.buffered_bytes_ > owner_.max_buffered_bytes_) {
    Reject(503, "request bodies fill memory");
    return false;
  }
  // An interim response must not appear before or within the response to an earlier request.
  if (parser_->Head().expects_continue_ && !continue_sent_ && exchanges_.empty()) {
    continue_sent_ = true;
    last_byte_at_ = Now();
    stream_->Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  return false;
}

void ServerConnection::StartRequest(Request request) {
  had_request_ = true;
  const auto exchange = std::make_shared<ServerExchange>(*this, request.head_);
  exchange->request_bytes_ = head_bytes_ + request.body_.size();
  request.charge_ = std::make_shared<MemoryCharge>(owner_.account_, exchange->request_bytes_);
  exchanges_.push_back(exchange);
  if (!exchange->keep_alive_) closes_ = true;
  owner_.handler_.OnRequest(exchange, std::move(request));
}

void ServerConnection::Reject(int status, std::string_view reason) {
  owner_.buffered_bytes_ -= parser_->Body().size();
  parser_.reset();
  owner_.handler_.OnRejected(status, reason);
  RequestHead head;
  head.keep_alive_ = false;
  const auto exchange = std::make_shared<ServerExchange>(*this, head);
  exchanges_.push_back(exchange);
  exchange->Respond(status, {{"Content-Type", "text/plain"}}, reason, true);
}

void ServerConnection::WriteResponses() {
  if (writing_responses_ || state_ != State::kOpen) return;
  const auto self = shared_from_this();
  writing_responses_ = true;
  while (state_ == State::kOpen && !exchanges_.empty()) {
    const ServerExchangePtr first = exchanges_.front();
    const ServerExchange::State state = first->state_;
    WriteHeldPart(*first);
    // The handler may have continued the response, or closed the connection, while it was written.
    if (state_ != State::kOpen || first->state_ != state) continue;
    if (state == ServerExchange::State::kAborted) {
      ReportDisconnect(CloseGracefully());
      break;
    }
    if (state != ServerExchange::State::kComplete) break;
    exchanges_.pop_front();
    state_entered_at_ = last_byte_at_ = Now();
    first->connection_ = nullptr;
    if (first->closes_) CloseGracefully();
  }
  writing_responses_ = false;
  ReadRequests();
}

void ServerConnection::WriteHeldPart(ServerExchange& exchange) {
  if (exchange.state_ == ServerExchange::State::kWaiting) return;
  std::string text;
  if (!exchange.head_written_) {
    // An aborted response of which nothing was written stays without a head.
    if (exchange.status_ == 0) return;
    text = FormatHead(exchange);
    exchange.ReportTurn(Now() - exchange.responded_at_);
  }
  if (!exchange.held_body_.empty()) {
    text += exchange.chunked_ ? FormatChunk(exchange.held_body_) : exchange.held_body_;
    RemoveHeldBytes(exchange.held_body_.size());
    std::string().swap(exchange.held_body_);
  }
  if (exchange.state_ == ServerExchange::State::kComplete && exchange.chunked_ &&
      !exchange.is_head_) {
    text += kLastChunk;
  }
  if (!text.empty()) stream_->Write(text);
}

std::string ServerConnection::FormatHead(ServerExchange& exchange) {
  exchange.head_written_ = true;
  // Only the response to the last started request may close the connection: the ones behind another
  // were passed on, and their responses would be lost.
  exchange.closes_ = exchanges_.back().get() == &exchange && Pipeline().closes_;
  if (exchange.closes_) closes_ = true;
  return exchange.chunked_
             ? FormatChunkedHead(exchange.status_, exchange.headers_, exchange.closes_)
             : FormatResponseHead(exchange.status_, exchange.headers_, exchange.body_bytes_,
                                  exchange.closes_);
}

void ServerConnection::AddHeldBytes(std::size_t bytes) {
  held_bytes_ += bytes;
  owner_.buffered_bytes_ += bytes;
}

void ServerConnection::RemoveHeldBytes(std::size_t bytes) {
  held_bytes_ -= bytes;
  owner_.buffered_bytes_ -= bytes;
}

std::deque<ServerExchangePtr> ServerConnection::TakeExchanges() {
  if (parser_ != nullptr) owner_.buffered_bytes_ -= parser_->Body().size();
  parser_.reset();
  if (next_request_) owner_.buffered_bytes_ -= next_request_->body_.size();
  next_request_.reset();
  RemoveHeldBytes(held_bytes_);
  std::deque<ServerExchangePtr> exchanges = std::exchange(exchanges_, {});
  for (const ServerExchangePtr& exchange : exchanges) {
    exchange->connection_ = nullptr;
    std::string().swap(exchange->held_body_);
    exchange->ReportTurn(std::nullopt);
  }
  return exchanges;
}

void ServerConnection::ReportDisconnect(const std::deque<ServerExchangePtr>& exchanges) {
  for (const ServerExchangePtr& exchange : exchanges) {
    if (exchange->state_ == ServerExchange::State::kWaiting ||
        exchange->state_ == ServerExchange::State::kStreaming) {
      owner_.handler_.OnCallerDisconnected(exchange);
    }
  }
}

std::deque<ServerExchangePtr> ServerConnection::CloseGracefully() {
  state_ = State::kClosing;
  state_entered_at_ = Now();
  std::deque<ServerExchangePtr> exchanges = TakeExchanges();
  stream_->ShutDown();
  ReleaseBuffers();
  UpdateAccount();
  return exchanges;
}

void ServerConnection::OnOutputFlushed() {
  if (state_ == State::kClosing) state_entered_at_ = Now();  // The linger time begins.
  if (state_ != State::kOpen) return;
  const auto self = shared_from_this();
  UpdateAccount();
  // Otherwise the function that writes reads further requests afterwards.
  if (waits_for_output_ && !writing_responses_) ReadRequests();
  if (state_ != State::kOpen || exchanges_.empty()) return;
  const ServerExchangePtr first = exchanges_.front();
  if (first->head_written_ && first->state_ == ServerExchange::State::kStreaming) {
    owner_.handler_.OnResponseFlushed(first);
  }
}

void ServerConnection::OnClosed(Failure failure) {
  const auto self = shared_from_this();
  // A caller that closes only its sending direction during a request is treated as disconnected
  // too.
  (void)failure;
  ReportDisconnect(CloseNow());
}

std::deque<ServerExchangePtr> ServerConnection::CloseNow() {
  if (state_ == State::kClosed) return {};
  const auto self = shared_from_this();
  state_ = State::kClosed;
  std::deque<ServerExchangePtr> exchanges = TakeExchanges();
  stream_.reset();
  UpdateAccount();
  owner_.connections_.erase(self);
  return exchanges;
}

void ServerConnection::Abort() { CloseNow(); }

bool ServerConnection::CloseIfIdle() {
  if (!IsIdle()) return false;
  if (!had_request_ && Now() - state_entered_at_ < kFirstRequestTime) return false;
  // A timer can run before the socket is read. A request that has arrived must not be discarded.
  const auto self = shared_from_this();
  stream_->ReceiveNow();
  if (!IsIdle()) return false;
  CloseGracefully();
  return true;
}

void ServerConnection::CheckReadTimeout(Time now) {
  // The caller waits for the interim response, or its request is not read any more.
  if (parser_->HasHead() && parser_->Head().expects_continue_ && !continue_sent_) return;
  if (!exchanges_.empty() && Pipeline().closes_) return;
  const auto is_late = [this, now] {
    const bool has_head = parser_ != nullptr && parser_->HasHead();
    return has_head ? now - last_byte_at_ > owner_.limits_.body_timeout_
                    : now - parsing_since_ > owner_.limits_.header_timeout_;
  };
  if (!is_late()) return;
  // A timer can run before the socket is read. The rest of the request may have arrived in time.
  const auto self = shared_from_this();
  const Time last_byte_at = last_byte_at_;
  const RequestParser* parser = parser_.get();
  stream_->ReceiveNow();
  const bool received_bytes = last_byte_at_ != last_byte_at;
  const bool has_head = parser_ != nullptr && parser_->HasHead();
  if (state_ != State::kOpen || parser_ == nullptr || parser_.get() != parser) return;
  if (has_head && received_bytes) return;
  Reject(408, has_head ? "body took too long" : "header took too long");
}

void ServerConnection::CheckTimeouts(Time now) {
  if (CheckResponseTimeout(now)) return;
  switch (state_) {
    case State::kOpen:
      if (parser_ != nullptr) {
        CheckReadTimeout(now);
      } else if (now - state_entered_at_ > owner_.limits_.idle_timeout_) {
        CloseIfIdle();
      }
      break;
    case State::kClosing:
      if (now - state_entered_at_ > kLingerTime && stream_->UnsentBytes() == 0) CloseNow();
      break;
    case State::kClosed:
      break;
  }
}

}  // namespace monsoonshelf::http
