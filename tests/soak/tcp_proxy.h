#pragma once

#include <list>
#include <memory>
#include <string>

#include "base/address.h"
#include "eventloop/timer.h"
#include "http/listener.h"
#include "http/stream.h"

namespace monsoonshelf::soak {

enum class LinkState {
  kSound,
  kDelayed,  // Bytes arrive later.
  kOneWay,   // Nothing reaches the server.
  kSilent,   // Nothing passes in either direction, and nothing is closed.
};

// Passes connections on to a server on loopback and spoils them as told.
class TcpProxy {
 public:
  explicit TcpProxy(Address server);
  ~TcpProxy();

  const std::string& GetAddress() const { return listener_->LocalAddress(); }
  void Set(LinkState state) { state_ = state; }
  // Resets every open connection.
  void Reset();

 private:
  class Link;
  void Sweep();

  Address server_;
  std::unique_ptr<http::Listener> listener_;
  std::list<std::shared_ptr<Link>> links_;
  LinkState state_ = LinkState::kSound;
  eventloop::Timer timer_;
};

}  // namespace monsoonshelf::soak
