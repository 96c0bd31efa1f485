#include "gateway/teams.h"

#include <glib.h>

#include <algorithm>
#include <utility>

namespace monsoonshelf::gateway {

namespace {

// A store that drops its history lets watches hear nothing for a second, so that a watch without
// changes may prove too much by that time. The rest of the revocation time covers it.
constexpr double kProofShare = 0.8;
constexpr std::string_view kHexDigits = "0123456789abcdef";

}  // namespace

KeyDigest DigestKey(std::string_view key) {
  GChecksum* checksum = g_checksum_new(G_CHECKSUM_SHA256);
  g_checksum_update(checksum, reinterpret_cast<const guchar*>(key.data()),
                    static_cast<gssize>(key.size()));
  std::array<guint8, 32> full{};
  gsize length = full.size();
  g_checksum_get_digest(checksum, full.data(), &length);
  g_checksum_free(checksum);
  KeyDigest digest;
  std::copy_n(full.begin(), digest.bytes_.size(), digest.bytes_.begin());
  return digest;
}

std::string FormatKeyDigest(const KeyDigest& digest) {
  std::string text;
  text.reserve(2 * digest.bytes_.size());
  for (const std::uint8_t byte : digest.bytes_) {
    text.push_back(kHexDigits[byte >> 4U]);
    text.push_back(kHexDigits[byte & 15U]);
  }
  return text;
}

std::optional<KeyDigest> ParseKeyDigest(std::string_view text) {
  KeyDigest digest;
  if (text.size() != 2 * digest.bytes_.size()) return std::nullopt;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const std::size_t value = kHexDigits.find(text[i]);
    if (value == std::string_view::npos) return std::nullopt;
    std::uint8_t& byte = digest.bytes_[i / 2];
    byte = static_cast<std::uint8_t>((static_cast<unsigned>(byte) << 4U) | value);
  }
  return digest;
}

TeamTable::TeamTable(std::vector<Team> teams) : teams_(std::move(teams)) {
  for (std::size_t i = 0; i < teams_.size(); ++i) {
    for (const KeyDigest& digest : teams_[i].keys_) {
      index_.push_back({digest, static_cast<std::uint32_t>(i)});
    }
    teams_[i].keys_ = std::vector<KeyDigest>();
    index_by_name_.emplace(teams_[i].name_, static_cast<std::uint32_t>(i));
  }
  std::stable_sort(index_.begin(), index_.end(),
                   [](const IndexEntry& left, const IndexEntry& right) {
                     return left.digest_.bytes_ < right.digest_.bytes_;
                   });
  index_.erase(std::unique(index_.begin(), index_.end(),
                           [](const IndexEntry& left, const IndexEntry& right) {
                             return left.digest_ == right.digest_;
                           }),
               index_.end());
  index_.shrink_to_fit();
}

const Team* TeamTable::Find(const KeyDigest& digest) const {
  const auto found = std::lower_bound(index_.begin(), index_.end(), digest,
                                      [](const IndexEntry& entry, const KeyDigest& value) {
                                        return entry.digest_.bytes_ < value.bytes_;
                                      });
  if (found == index_.end() || found->digest_ != digest) return nullptr;
  return &teams_[found->team_];
}

const Team* TeamTable::FindByName(const std::string& name) const {
  const auto found = index_by_name_.find(name);
  return found == index_by_name_.end() ? nullptr : &teams_[found->second];
}

KeyAccess CheckAccess(const TeamTable& teams, const Credential& credential, bool allows_anonymous,
                      bool is_proven) {
  if (credential.kind_ == Credential::Kind::kNone && allows_anonymous) {
    return {AccessDecision::kAllowed, nullptr};
  }
  if (credential.kind_ != Credential::Kind::kKey) return {AccessDecision::kUnauthorized, nullptr};
  // A key that is unknown here may have been added since the configuration was last confirmed.
  if (!is_proven) return {AccessDecision::kUnproven, nullptr};
  const Team* team = teams.Find(credential.digest_);
  if (team == nullptr) return {AccessDecision::kUnauthorized, nullptr};
  return {AccessDecision::kAllowed, team};
}

bool IsProofFresh(Time proved_at, Duration revocation_time, Time now) {
  return proved_at != Time{} &&
         now - proved_at < std::chrono::duration_cast<Duration>(revocation_time * kProofShare);
}

}  // namespace monsoonshelf::gateway
