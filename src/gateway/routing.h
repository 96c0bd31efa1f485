#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "gateway/gateway_types.h"

namespace monsoonshelf::gateway {

// Routes of one configuration, indexed by host and path prefix.
struct RouteTable {
  // Key: host in lower case, a space, prefix. Values are positions in Configuration::routes_.
  std::unordered_map<std::string, std::size_t> index_;
};

RouteTable MakeRouteTable(const Configuration& configuration);

// The route of the host with the longest prefix that begins the path; null if none does. `host` may
// carry a port, `target` a query.
const Route* FindRoute(const Configuration& configuration, const RouteTable& table,
                       std::string_view host, std::string_view target);

// Deals the requests of split routes to their services. Each route follows a low-discrepancy
// sequence, so that the parts match the weights also after few requests.
struct SplitState {
  double offset_ = 0;                                     // Differs between entry hosts.
  std::unordered_map<std::string, std::uint64_t> dealt_;  // By route name.
};

// Returns the service that the next request of the route goes to; empty if the route has none.
std::string DealService(SplitState& state, const Route& route);

}  // namespace monsoonshelf::gateway
