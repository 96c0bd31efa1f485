#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "base/address.h"
#include "http/client_connection.h"

namespace monsoonshelf::http {

// Pool of client connections, grouped by address. The most recently used idle connection is reused
// first.
class ConnectionPool {
 public:
  explicit ConnectionPool(const StreamOptions& options) : options_(options) {}

  // Returns an idle connection to `address`, or opens a new one. Returns null if none is idle and
  // `max_connections` are in use. Each acquired connection must be passed to Release.
  ClientConnectionPtr Acquire(const Address& address, std::size_t max_connections);
  // Returns a connection to the pool, which keeps it only if it is still usable.
  void Release(const ClientConnectionPtr& connection);
  // Closes idle connections that have reached ClientConnection::ExpiresAt or were closed by the
  // peer.
  void CloseExpired(Time now);
  // Closes the idle connections to `address` (IP:port); connections in use are not affected.
  void CloseIdleConnections(const std::string& address);

  // Number of idle connections and connections in use.
  std::size_t OpenCount() const;
  // Number of connections opened since the pool was created.
  std::uint64_t OpenedTotal() const { return opened_total_; }

 private:
  struct PeerConnections {
    std::vector<ClientConnectionPtr> idle_;
    std::size_t busy_count_ = 0;
  };

  StreamOptions options_;
  std::map<std::string, PeerConnections> connections_by_address_;
  std::uint64_t opened_total_ = 0;
};

}  // namespace monsoonshelf::http
