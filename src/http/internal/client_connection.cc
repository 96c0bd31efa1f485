#include "http/client_connection.h"

#include <charconv>
#include <utility>

#include "base/clock.h"

namespace monsoonshelf::http {

namespace {

// Interim responses and extra responses that one exchange may skip; more are an error.
constexpr int kFirstFinalStatus = 200;
// Used where the peer names no timeout.
constexpr Duration kDefaultIdleTime = std::chrono::seconds(4);
// Time for a close of the peer to arrive: a connection isn't used this shortly before its timeout.
constexpr Duration kExpiryMargin = std::chrono::milliseconds(500);

}  // namespace

ClientConnection::ClientConnection(Address address, const StreamOptions& options)
    : address_(std::move(address)), stream_(Stream::Connect(address_, *this, options)) {}

ClientConnection::~ClientConnection() { *alive_ = false; }

void ClientConnection::SendRequest(const std::string& request, bool is_head,
                                   IExchangeHandler& handler) {
  handler_ = &handler;
  is_head_ = is_head;
  head_passed_ = false;
  discarding_ = false;
  parser_ = std::make_unique<ResponseParser>(is_head);
  sent_before_ = stream_->BytesSent();
  state_ = State::kBusy;
  ++exchanges_;
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
    // Bytes that answer no request: whatever comes next on this connection can't be trusted.
    reusable_ = false;
    state_ = State::kClosed;
    stream_.reset();
    return;
  }
  Parse();
}

void ClientConnection::Parse() {
  const auto alive = alive_;
  while (state_ == State::kBusy) {
    std::string& input = stream_->InputBuffer();
    const std::size_t consumed = parser_->Feed(input);
    input.erase(0, consumed);
    if (parser_->Error() != ParseError::kNone) return Fail(Failure::kMalformed);
    if (parser_->HasHead() && !head_passed_) {
      ResponseHead& head = parser_->Head();
      if (head.status_ < kFirstFinalStatus) {
        if (!parser_->IsDone()) return;
        parser_ = std::make_unique<ResponseParser>(is_head_);
        if (input.empty()) return;
        continue;
      }
      head_passed_ = true;
      if (!head.keep_alive_ || head.is_close_delimited_) reusable_ = false;
      LearnKeepAlive(head);
      discarding_ = !handler_->OnHead(head);
      if (!*alive || state_ != State::kBusy) return;
      if (discarding_) reusable_ = false;
    }
    if (!parser_->Body().empty()) {
      if (discarding_) {
        parser_->Body().clear();
      } else {
        handler_->OnBody(parser_->Body());
        if (!*alive || state_ != State::kBusy) return;
      }
    }
    if (!parser_->IsDone()) return;
    if (!discarding_) return FinishExchange();
    parser_ = std::make_unique<ResponseParser>(is_head_);
    head_passed_ = false;
    discarding_ = false;
    if (stream_->InputBuffer().empty()) return;
  }
}

void ClientConnection::LearnKeepAlive(const ResponseHead& head) {
  Duration idle = kDefaultIdleTime;
  const std::string* value = FindHeader(head.headers_, "Keep-Alive");
  if (value != nullptr) {
    constexpr std::string_view kTimeout = "timeout=";
    const std::size_t at = value->find(kTimeout);
    int seconds = 0;
    if (at != std::string::npos) {
      const char* begin = value->data() + at + kTimeout.size();
      if (std::from_chars(begin, value->data() + value->size(), seconds).ec == std::errc()) {
        idle = std::chrono::seconds(seconds);
      }
    }
  }
  expires_ = Now() + std::max(idle - kExpiryMargin, idle / 2);
}

void ClientConnection::FinishExchange() {
  IExchangeHandler* handler = std::exchange(handler_, nullptr);
  parser_.reset();
  // A response to a request that was not fully read leaves the connection in an unknown state, and
  // bytes behind the response belong to no request.
  if (stream_->UnsentBytes() > 0 || !stream_->InputBuffer().empty()) reusable_ = false;
  state_ = reusable_ ? State::kIdle : State::kClosed;
  if (!reusable_) stream_.reset();
  handler->OnDone();
}

void ClientConnection::Fail(Failure failure) {
  const bool sent = stream_ != nullptr && stream_->BytesSent() > sent_before_;
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
  // Only an orderly close ends a body without a length.
  if (failure == Failure::kClosed && head_passed_ && !discarding_) {
    parser_->FeedEof();
    if (parser_->IsDone()) return FinishExchange();
  }
  Fail(failure);
}

}  // namespace monsoonshelf::http
