#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonshelf {

// An IP address and a port. Names are not addresses: nothing in this project resolves names.
struct Address {
  std::string ip_;  // Without brackets.
  std::uint16_t port_ = 0;
  bool ipv6_ = false;
};

// Parses `192.0.2.1:80` or `[2001:db8::1]:80`; nothing if the text is anything else.
std::optional<Address> ParseAddress(std::string_view text);

std::string FormatAddress(const Address& address);

// True for 0.0.0.0 and ::, which a process can listen on but nobody can connect to.
bool IsWildcard(const Address& address);

// Names of hosts, records, zones and regions: 1 to 64 characters of [A-Za-z0-9_-], the first one a
// letter or digit. The full stop separates the parts of a call identifier.
bool IsValidName(std::string_view name);
inline constexpr std::string_view kNameRule =
    "1 to 64 characters of [A-Za-z0-9_-], the first a letter or digit";

}  // namespace monsoonshelf
