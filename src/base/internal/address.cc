#include "base/address.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>

namespace monsoonshelf {

namespace {

std::optional<std::uint16_t> ParsePort(std::string_view text) {
  std::uint16_t port = 0;
  // std::from_chars rejects a sign for unsigned types, but accepts leading zeros.
  if (text.empty() || (text.size() > 1 && text[0] == '0')) return std::nullopt;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return port;
}

bool IsIpAddress(const std::string& ip, bool ipv6) {
  in6_addr buffer{};  // Large enough for both families.
  return inet_pton(ipv6 ? AF_INET6 : AF_INET, ip.c_str(), &buffer) == 1;
}

bool IsAlphanumeric(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

}  // namespace

std::optional<Address> ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  // 64 characters are enough for the longest IPv6 address with brackets and port. inet_pton would
  // ignore the text after a NUL character.
  if (colon == std::string_view::npos || text.size() > 64 ||
      text.find('\0') != std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view ip = text.substr(0, colon);
  Address address;
  address.ipv6_ = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
  if (address.ipv6_) ip = ip.substr(1, ip.size() - 2);
  address.ip_ = ip;
  const auto port = ParsePort(text.substr(colon + 1));
  if (!port || !IsIpAddress(address.ip_, address.ipv6_)) return std::nullopt;
  address.port_ = *port;
  return address;
}

std::string FormatAddress(const Address& address) {
  const std::string port = ":" + std::to_string(address.port_);
  return address.ipv6_ ? "[" + address.ip_ + "]" + port : address.ip_ + port;
}

bool IsWildcard(const Address& address) {
  in6_addr buffer{};
  inet_pton(address.ipv6_ ? AF_INET6 : AF_INET, address.ip_.c_str(), &buffer);
  return std::all_of(std::begin(buffer.s6_addr), std::end(buffer.s6_addr),
                     [](unsigned char byte) { return byte == 0; });
}

bool IsValidName(std::string_view name) {
  if (name.empty() || name.size() > 64 || !IsAlphanumeric(name[0])) return false;
  return std::all_of(name.begin(), name.end(),
                     [](char c) { return IsAlphanumeric(c) || c == '-' || c == '_'; });
}

}  // namespace monsoonshelf
