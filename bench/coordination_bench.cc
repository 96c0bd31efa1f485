#include <algorithm>
#include <ctime>
#include <iostream>
#include <string>
#include <vector>

#include "peer/internal/envelope.h"
#include "tests/scenario/world.h"

// Measures coordination on the virtual clock of the scenario tests. Bytes are those of the peer
// codec, and of platform bodies with an estimate for HTTP headers.
namespace monsoonshelf::scenario {

namespace {

// Request line, status line and headers of one platform call with its answer.
constexpr std::size_t kHttpBytes = 350;

struct Cost {
  std::size_t messages_ = 0;
  std::size_t peer_bytes_ = 0;
  std::size_t platform_calls_ = 0;
  std::size_t platform_bytes_ = 0;
};

std::size_t EncodedSize(const Host& from, const coordination::OutgoingPeerMessage& send) {
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

// The design scale for 64 hosts: 12 zones in 3 regions, 68 services.
WorldSettings SettingsFor(int hosts) {
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

void MeasureCost(int hosts) {
  World world(SettingsFor(hosts));
  Cost cost;
  world.on_peer_send_ = [&cost](const Host& from, const coordination::OutgoingPeerMessage& send) {
    ++cost.messages_;
    cost.peer_bytes_ += EncodedSize(from, send);
  };
  world.on_platform_transfer_ = [&cost](const Host& /*from*/, std::size_t body_bytes) {
    ++cost.platform_calls_;
    cost.platform_bytes_ += body_bytes + kHttpBytes / 2;
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
  const double unit = count * kSeconds;
  std::cout << "coordination_cost hosts=" << count
            << " messages_sent_per_s=" << static_cast<double>(cost.messages_) / unit
            << " peer_bytes_sent_per_s=" << static_cast<double>(cost.peer_bytes_) / unit
            << " peer_bytes_sent_and_received_per_s="
            << 2 * static_cast<double>(cost.peer_bytes_) / unit
            << " platform_calls_per_s=" << static_cast<double>(cost.platform_calls_) / 2 / unit
            << " platform_bytes_per_s=" << static_cast<double>(cost.platform_bytes_) / unit
            << " cpu_percent_with_fakes=" << 100 * cpu / unit << std::endl;
}

// Time from the acceptance of a revision until it is in effect on each host.
void MeasureRevisions(int hosts, bool with_platform) {
  WorldSettings settings = SettingsFor(hosts);
  settings.services_ = 4;
  World world(settings);
  world.Start();
  world.Run(std::chrono::seconds(20));
  const auto names = world.HostNames();
  if (!with_platform) {
    world.Net().without_platform_.insert(names.begin() + 1, names.end());
  }
  std::vector<double> all;
  std::vector<double> worst;
  constexpr int kRevisions = 20;
  for (int revision = 0; revision < kRevisions; ++revision) {
    const Time accepted = world.Sim().Now();
    world.SetZoneInService("a", revision % 2 == 1);
    world.Run(std::chrono::milliseconds(3500 + world.Sim().RandomSource()() % 1000));
    double last = 0;
    for (const auto& name : names) {
      const Time effect = world.GetHost(name).VersionInEffect({records::Kind::kZone, "a"}).second;
      const double ms = effect < accepted ? 1e9 : ToMilliseconds(effect - accepted);
      all.push_back(ms);
      last = std::max(last, ms);
    }
    worst.push_back(last);
  }
  std::sort(all.begin(), all.end());
  std::sort(worst.begin(), worst.end());
  std::cout << "revision_in_effect hosts=" << names.size()
            << " platform=" << (with_platform ? "all_hosts" : "one_host")
            << " revisions=" << kRevisions << " host_median_ms=" << all[all.size() / 2]
            << " all_hosts_median_ms=" << worst[worst.size() / 2]
            << " all_hosts_worst_ms=" << worst.back() << std::endl;
}

}  // namespace

}  // namespace monsoonshelf::scenario

int main() {
  for (const int hosts : {4, 16, 64}) monsoonshelf::scenario::MeasureCost(hosts);
  for (const int hosts : {4, 16, 64}) {
    monsoonshelf::scenario::MeasureRevisions(hosts, true);
    monsoonshelf::scenario::MeasureRevisions(hosts, false);
  }
  return 0;
}
