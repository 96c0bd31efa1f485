#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/base_types.h"

namespace monsoonshelf::gateway {

// Teams of callers and their API keys. Keys are held and compared as digests only, so that no log
// line, message or memory dump of a look-up shows one. Pure logic: uses no sockets and no clock.

// The first 128 bits of the SHA-256 digest of an API key.
struct KeyDigest {
  std::array<std::uint8_t, 16> bytes_{};
  auto operator<=>(const KeyDigest&) const = default;
};

KeyDigest DigestKey(std::string_view key);
// Returns 32 lower-case hexadecimal digits.
std::string FormatKeyDigest(const KeyDigest& digest);
// Returns std::nullopt if the text is not the result of FormatKeyDigest.
std::optional<KeyDigest> ParseKeyDigest(std::string_view text);

struct Team {
  std::string name_;
  std::optional<int> priority_;  // Replaces the priority of the route; 0 is the highest.
  double rate_per_second_ = 0;   // Requests that the team may run on all entry hosts; 0: no limit.
  double burst_ = 0;             // In addition to the rate.
  std::vector<KeyDigest> keys_;
};

// The teams of a configuration, indexed by key.
class TeamTable {
 public:
  TeamTable() = default;
  // Of teams that share a key, the first one holds it.
  explicit TeamTable(std::vector<Team> teams);

  // Returns the team that holds the key, or null.
  const Team* Find(const KeyDigest& digest) const;
  const Team* FindByName(const std::string& name) const;
  const std::vector<Team>& Teams() const { return teams_; }
  std::size_t KeyCount() const { return index_.size(); }

 private:
  struct IndexEntry {
    KeyDigest digest_;
    std::uint32_t team_ = 0;
  };
  std::vector<Team> teams_;        // Without their keys, which are in the index.
  std::vector<IndexEntry> index_;  // Sorted by digest.
  std::unordered_map<std::string, std::uint32_t> index_by_name_;
};

// The key that a caller sent with its request.
struct Credential {
  enum class Kind {
    kNone,     // The request has no credential.
    kKey,      // `digest_` is set.
    kInvalid,  // More than one credential, another scheme than bearer tokens, or no single token.
  };
  Kind kind_ = Kind::kNone;
  KeyDigest digest_;
};

enum class AccessDecision {
  kAllowed,
  kUnauthorized,  // Respond 401.
  kUnproven,      // This host cannot rule out that the key was withdrawn. Respond 503.
};

struct KeyAccess {
  AccessDecision decision_ = AccessDecision::kUnauthorized;
  const Team* team_ = nullptr;  // Null if the request is anonymous or not allowed.
};

// Decides whether a request may run. `is_proven` tells whether the configuration that `teams`
// belongs to was in force recently enough; see IsProofFresh. A request with an unknown key is
// rejected on an anonymous route too.
KeyAccess CheckAccess(const TeamTable& teams, const Credential& credential, bool allows_anonymous,
                      bool is_proven);

// Returns whether the configuration of this host proves that a key was not withdrawn longer than
// `revocation_time` ago. `proved_at` is the start of the last call to the store that confirmed the
// configuration; zero if there was none.
bool IsProofFresh(Time proved_at, Duration revocation_time, Time now);

}  // namespace monsoonshelf::gateway
