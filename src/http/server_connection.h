#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "base/base_types.h"
#include "http/http_types.h"
#include "http/message_parser.h"
#include "http/stream.h"

namespace monsoonshelf::http {

// Bounds on what a caller may send, and on how long it may take or stay idle.
struct ServerLimits {
  std::size_t max_header_bytes_ = std::size_t{16} * 1024;
  std::uint64_t max_body_bytes_ = std::uint64_t{64} << 20;
  Duration header_timeout_ = std::chrono::seconds(3);
  Duration idle_timeout_ = std::chrono::seconds(15);
  // No byte of a body for this long ends the connection.
  Duration body_timeout_ = std::chrono::seconds(10);
};

class ServerConnection;
using ServerConnectionPtr = std::shared_ptr<ServerConnection>;

struct Request {
  RequestHead head_;
  std::string body_;
  Time received_{};  // When its first byte was read.
};

class IServerHandler {
 public:
  virtual ~IServerHandler() = default;
  // A whole request was read. The handler answers with Respond or with the stream functions.
  virtual void OnRequest(const ServerConnectionPtr& connection, Request request) = 0;
  // The caller closed its connection before the answer was complete.
  virtual void OnCallerDisconnected(const ServerConnectionPtr& connection) = 0;
  // All of a streamed answer that was written so far has left.
  virtual void OnResponseFlushed(const ServerConnectionPtr& connection) = 0;
  // A request was refused by the connection itself: malformed, too large or too slow.
  virtual void OnRejected(int status, std::string_view reason) = 0;
};

// Connections of one listening address. Destroying it closes all of them.
class ServerConnections;

// One connection of a caller. Requests are handled one at a time, in order.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>,
                         private IStreamHandler {
 public:
  ServerConnection(int descriptor, ServerConnections& owner);
  ~ServerConnection() override;

  bool IsOpen() const { return stream_ != nullptr; }
  bool IsBusy() const { return state_ == State::kBusy || state_ == State::kStreaming; }

  // Answers the present request. `close` ends the connection after the answer.
  void Respond(int status, const Headers& headers, std::string_view body, bool close = false);
  // Starts an answer whose body is given in parts: WriteChunk, then EndChunkedResponse or Abort.
  void BeginChunkedResponse(int status, const Headers& headers, bool close = false);
  void WriteChunk(std::string_view bytes);
  void EndChunkedResponse();
  // Closes the connection so that the answer doesn't look complete.
  void Abort();
  std::size_t UnsentBytes() const { return stream_ ? stream_->UnsentBytes() : 0; }

  // Closes the connection if it waits for a request and has read no byte of one.
  bool CloseIfIdle();
  void CheckTimeouts(Time now);

 private:
  enum class State { kIdle, kReading, kBusy, kStreaming, kClosing, kClosed };

  void OnConnected() override {}
  void OnDataReceived() override;
  void OnOutputFlushed() override;
  void OnClosed(Failure failure) override;

  void Parse();
  void Reject(int status, std::string_view reason);
  void FinishAnswer(bool close);
  void CloseGracefully();
  void Drop();

  ServerConnections& owner_;
  std::unique_ptr<Stream> stream_;
  std::unique_ptr<RequestParser> parser_;
  State state_ = State::kIdle;
  Time state_since_{};
  Time last_byte_{};
  Time request_began_{};
  bool keep_alive_ = true;
  bool is_head_ = false;
  bool continue_sent_ = false;
};

class ServerConnections {
 public:
  explicit ServerConnections(IServerHandler& handler) : handler_(handler) {}
  ~ServerConnections();
  ServerConnections(const ServerConnections&) = delete;
  ServerConnections& operator=(const ServerConnections&) = delete;

  void Accept(int descriptor);
  void SetLimits(const ServerLimits& limits) { limits_ = limits; }
  const ServerLimits& Limits() const { return limits_; }
  // Makes every further answer the last one of its connection.
  void SetCloseAfterResponse(bool closing) { closing_ = closing; }
  bool ClosesAfterResponse() const { return closing_; }
  // Bytes that requests being read may take in all connections together.
  void SetMaxBufferedBytes(std::size_t bytes) { max_buffered_ = bytes; }
  // Applies the time limits. Call it a few times a second.
  void CheckTimeouts(Time now);
  void CloseIdle();
  std::size_t Count() const { return connections_.size(); }

 private:
  friend class ServerConnection;
  IServerHandler& handler_;
  ServerLimits limits_;
  bool closing_ = false;
  std::size_t max_buffered_ = std::size_t{64} << 20;
  std::size_t buffered_ = 0;
  std::set<ServerConnectionPtr> connections_;
};

}  // namespace monsoonshelf::http
