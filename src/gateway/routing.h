#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "gateway/gateway_types.h"

namespace monsoonshelf::gateway {

// Routes of one configuration, indexed by host and path prefix.
struct RouteTable {
  // Key: host in lower case, a space, path prefix. Value: index into Configuration::routes_.
  std::unordered_map<std::string, std::size_t> index_;
};

RouteTable MakeRouteTable(const Configuration& configuration);

// Returns the route of the host with the longest path prefix that matches, or nullptr if there is
// none. `host` may include a port, and `request_target` a query string.
const Route* FindRoute(const Configuration& configuration, const RouteTable& table,
                       std::string_view host, std::string_view request_target);

// State of the traffic split between the services of a route. Each route follows a low-discrepancy
// sequence, so that the shares match the weights even after few requests.
struct TrafficSplit {
  double offset_ = 0;                                              // Differs between entry hosts.
  std::unordered_map<std::string, std::uint64_t> request_counts_;  // By route name.
};

// Returns the service for the next request of the route, or an empty string if the route has none.
std::string SelectService(TrafficSplit& split, const Route& route);

}  // namespace monsoonshelf::gateway
