#include "http/connection_pool.h"

#include <algorithm>

#include "base/clock.h"

namespace monsoonshelf::http {

ClientConnectionPtr ConnectionPool::Acquire(const Address& address, std::size_t max_connections) {
  PeerConnections& peer = connections_by_address_[FormatAddress(address)];
  const Time now = Now();
  while (!peer.idle_.empty()) {
    ClientConnectionPtr connection = std::move(peer.idle_.back());
    peer.idle_.pop_back();
    if (!connection->IsUsable() || connection->ExpiresAt() <= now) continue;
    ++peer.busy_count_;
    return connection;
  }
  if (peer.busy_count_ >= max_connections) return nullptr;
  ++peer.busy_count_;
  ++opened_total_;
  return std::make_shared<ClientConnection>(address, options_);
}

void ConnectionPool::Release(const ClientConnectionPtr& connection) {
  const auto found = connections_by_address_.find(FormatAddress(connection->PeerAddress()));
  if (found == connections_by_address_.end()) return;
  PeerConnections& peer = found->second;
  if (peer.busy_count_ > 0) --peer.busy_count_;
  if (connection->IsUsable()) peer.idle_.push_back(connection);
}

void ConnectionPool::CloseExpired(Time now) {
  for (auto peer = connections_by_address_.begin(); peer != connections_by_address_.end();) {
    std::erase_if(peer->second.idle_, [now](const ClientConnectionPtr& connection) {
      return !connection->IsUsable() || connection->ExpiresAt() <= now;
    });
    const bool unused = peer->second.idle_.empty() && peer->second.busy_count_ == 0;
    peer = unused ? connections_by_address_.erase(peer) : std::next(peer);
  }
}

void ConnectionPool::CloseIdleConnections(const std::string& address) {
  const auto found = connections_by_address_.find(address);
  if (found != connections_by_address_.end()) found->second.idle_.clear();
}

std::size_t ConnectionPool::OpenCount() const {
  std::size_t count = 0;
  for (const auto& [address, peer] : connections_by_address_)
    count += peer.idle_.size() + peer.busy_count_;
  return count;
}

}  // namespace monsoonshelf::http
