#include "http/connection_pool.h"

#include <algorithm>

#include "base/clock.h"

namespace monsoonshelf::http {

ClientConnectionPtr ConnectionPool::Acquire(const Address& address, std::size_t max_open) {
  Peer& peer = peers_[FormatAddress(address)];
  const Time now = Now();
  while (!peer.idle_.empty()) {
    ClientConnectionPtr connection = std::move(peer.idle_.back());
    peer.idle_.pop_back();
    if (!connection->IsUsable() || connection->ExpiresAt() <= now) continue;
    ++peer.busy_;
    return connection;
  }
  if (peer.busy_ >= max_open) return nullptr;
  ++peer.busy_;
  ++opened_total_;
  return std::make_shared<ClientConnection>(address, options_);
}

void ConnectionPool::Release(const ClientConnectionPtr& connection) {
  const auto found = peers_.find(FormatAddress(connection->PeerAddress()));
  if (found == peers_.end()) return;
  Peer& peer = found->second;
  if (peer.busy_ > 0) --peer.busy_;
  if (connection->IsUsable()) peer.idle_.push_back(connection);
}

void ConnectionPool::CloseExpired(Time now) {
  for (auto peer = peers_.begin(); peer != peers_.end();) {
    std::erase_if(peer->second.idle_, [now](const ClientConnectionPtr& connection) {
      return !connection->IsUsable() || connection->ExpiresAt() <= now;
    });
    const bool unused = peer->second.idle_.empty() && peer->second.busy_ == 0;
    peer = unused ? peers_.erase(peer) : std::next(peer);
  }
}

void ConnectionPool::CloseIdleConnections(const std::string& address) {
  const auto found = peers_.find(address);
  if (found != peers_.end()) found->second.idle_.clear();
}

std::size_t ConnectionPool::OpenCount() const {
  std::size_t count = 0;
  for (const auto& [address, peer] : peers_) count += peer.idle_.size() + peer.busy_;
  return count;
}

}  // namespace monsoonshelf::http
