#pragma once

#include <memory>
#include <string>

#include "base/address.h"
#include "base/base_types.h"
#include "http/http_types.h"
#include "http/message_parser.h"
#include "http/stream.h"

namespace monsoonshelf::http {

// Receives the outcome of one exchange. After OnDone or OnFailed nothing more comes.
class IExchangeHandler {
 public:
  virtual ~IExchangeHandler() = default;
  // Head of a response. Returns false if it belongs to another request: it is then read to its end
  // and dropped, and the connection is not used again.
  virtual bool OnHead(ResponseHead& head) = 0;
  // More of the body is in `body`; the handler may take it out.
  virtual void OnBody(std::string& body) = 0;
  virtual void OnDone() = 0;
  // `sent` is false only if no byte of the request was given to the system.
  virtual void OnFailed(Failure failure, bool sent) = 0;
};

// One connection to a target or to the store. It carries one exchange at a time and never sends a
// request a second time.
class ClientConnection : private IStreamHandler {
 public:
  ClientConnection(Address address, const StreamOptions& options);
  ~ClientConnection() override;

  // Sends a request. The connection must be idle. The handler must stay alive until the exchange
  // ends or Cancel is called.
  void SendRequest(const std::string& request, bool is_head, IExchangeHandler& handler);
  // Closes the connection without a further call to the handler.
  void Cancel();
  void PauseReading(bool paused);

  bool IsIdle() const { return state_ == State::kIdle; }
  bool IsUsable() const { return state_ == State::kIdle && reusable_; }
  // When the peer is going to close the idle connection, as far as it said.
  Time ExpiresAt() const { return expires_; }
  bool WasUsed() const { return exchanges_ > 0; }
  const Address& PeerAddress() const { return address_; }

 private:
  enum class State { kIdle, kBusy, kClosed };

  void OnConnected() override {}
  void OnDataReceived() override;
  void OnOutputFlushed() override {}
  void OnClosed(Failure failure) override;

  void Parse();
  void FinishExchange();
  void Fail(Failure failure);
  void LearnKeepAlive(const ResponseHead& head);

  Address address_;
  std::unique_ptr<Stream> stream_;
  std::unique_ptr<ResponseParser> parser_;
  IExchangeHandler* handler_ = nullptr;
  State state_ = State::kIdle;
  bool reusable_ = true;
  bool is_head_ = false;
  bool head_passed_ = false;
  bool discarding_ = false;
  std::uint64_t sent_before_ = 0;
  int exchanges_ = 0;
  Time expires_ = Time::max();
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

using ClientConnectionPtr = std::shared_ptr<ClientConnection>;

}  // namespace monsoonshelf::http
