#include "http/client_connection.h"

#include <charconv>
#include <utility>

#include "base/clock.h"

namespace monsoonshelf::http {

namespace {

// Responses with a lower status code are interim responses (1xx), which are skipped.
constexpr int kFirstFinalStatus = 200;
// Used if the response has no Keep-Alive header with a timeout.
constexpr Duration kDefaultKeepAliveTimeout = std::chrono::seconds(4);
// An idle connection is not reused within this time before its keep-alive timeout, because the peer
// may close it while a request is on its way.
constexpr Duration kKeepAliveMargin = std::chrono::milliseconds(500);

}  // namespace

ClientConnection::ClientConnection(Address address, const StreamOptions& options)
    : address_(std::move(address)), stream_(Stream::Connect(address_, *this, options)) {}

ClientConnection::~ClientConnection() { *alive_ = false; }

void ClientConnection::SendRequest(const std::string& request, bool is_head,
                                   IExchangeHandler& handler) {
  handler_ = &handler;
  is_head_ = is_head;
  head_delivered_ = false;
  discarding_response_ = false;
  parser_ = std::make_unique<ResponseParser>(is_head);
  bytes_sent_before_ = stream_->BytesSent();
  state_ = State::kBusy;
  ++exchange_count_;
  stream_->Write(request);
}

void ClientConnection::Cancel() {
  handler_ = nullptr;
  state_ = State::kClosed;
  stream_.reset();
}

void ClientConnection::PauseReading(bool paused) {
  if (stream_ != nullptr) stream_->PauseReading(paused);
}

void ClientConnection::OnDataReceived() {
  if (state_ != State::kBusy) {
    // The peer sent bytes without a request. Later bytes could be mistaken for a response, so the
    // connection is closed.
    reusable_ = false;
    state_ = State::kClosed;
    stream_.reset();
    return;
  }
  ParseInput();
}

void ClientConnection::ParseInput() {
  const auto alive = alive_;
  while (state_ == State::kBusy) {
    std::string& input = stream_->InputBuffer();
    const std::size_t consumed = parser_->Feed(input);
    input.erase(0, consumed);
    if (parser_->Error() != ParseError::kNone) return Fail(Failure::kMalformed);
    if (parser_->HasHead() && !head_delivered_) {
      ResponseHead& head = parser_->Head();
      if (head.status_ < kFirstFinalStatus) {
        if (!parser_->IsDone()) return;
        parser_ = std::make_unique<ResponseParser>(is_head_);
        if (input.empty()) return;
        continue;
      }
      head_delivered_ = true;
      if (!head.keep_alive_ || head.is_close_delimited_) reusable_ = false;
      UpdateExpiry(head);
      discarding_response_ = !handler_->OnHead(head);
      if (!*alive || state_ != State::kBusy) return;
      if (discarding_response_) reusable_ = false;
    }
    if (!parser_->Body().empty()) {
      if (discarding_response_) {
        parser_->Body().clear();
      } else {
        handler_->OnBody(parser_->Body());
        if (!*alive || state_ != State::kBusy) return;
      }
    }
    if (!parser_->IsDone()) return;
    if (!discarding_response_) return FinishExchange();
    parser_ = std::make_unique<ResponseParser>(is_head_);
    head_delivered_ = false;
    discarding_response_ = false;
    if (stream_->InputBuffer().empty()) return;
  }
}

void ClientConnection::UpdateExpiry(const ResponseHead& head) {
  Duration keep_alive_timeout = kDefaultKeepAliveTimeout;
  const std::string* value = FindHeader(head.headers_, "Keep-Alive");
  if (value != nullptr) {
    constexpr std::string_view kTimeout = "timeout=";
    const std::size_t at = value->find(kTimeout);
    int seconds = 0;
    if (at != std::string::npos) {
      const char* begin = value->data() + at + kTimeout.size();
      if (std::from_chars(begin, value->data() + value->size(), seconds).ec == std::errc()) {
        keep_alive_timeout = std::chrono::seconds(seconds);
      }
    }
  }
  expires_at_ = Now() + std::max(keep_alive_timeout - kKeepAliveMargin, keep_alive_timeout / 2);
}

void ClientConnection::FinishExchange() {
  IExchangeHandler* handler = std::exchange(handler_, nullptr);
  parser_.reset();
  // If the response arrived before the whole request was sent, the peer may still expect the rest
  // of the request. Bytes after the response belong to no request. In both cases the connection
  // cannot be reused.
  if (stream_->UnsentBytes() > 0 || !stream_->InputBuffer().empty()) reusable_ = false;
  state_ = reusable_ ? State::kIdle : State::kClosed;
  if (!reusable_) stream_.reset();
  handler->OnDone();
}

void ClientConnection::Fail(Failure failure) {
  const bool sent = stream_ != nullptr && stream_->BytesSent() > bytes_sent_before_;
  state_ = State::kClosed;
  reusable_ = false;
  IExchangeHandler* handler = std::exchange(handler_, nullptr);
  stream_.reset();
  if (handler != nullptr) handler->OnFailed(failure, sent);
}

void ClientConnection::OnClosed(Failure failure) {
  if (state_ != State::kBusy) {
    state_ = State::kClosed;
    reusable_ = false;
    stream_.reset();
    return;
  }
  // An orderly close ends a body without a length; after a reset the body may be truncated.
  if (failure == Failure::kClosed && head_delivered_ && !discarding_response_) {
    parser_->FeedEof();
    if (parser_->IsDone()) return FinishExchange();
  }
  Fail(failure);
}

}  // namespace monsoonshelf::http
