#pragma once

#include <glib.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/result.h"

namespace monsoonshelf::gateway {

// Datagram socket between entry hosts. Sending never blocks: what doesn't fit is lost, as any
// datagram may be.
class PeerSocket {
 public:
  using OnMessage = std::function<void(std::string_view bytes)>;

  // Error: kPeerSocket.
  static Result<std::unique_ptr<PeerSocket>> Open(const std::string& address, OnMessage on_message);
  ~PeerSocket();
  PeerSocket(const PeerSocket&) = delete;
  PeerSocket& operator=(const PeerSocket&) = delete;

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
