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
  kHealthy,
  kDelayed,       // Data arrives with a delay.
  kDropToServer,  // No data reaches the server.
  kBlackhole,     // No data passes in either direction, and no connection is closed.
};

// Forwards TCP connections to a server on loopback and injects faults into them.
class TcpProxy {
 public:
  explicit TcpProxy(Address server);
  ~TcpProxy();

  const std::string& GetAddress() const { return listener_->LocalAddress(); }
  void SetState(LinkState state) { state_ = state; }
  // Resets every open connection (TCP RST).
  void ResetConnections();

 private:
  class ProxiedConnection;
  void ForwardDueData();

  Address server_;
  std::unique_ptr<http::Listener> listener_;
  std::list<std::shared_ptr<ProxiedConnection>> connections_;
  LinkState state_ = LinkState::kHealthy;
  eventloop::Timer timer_;
};

}  // namespace monsoonshelf::soak
