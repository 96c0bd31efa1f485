#pragma once

#include <memory>
#include <string>

#include "base/address.h"
#include "base/base_types.h"
#include "http/http_types.h"
#include "http/message_parser.h"
#include "http/stream.h"

namespace monsoonshelf::http {

// Receives the response to one request. OnDone or OnFailed is the last call for an exchange.
class IExchangeHandler {
 public:
  virtual ~IExchangeHandler() = default;
  // Called with the head of a final response. Returns false if the response belongs to another
  // request: the connection then discards that response, waits for the next one and is closed after
  // the exchange.
  virtual bool OnHead(ResponseHead& head) = 0;
  // Called when body bytes have arrived. `body` holds all bytes that the handler has not removed
  // yet; the handler may clear or move it.
  virtual void OnBody(std::string& body) = 0;
  // Called when the response is complete.
  virtual void OnDone() = 0;
  // Called when the exchange ends without a complete response. `sent` is false only if no byte of
  // the request was passed to the kernel, so the peer cannot have received any of it.
  virtual void OnFailed(Failure failure, bool sent) = 0;
};

// An HTTP/1.1 client connection to a target, to another host or to the store. It carries one
// exchange at a time and never sends a request again by itself.
class ClientConnection : private IStreamHandler {
 public:
  ClientConnection(Address address, const StreamOptions& options);
  ~ClientConnection() override;

  // Sends a serialized request. The connection must be idle. `is_head` is true for a HEAD request,
  // whose response has no body. The handler must outlive the exchange, which ends with OnDone,
  // OnFailed or Cancel.
  void SendRequest(std::string request, bool is_head, IExchangeHandler& handler);
  // Closes the connection without calling the handler.
  void Cancel();
  // Stops or resumes reading of the response, so that a slow receiver limits the peer.
  void PauseReading(bool paused);
  // Limits the current response to this number of received bytes, including its head and chunk
  // framing; called by IExchangeHandler::OnHead. A larger response fails with kTooLarge. Without
  // this call, the handler must bound the memory that it uses for the body.
  void LimitResponse(std::uint64_t max_bytes) { max_response_bytes_ = max_bytes; }

  bool IsIdle() const { return state_ == State::kIdle; }
  bool IsUsable() const { return state_ == State::kIdle && reusable_; }
  // Time from which the idle connection must not be used, because the peer may be closing it.
  // Derived from the Keep-Alive header of the last response.
  Time ExpiresAt() const { return expires_at_; }
  // True once a request has been sent on this connection.
  bool WasUsed() const { return exchange_count_ > 0; }
  const Address& PeerAddress() const { return address_; }

 private:
  enum class State { kIdle, kBusy, kClosed };

  void OnConnected() override {}
  void OnDataReceived() override;
  void OnOutputFlushed() override {}
  void OnClosed(Failure failure) override;

  void ParseInput();
  void StartResponse();
  // Starts the next response after an interim or discarded one. Returns false if the exchange
  // failed because a limit was exceeded.
  bool SkipResponse(ResponseLimit limit, std::uint64_t skipped_bytes, std::uint64_t max_bytes);
  void FinishExchange();
  void Fail(Failure failure);
  void FailTooLarge(ResponseLimit limit, std::uint64_t bytes);
  void UpdateExpiry(const ResponseHead& head);

  Address address_;
  std::unique_ptr<Stream> stream_;
  std::unique_ptr<ResponseParser> parser_;
  IExchangeHandler* handler_ = nullptr;
  State state_ = State::kIdle;
  bool reusable_ = true;
  bool is_head_ = false;
  bool head_delivered_ = false;
  bool discarding_response_ = false;
  std::uint64_t response_bytes_ = 0;  // Parsed bytes of the current response.
  std::uint64_t max_response_bytes_ = 0;
  std::uint64_t interim_bytes_ = 0;    // Of this exchange.
  std::uint64_t discarded_bytes_ = 0;  // Of this exchange; complete responses only.
  int skipped_responses_ = 0;          // Interim and discarded responses of this exchange.
  std::uint64_t bytes_sent_before_ = 0;
  int exchange_count_ = 0;
  Time expires_at_ = Time::max();
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

using ClientConnectionPtr = std::shared_ptr<ClientConnection>;

}  // namespace monsoonshelf::http
