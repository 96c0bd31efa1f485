#include "gateway/routing.h"

#include <algorithm>
#include <cctype>
#include <cmath>

namespace monsoonshelf::gateway {

namespace {

std::string MakeRouteKey(std::string_view host, std::string_view prefix) {
  std::string key(host);
  std::transform(key.begin(), key.end(), key.begin(), [](unsigned char character) {
    return static_cast<char>(std::tolower(character));
  });
  key.push_back(' ');
  key.append(prefix);
  return key;
}

}  // namespace

RouteTable MakeRouteTable(const Configuration& configuration) {
  RouteTable table;
  for (std::size_t i = 0; i < configuration.routes_.size(); ++i) {
    const Route& route = configuration.routes_[i];
    table.index_[MakeRouteKey(route.host_, route.path_prefix_)] = i;
  }
  return table;
}

const Route* FindRoute(const Configuration& configuration, const RouteTable& table,
                       std::string_view host, std::string_view request_target) {
  host = host.substr(0, host.rfind(':'));
  std::string_view path = request_target.substr(0, request_target.find('?'));
  // Prefixes end with a slash, so only those parts of the path need to be looked up.
  while (true) {
    const std::size_t slash = path.rfind('/');
    if (slash == std::string_view::npos) return nullptr;
    path = path.substr(0, slash + 1);
    const auto found = table.index_.find(MakeRouteKey(host, path));
    if (found != table.index_.end()) return &configuration.routes_[found->second];
    path.remove_suffix(1);
  }
}

std::string SelectService(TrafficSplit& split, const Route& route) {
  if (route.services_.empty()) return {};
  if (route.services_.size() == 1) return route.services_.front().name_;
  double total = 0;
  for (const WeightedService& part : route.services_) total += part.weight_;
  if (total <= 0) return {};
  // Multiples of the golden ratio modulo 1 are evenly distributed for every sequence length.
  constexpr double kGoldenRatio = 0.6180339887498949;
  const auto number = static_cast<double>(split.request_counts_[route.name_]++);
  double position = std::fmod(split.offset_ + number * kGoldenRatio, 1.0) * total;
  for (const WeightedService& part : route.services_) {
    if (position < part.weight_) return part.name_;
    position -= part.weight_;
  }
  return route.services_.back().name_;
}

}  // namespace monsoonshelf::gateway
