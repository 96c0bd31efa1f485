#include "platform/platform_setup.h"

#include <gio/gio.h>

#include "platform/internal/soup_client.h"

namespace monsoonshelf::platform {

namespace {

bool IsAddress(const std::string& text) {
  GSocketConnectable* parsed = g_network_address_parse(text.c_str(), 0, nullptr);
  if (parsed == nullptr) return false;
  auto* address = G_NETWORK_ADDRESS(parsed);
  const bool valid = g_network_address_get_port(address) > 0 &&
                     g_hostname_is_ip_address(g_network_address_get_hostname(address));
  g_object_unref(parsed);
  return valid;
}

}  // namespace

Result<std::unique_ptr<IPlatformClient>> MakeClient(ClientSettings settings) {
  if (!IsAddress(settings.address_)) {
    return Fail(ResultCode::kSettingsInvalidValue,
                "platform address \"" + settings.address_ + "\" is not an IP address with a port");
  }
  return std::unique_ptr<IPlatformClient>(new detail::SoupClient(std::move(settings)));
}

const ClientCounters& CountersOf(const IPlatformClient& client) {
  return dynamic_cast<const detail::SoupClient&>(client).Counters();
}

}  // namespace monsoonshelf::platform
