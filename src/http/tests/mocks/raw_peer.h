#pragma once

#include <sys/socket.h>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "http/listener.h"
#include "http/stream.h"

namespace monsoonshelf::http::tests {

// A TCP server that sends raw bytes, for responses that an HTTP library would not send.
class RawPeer {
 public:
  class Connection : public IStreamHandler {
   public:
    Connection(RawPeer& peer, int descriptor) : peer_(peer), descriptor_(descriptor) {
      stream_ = Stream::Adopt(descriptor, *this, {});
    }
    void OnConnected() override {}
    void OnDataReceived() override {
      received_ += stream_->InputBuffer();
      stream_->InputBuffer().clear();
      if (peer_.on_bytes_) peer_.on_bytes_(*this);
    }
    void OnOutputFlushed() override {}
    void OnClosed(Failure /*failure*/) override { closed_ = true; }
    void Write(const std::string& bytes) { stream_->Write(bytes); }
    // Closes the connection in order after sending the buffered output.
    void Close() { stream_->ShutDown(); }
    // Closes the connection with a TCP reset.
    void Reset() {
      const linger option = {1, 0};
      setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
      stream_.reset();
    }

    RawPeer& peer_;
    int descriptor_;
    std::unique_ptr<Stream> stream_;
    std::string received_;
    bool closed_ = false;
    bool is_paused_ = false;  // For the use of a test.
  };

  RawPeer() {
    auto listener = Listener::Open("127.0.0.1:0", [this](int descriptor) {
      connections_.push_back(std::make_unique<Connection>(*this, descriptor));
    });
    listener_ = std::move(listener.value());
  }

  Address GetAddress() const { return *ParseAddress(listener_->LocalAddress()); }

  std::function<void(Connection&)> on_bytes_;
  std::vector<std::unique_ptr<Connection>> connections_;

 private:
  std::unique_ptr<Listener> listener_;
};

}  // namespace monsoonshelf::http::tests
