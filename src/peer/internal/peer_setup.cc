#include "peer/peer_setup.h"

#include <algorithm>

#include "base/address.h"
#include "peer/internal/nng_transport.h"

namespace monsoonshelf::peer {

namespace {

constexpr std::size_t kMaxKeyIdBytes = 32;
constexpr std::size_t kMinSecretBytes = 16;

bool IsValidKey(const Key& key) {
  return !key.id_.empty() && key.id_.size() <= kMaxKeyIdBytes &&
         key.secret_.size() >= kMinSecretBytes;
}

Result<std::vector<detail::Network>> ParseNetworks(const std::vector<std::string>& texts) {
  std::vector<detail::Network> networks;
  for (const auto& text : texts) {
    detail::Network network(g_inet_address_mask_new_from_string(text.c_str(), nullptr));
    if (!network) {
      return Fail(ResultCode::kSettingsInvalidValue,
                  "peer network \"" + text + "\" is not an IP network such as 192.0.2.0/24");
    }
    networks.push_back(std::move(network));
  }
  return networks;
}

}  // namespace

Result<void> CheckKeys(const std::vector<Key>& keys) {
  if (!keys.empty() && std::all_of(keys.begin(), keys.end(), &IsValidKey)) return {};
  return Fail(ResultCode::kSettingsInvalidValue,
              "peer keys are invalid, expected at least one key; each key needs an identifier of 1 "
              "to 32 bytes and a secret of at least 16 bytes");
}

Result<std::unique_ptr<IPeerTransport>> MakeTransport(TransportSettings settings) {
  const auto address = ParseAddress(settings.address_);
  if (!address || IsWildcard(*address)) {
    return Fail(ResultCode::kSettingsInvalidValue,
                "peer address \"" + settings.address_ +
                    "\" is not an IP address with a port, or is a wildcard address");
  }
  BOOST_LEAF_CHECK(CheckKeys(settings.keys_));
  BOOST_LEAF_AUTO(networks, ParseNetworks(settings.allowed_networks_));
  return std::unique_ptr<IPeerTransport>(
      new detail::NngTransport(std::move(settings), std::move(networks)));
}

}  // namespace monsoonshelf::peer
