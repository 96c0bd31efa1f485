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

// Receives the events of one Stream.
class IStreamHandler {
 public:
  virtual ~IStreamHandler() = default;
  // Called when a connection started by Stream::Connect is established.
  virtual void OnConnected() = 0;
  // Called when received bytes have been appended to InputBuffer().
  virtual void OnDataReceived() = 0;
  // Called when all buffered output has been passed to the kernel.
  virtual void OnOutputFlushed() = 0;
  // Called once when the connection failed (kReset), or when the peer closed it and no error
  // occurred before in either direction (kClosed). No further calls follow.
  virtual void OnClosed(Failure failure) = 0;
};

// TCP options that detect a peer that no longer responds.
struct StreamOptions {
  Duration keep_alive_idle_{};  // Idle time before the first keep-alive probe; 0 sends no probes.
  // Time for which sent bytes may stay unacknowledged before the connection fails
  // (TCP_USER_TIMEOUT); 0 keeps the default of the system.
  Duration user_timeout_{};
};

// A non-blocking TCP connection with buffered input and output, polled by the thread-default GLib
// main context. The handler must outlive the stream and may destroy the stream in any of its
// functions.
class Stream {
 public:
  // Starts to connect. The result is always reported asynchronously, by OnConnected or OnClosed.
  static std::unique_ptr<Stream> Connect(const Address& address, IStreamHandler& handler,
                                         const StreamOptions& options);
  // Takes ownership of an accepted socket.
  static std::unique_ptr<Stream> Adopt(int descriptor, IStreamHandler& handler,
                                       const StreamOptions& options);
  ~Stream();
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  // Received bytes; the handler removes the bytes that it has processed.
  std::string& InputBuffer() { return input_; }
  // Number of bytes passed to the kernel so far. If 0, the peer cannot have received any byte.
  std::uint64_t BytesSent() const { return bytes_sent_; }
  // Number of buffered bytes that have not been passed to the kernel yet.
  std::size_t UnsentBytes() const { return output_.size() - output_begin_; }
  // Buffers bytes and sends as many as the socket accepts. Errors are reported later by OnClosed.
  void Write(std::string_view bytes);
  // The same without a copy if nothing else is buffered.
  void WriteOwned(std::string bytes);
  // Memory that the buffers occupy.
  std::size_t BufferBytes() const { return input_.capacity() + output_.capacity(); }
  // Reads what the kernel has received, and calls the handler as usual, without waiting for the
  // main loop.
  void ReceiveNow();
  // Stops or resumes reading, so that TCP flow control limits the peer.
  void PauseReading(bool paused);
  // Shuts down the sending direction once all output is sent, and discards further input.
  void ShutDown();
  bool IsShutDown() const { return shutdown_requested_; }
  bool IsConnected() const { return connected_; }

 private:
  struct StreamSource;
  Stream(int descriptor, IStreamHandler& handler);
  static gboolean Dispatch(GSource* source, GSourceFunc callback, gpointer data);
  void ApplySocketOptions(const StreamOptions& options);
  void Attach();
  void UpdatePolledEvents();
  // These return false if the stream was destroyed or its end was reported to the handler.
  bool FinishConnect();
  bool ReadAvailable();
  bool FlushOutput();
  void ReportClosed(Failure failure);

  int descriptor_;
  IStreamHandler& handler_;
  GSource* source_ = nullptr;
  gpointer fd_tag_ = nullptr;
  std::string input_;
  std::string output_;
  std::size_t output_begin_ = 0;
  std::uint64_t bytes_sent_ = 0;
  bool connected_ = false;
  bool reading_paused_ = false;
  bool shutdown_requested_ = false;
  bool write_closed_ = false;
  bool send_failed_ = false;
  bool closed_ = false;
  int connect_error_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace monsoonshelf::http
