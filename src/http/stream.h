#pragma once

#include <glib.h>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "base/address.h"
#include "base/base_types.h"
#include "http/http_types.h"

namespace monsoonshelf::http {

class IStreamHandler {
 public:
  virtual ~IStreamHandler() = default;
  virtual void OnConnected() = 0;
  virtual void OnDataReceived() = 0;   // New bytes are in InputBuffer().
  virtual void OnOutputFlushed() = 0;  // Everything buffered was handed to the system.
  // The connection is over; kClosed if the peer closed it in order.
  virtual void OnClosed(Failure failure) = 0;
};

// Keep-alive and send limits of a connection, so that one that fell silent is found.
struct StreamOptions {
  Duration keep_alive_idle_{};  // Idle time before the first keep-alive probe; 0: none.
  Duration user_timeout_{};     // Unacknowledged bytes older than this end the connection; 0: none.
};

// One non-blocking TCP connection on the thread-default main context. The handler may destroy the
// stream from within each call.
class Stream {
 public:
  // Starts to connect; the outcome is reported by the handler, also when it is known at once.
  static std::unique_ptr<Stream> Connect(const Address& address, IStreamHandler& handler,
                                         const StreamOptions& options);
  // Takes ownership of an accepted socket.
  static std::unique_ptr<Stream> Adopt(int descriptor, IStreamHandler& handler,
                                       const StreamOptions& options);
  ~Stream();
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  std::string& InputBuffer() { return input_; }
  // Bytes given to the system so far; 0 means that the peer can't have got any.
  std::uint64_t BytesSent() const { return bytes_sent_; }
  std::size_t UnsentBytes() const { return output_.size() - output_begin_; }
  void Write(std::string_view bytes);
  void PauseReading(bool paused);
  // Ends the sending direction once everything is written, and drops what the peer still sends.
  void ShutDown();
  bool IsShutDown() const { return shut_down_; }
  bool IsConnected() const { return connected_; }

 private:
  struct StreamSource;
  Stream(int descriptor, IStreamHandler& handler);
  static gboolean Dispatch(GSource* source, GSourceFunc callback, gpointer data);
  void ApplyOptions(const StreamOptions& options);
  void Attach();
  void UpdateEvents();
  // Each returns false if the stream was destroyed or is over.
  bool FinishConnecting();
  bool ReadAvailable();
  bool Flush();
  void Report(Failure failure);

  int descriptor_;
  IStreamHandler& handler_;
  GSource* source_ = nullptr;
  gpointer tag_ = nullptr;
  std::string input_;
  std::string output_;
  std::size_t output_begin_ = 0;
  std::uint64_t bytes_sent_ = 0;
  bool connected_ = false;
  bool paused_ = false;
  bool shut_down_ = false;
  bool write_ended_ = false;
  bool over_ = false;
  int connect_error_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace monsoonshelf::http
