#include "store/platform_client.h"

#include "base/address.h"
#include "store/internal/soup_client.h"

namespace monsoonshelf::store {

Result<std::unique_ptr<IPlatformClient>> MakePlatformClient(ClientSettings settings) {
  const auto address = ParseAddress(settings.address_);
  if (!address || address->port_ == 0 || IsWildcard(*address)) {
    return Fail(ResultCode::kSettingsInvalidValue,
                "platform address \"" + settings.address_ + "\" is not an IP address with a port");
  }
  return std::unique_ptr<IPlatformClient>(new detail::SoupClient(std::move(settings)));
}

}  // namespace monsoonshelf::store
