#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "base/address.h"
#include "http/client_connection.h"

namespace monsoonshelf::http {

// Open connections by address. Idle ones are used again, the latest first.
class ConnectionPool {
 public:
  explicit ConnectionPool(const StreamOptions& options) : options_(options) {}

  // Returns an idle connection or opens one; null if `max_open` are open already.
  ClientConnectionPtr Acquire(const Address& address, std::size_t max_open);
  // Gives a connection back. It is kept if it can be used again.
  void Release(const ClientConnectionPtr& connection);
  // Drops idle connections that the peer is about to close.
  void CloseExpired(Time now);
  // Drops the idle connections of an address that is no longer used.
  void CloseIdleConnections(const std::string& address);

  std::size_t OpenCount() const;
  std::uint64_t OpenedTotal() const { return opened_total_; }

 private:
  struct Peer {
    std::vector<ClientConnectionPtr> idle_;
    std::size_t busy_ = 0;
  };

  StreamOptions options_;
  std::map<std::string, Peer> peers_;
  std::uint64_t opened_total_ = 0;
};

}  // namespace monsoonshelf::http
