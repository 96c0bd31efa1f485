#include "http/client_connection.h"

#include <charconv>
#include <limits>
#include <utility>

#include "base/clock.h"
#include "logging/logging.h"

namespace monsoonshelf::http {

namespace {

// Responses with a lower status code are interim responses (1xx), which are skipped.
constexpr int kFirstFinalStatus = 200;
constexpr int kSwitchingProtocolsStatus = 101;
// Used if the response has no Keep-Alive header with a timeout.
constexpr Duration kDefaultKeepAliveTimeout = std::chrono::seconds(4);
// An idle connection is not reused within this time before its keep-alive timeout, because the peer
// may close it while a request is on its way.
constexpr Duration kKeepAliveMargin = std::chrono::milliseconds(500);
// Maximum size of all interim responses of an exchange, in bytes.
constexpr std::uint64_t kMaxInterimBytes = std::uint64_t{64} * 1024;
// Maximum size of all discarded responses of an exchange, in bytes. The late response to an earlier
// request may be a download of several megabytes.
constexpr std::uint64_t kMaxDiscardedBytes = std::uint64_t{8} << 20;
// Maximum number of interim and discarded responses of an exchange. One read may hold thousands of
// them, and each costs a move of the bytes behind it.
constexpr int kMaxSkippedResponses = 64;

}  // namespace

ClientConnection::ClientConnection(Address address, const StreamOptions& options)
    : address_(std::move(address)), stream_(Stream::Connect(address_, *this, options)) {}

ClientConnection::~ClientConnection() { *alive_ = false; }

void ClientConnection::SendRequest(std::string request, bool is_head, IExchangeHandler& handler) {
  handler_ = &handler;
  is_head_ = is_head;
  interim_bytes_ = 0;
  discarded_bytes_ = 0;
  skipped_responses_ = 0;
  StartResponse();
  bytes_sent_before_ = stream_->BytesSent();
  state_ = State::kBusy;
  ++exchange_count_;
  stream_->WriteOwned(std::move(request));
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
    response_bytes_ += consumed;
    switch (parser_->Error()) {
      case ParseError::kNone:
        break;
      case ParseError::kHeaderTooLarge:
        return FailTooLarge(ResponseLimit::kHead, response_bytes_ + input.size());
      case ParseError::kBodyTooLarge:
        return FailTooLarge(ResponseLimit::kFraming, input.size());
      case ParseError::kMalformed:
        return Fail(Failure::kMalformed);
    }
    if (parser_->HasHead() && !head_delivered_) {
      ResponseHead& head = parser_->Head();
      if (head.status_ < kFirstFinalStatus) {
        // No request asks for another protocol.
        if (head.status_ == kSwitchingProtocolsStatus) return Fail(Failure::kMalformed);
        if (!parser_->IsDone()) return;
        interim_bytes_ += response_bytes_;
        if (!SkipResponse(ResponseLimit::kInterim, interim_bytes_, kMaxInterimBytes)) return;
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
    if (discarding_response_) {
      parser_->Body().clear();
      const std::uint64_t discarded = discarded_bytes_ + response_bytes_;
      if (discarded > kMaxDiscardedBytes) return FailTooLarge(ResponseLimit::kDiscarded, discarded);
      if (!parser_->IsDone()) return;
      discarded_bytes_ = discarded;
      if (!SkipResponse(ResponseLimit::kDiscarded, discarded, kMaxDiscardedBytes)) return;
      if (input.empty()) return;
      continue;
    }
    if (response_bytes_ > max_response_bytes_) {
      return FailTooLarge(ResponseLimit::kResponse, response_bytes_);
    }
    if (!parser_->Body().empty()) {
      handler_->OnBody(parser_->Body());
      if (!*alive || state_ != State::kBusy) return;
    }
    if (parser_->IsDone()) FinishExchange();
    return;
  }
}

void ClientConnection::StartResponse() {
  parser_ = std::make_unique<ResponseParser>(is_head_);
  head_delivered_ = false;
  discarding_response_ = false;
  response_bytes_ = 0;
  max_response_bytes_ = std::numeric_limits<std::uint64_t>::max();
}

bool ClientConnection::SkipResponse(ResponseLimit limit, std::uint64_t skipped_bytes,
                                    std::uint64_t max_bytes) {
  if (skipped_bytes > max_bytes || ++skipped_responses_ > kMaxSkippedResponses) {
    FailTooLarge(limit, skipped_bytes);
    return false;
  }
  StartResponse();
  return true;
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

void ClientConnection::FailTooLarge(ResponseLimit limit, std::uint64_t bytes) {
  logging::LogEvent(logging::LogLevel::kWarning, "response_too_large",
                    {{"peer", FormatAddress(address_)},
                     {"kind", std::string(NameOf(kResponseLimitNames, limit))},
                     {"bytes", std::to_string(bytes)},
                     {"skipped_responses", std::to_string(skipped_responses_)}});
  Fail(Failure::kTooLarge);
}

void ClientConnection::OnClosed(Failure failure) {
  if (state_ != State::kBusy) {
    state_ = State::kClosed;
    reusable_ = false;
    stream_.reset();
    return;
  }
  // An orderly close ends a body without a length; after a reset the body may be truncated. A peer
  // that closes before it has received the whole request may have died: its kernel ends the
  // connection in order if the process had read all that had arrived.
  const bool is_request_sent = stream_->UnsentBytes() == 0;
  if (failure == Failure::kClosed && is_request_sent && head_delivered_ && !discarding_response_) {
    parser_->FeedEof();
    if (parser_->IsDone()) return FinishExchange();
  }
  Fail(failure);
}

}  // namespace monsoonshelf::http
