#include <algorithm>
#include <ctime>
#include <iostream>
#include <string>
#include <vector>

#include "peer/internal/envelope.h"
#include "tests/scenario/world.h"

// Measures the cost and the latency of coordination on the simulated clock of the scenario tests.
// Peer bytes are the size of encoded messages. Platform bytes are the body size and an estimate of
// the HTTP overhead.
namespace monsoonshelf::scenario {

namespace {

// Size of the request line, status line and headers of one platform call and its response. Request
// and response count for one half each.
constexpr std::size_t kHttpOverheadBytes = 350;

struct TrafficCost {
  std::size_t messages_ = 0;
  std::size_t peer_bytes_ = 0;
  std::size_t platform_calls_ = 0;
  std::size_t platform_bytes_ = 0;
};

std::size_t EncodedMessageSize(const Host& from, const coordination::OutgoingPeerMessage& send) {
  peer::detail::Envelope envelope;
  envelope.sender_ = from.Name();
  envelope.sender_address_ = "10.0.0.1:1";
  envelope.destination_ = send.address_;
  envelope.incarnation_ = 1'800'000'000'000'000;
  envelope.sequence_ = 1'000'000;
  envelope.sent_time_ = 1'800'000'000'000'000;
  envelope.body_ = send.body_;
  return peer::detail::Encode(envelope, {"k1", "secret"}).size();
}

// Uses the design scale for 64 hosts and more: 12 zones in 3 regions, 68 services.
WorldSettings WorldSettingsFor(int hosts) {
  WorldSettings settings;
  const int zones = hosts >= 64 ? 12 : (hosts >= 16 ? 4 : 2);
  settings.zones_.clear();
  for (int zone = 0; zone < zones; ++zone) {
    const std::string name(1, static_cast<char>('a' + zone));
    settings.zones_.push_back(name);
    settings.regions_[name] = std::string("r").append(std::to_string(zone / 4));
  }
  settings.hosts_per_zone_ = (hosts + zones - 1) / zones;
  settings.services_ = hosts >= 64 ? 68 : 4;
  settings.targets_per_shard_ = 1;
  settings.check_propagation_ = false;
  return settings;
}

void MeasureTraffic(int hosts) {
  World world(WorldSettingsFor(hosts));
  TrafficCost cost;
  world.on_peer_send_ = [&cost](const Host& from, const coordination::OutgoingPeerMessage& send) {
    ++cost.messages_;
    cost.peer_bytes_ += EncodedMessageSize(from, send);
  };
  world.on_platform_transfer_ = [&cost](const Host& /*from*/, std::size_t body_bytes) {
    ++cost.platform_calls_;
    cost.platform_bytes_ += body_bytes + kHttpOverheadBytes / 2;
  };
  world.Start();
  world.SetCallRate(200);
  world.Run(std::chrono::seconds(20));
  cost = {};
  constexpr int kSeconds = 30;
  const auto start = std::clock();
  world.Run(std::chrono::seconds(kSeconds));
  const double cpu = static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
  const auto count = static_cast<double>(world.HostNames().size());
  const double host_seconds = count * kSeconds;
  std::cout << "coordination_cost hosts=" << count
            << " messages_sent_per_s=" << static_cast<double>(cost.messages_) / host_seconds
            << " peer_bytes_sent_per_s=" << static_cast<double>(cost.peer_bytes_) / host_seconds
            << " peer_bytes_sent_and_received_per_s="
            << 2 * static_cast<double>(cost.peer_bytes_) / host_seconds << " platform_calls_per_s="
            << static_cast<double>(cost.platform_calls_) / 2 / host_seconds
            << " platform_bytes_per_s=" << static_cast<double>(cost.platform_bytes_) / host_seconds
            << " cpu_percent_with_fakes=" << 100 * cpu / host_seconds << std::endl;
}

// Measures the time from the acceptance of a revision until it is in effect on each host. Without
// `with_platform`, only the first host reaches the platform.
void MeasurePropagation(int hosts, bool with_platform) {
  WorldSettings settings = WorldSettingsFor(hosts);
  settings.services_ = 4;
  World world(settings);
  world.Start();
  world.Run(std::chrono::seconds(20));
  const auto names = world.HostNames();
  if (!with_platform) {
    world.Net().without_platform_.insert(names.begin() + 1, names.end());
  }
  std::vector<double> host_ms;
  std::vector<double> slowest_host_ms;
  constexpr int kRevisions = 20;
  for (int revision = 0; revision < kRevisions; ++revision) {
    const Time accepted = world.Sim().Now();
    world.SetZoneInService("a", revision % 2 == 1);
    world.Run(std::chrono::milliseconds(3500 + world.Sim().RandomSource()() % 1000));
    double slowest_ms = 0;
    for (const auto& name : names) {
      const Time effect = world.GetHost(name).VersionInEffect({records::Kind::kZone, "a"}).second;
      const double ms = effect < accepted ? 1e9 : ToMilliseconds(effect - accepted);
      host_ms.push_back(ms);
      slowest_ms = std::max(slowest_ms, ms);
    }
    slowest_host_ms.push_back(slowest_ms);
  }
  std::sort(host_ms.begin(), host_ms.end());
  std::sort(slowest_host_ms.begin(), slowest_host_ms.end());
  std::cout << "revision_in_effect hosts=" << names.size()
            << " platform=" << (with_platform ? "all_hosts" : "one_host")
            << " revisions=" << kRevisions << " host_median_ms=" << host_ms[host_ms.size() / 2]
            << " all_hosts_median_ms=" << slowest_host_ms[slowest_host_ms.size() / 2]
            << " all_hosts_worst_ms=" << slowest_host_ms.back() << std::endl;
}

}  // namespace

}  // namespace monsoonshelf::scenario

int main() {
  for (const int hosts : {4, 16, 64}) monsoonshelf::scenario::MeasureTraffic(hosts);
  for (const int hosts : {4, 16, 64}) {
    monsoonshelf::scenario::MeasurePropagation(hosts, true);
    monsoonshelf::scenario::MeasurePropagation(hosts, false);
  }
  return 0;
}
