#pragma once

#include <glib.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/result.h"

namespace monsoonshelf::gateway {

// UDP socket for messages between entry hosts. Sending never blocks: a datagram that does not fit
// into the send buffer is dropped.
class PeerSocket {
 public:
  using OnMessage = std::function<void(std::string_view bytes)>;

  // Binds to `address` (IP:port) and calls `on_message` for each datagram on the default main
  // context of this thread. Fails with kPeerSocket.
  static Result<std::unique_ptr<PeerSocket>> Open(const std::string& address, OnMessage on_message);
  ~PeerSocket();
  PeerSocket(const PeerSocket&) = delete;
  PeerSocket& operator=(const PeerSocket&) = delete;

  // Sends one datagram to IP:port. Errors are ignored.
  void Send(const std::string& address, std::string_view bytes);

 private:
  struct SocketSource;
  PeerSocket() = default;
  static gboolean Dispatch(GSource* source, GSourceFunc callback, gpointer data);

  int descriptor_ = -1;
  GSource* source_ = nullptr;
  OnMessage on_message_;
};

}  // namespace monsoonshelf::gateway
