#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstring>

#include "base/address.h"

namespace monsoonshelf::http {

// An IPv4 or IPv6 address in the form that the socket functions take.
struct SocketAddress {
  sockaddr_storage storage_{};
  socklen_t length_ = 0;
  int Family() const { return storage_.ss_family; }
  const sockaddr* Get() const { return reinterpret_cast<const sockaddr*>(&storage_); }
};

namespace detail {

template <typename SockaddrType>
SocketAddress FromSockaddr(const SockaddrType& value) {
  SocketAddress result;
  std::memcpy(&result.storage_, &value, sizeof(value));
  result.length_ = sizeof(value);
  return result;
}

}  // namespace detail

inline SocketAddress ToSocketAddress(const Address& address) {
  if (address.ipv6_) {
    sockaddr_in6 value{};
    value.sin6_family = AF_INET6;
    value.sin6_port = htons(address.port_);
    inet_pton(AF_INET6, address.ip_.c_str(), &value.sin6_addr);
    return detail::FromSockaddr(value);
  }
  sockaddr_in value{};
  value.sin_family = AF_INET;
  value.sin_port = htons(address.port_);
  inet_pton(AF_INET, address.ip_.c_str(), &value.sin_addr);
  return detail::FromSockaddr(value);
}

}  // namespace monsoonshelf::http
