#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonshelf {

// An IP address with a port. Host names are not supported: monsoonshelf never resolves names.
struct Address {
  std::string ip_;  // Without brackets.
  std::uint16_t port_ = 0;
  bool ipv6_ = false;
};

// Parses `192.0.2.1:80` or `[2001:db8::1]:80`. Returns std::nullopt for any other text.
std::optional<Address> ParseAddress(std::string_view text);

// Formats an address as ParseAddress accepts it.
std::string FormatAddress(const Address& address);

// Returns true for 0.0.0.0 and ::, which are valid for listening but not for connecting.
bool IsWildcard(const Address& address);

// Returns whether the text is a valid name of a host, record, zone or region: 1 to 64 characters of
// [A-Za-z0-9_-], the first one a letter or digit. Full stops are not allowed because they separate
// the parts of a call identifier.
bool IsValidName(std::string_view name);
// The rule that IsValidName checks, for error messages.
inline constexpr std::string_view kNameRule =
    "1 to 64 characters of [A-Za-z0-9_-], the first a letter or digit";

}  // namespace monsoonshelf
