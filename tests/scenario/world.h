#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "tests/scenario/call.h"
#include "tests/scenario/checks.h"
#include "tests/scenario/host.h"
#include "tests/scenario/network.h"
#include "tests/scenario/platform_fake.h"
#include "tests/scenario/simulation.h"
#include "tests/scenario/target_fake.h"

namespace monsoonshelf::scenario {

struct WorldSettings {
  std::uint64_t seed_ = 1;
  std::vector<std::string> zones_ = {"a", "b", "c"};
  std::map<std::string, std::string> regions_;  // By zone; "r1" where missing.
  int hosts_per_zone_ = 2;
  int services_ = 2;
  int targets_per_shard_ = 2;
  bool check_propagation_ =
      true;  // Whether records come into effect in time; slow for large fleets.
};

// Entry hosts, targets, platform, callers and the network between them, on a virtual clock.
class World {
 public:
  explicit World(const WorldSettings& settings);

  Simulation& Sim() { return simulation_; }
  Network& Net() { return network_; }
  PlatformFake& Platform() { return platform_; }
  Checks& GetChecks() { return checks_; }
  std::int64_t Minute() const;

  Host& GetHost(const std::string& name) { return *hosts_.at(name); }
  TargetFake& GetTarget(const std::string& name) { return *targets_.at(name); }
  std::vector<std::string> HostNames() const;
  std::vector<std::string> TargetNames() const;
  const std::vector<std::string>& Zones() const { return settings_.zones_; }

  // Starts all hosts.
  void Start();
  void AddHost(const std::string& name, const std::string& zone, const std::string& address);
  void Run(Duration duration) { simulation_.RunUntil(simulation_.Now() + duration); }
  void SetCallRate(double calls_per_second);
  // Stops the load, lets calls end and runs the checks.
  void Finish();

  // Operators' changes. 0: conflict or platform down.
  Version Put(records::Kind kind, const std::string& name, const std::string& spec, int schema = 1);
  Version Remove(records::Kind kind, const std::string& name);
  void SetZoneInService(const std::string& zone, bool in);
  void SetTargetState(const std::string& target, bool leaving);

  // For hosts.
  void SendPeer(const Host& from, const coordination::OutgoingPeerMessage& send);
  void SendPlatform(const Host& from, const coordination::PlatformRequest& request,
                    const PlatformFake::Reply& reply);
  void ConnectHost(const std::string& zone, const HostName& to, const CallRequest& request,
                   const CallReply& reply, const HostName& from);
  void SendToTarget(const Host& from, const std::string& target, const std::string& id,
                    Time deadline, std::uint64_t connection, const TargetFake::Reply& reply);
  void Probe(const Host& from, const std::string& target, const TargetFake::Reply& reply);

  // For measurements: each peer message, and the bodies of each platform call and its answer.
  std::function<void(const Host& from, const coordination::OutgoingPeerMessage& send)>
      on_peer_send_;
  std::function<void(const Host& from, std::size_t body_bytes)> on_platform_transfer_;

 private:
  bool Reaches(const Host& from, const Host& to) const;
  bool UsesPlatform(const Host& host) const;
  void Sample();
  void SampleHost(Host& host);
  int ForbiddenBy(const std::string& host, const std::string& target, const std::string& zone);
  void ArriveCalls();
  void StartCall();
  void Attempt(CallRequest request, std::vector<coordination::MemberUpdate> hosts,
               std::size_t index, int repeats);
  void OnAttemptEnd(const CallRequest& request,
                    const std::vector<coordination::MemberUpdate>& hosts, std::size_t index,
                    int repeats, const CallResponse& response);
  std::vector<coordination::MemberUpdate> AskForHosts(const std::string& service,
                                                      const std::string& zone);
  std::string NewId(const coordination::MemberUpdate& home);

  WorldSettings settings_;
  Simulation simulation_;
  Network network_;
  PlatformFake platform_;
  Checks checks_;
  std::map<HostName, std::unique_ptr<Host>> hosts_;
  std::map<std::string, HostName> host_by_address_;
  std::map<std::string, std::unique_ptr<TargetFake>> targets_;
  std::map<configuration::RecordKey, std::pair<Version, Time>> accepted_;
  std::map<std::pair<HostName, configuration::RecordKey>, Time> lagging_since_;
  struct CachedHosts {
    Time until_{};
    std::vector<coordination::MemberUpdate> hosts_;
  };
  std::map<std::pair<std::string, std::string>, CachedHosts> caller_cache_;
  double load_ = 0;
  std::uint64_t load_generation_ = 0;
  std::uint64_t next_call_ = 1;
};

}  // namespace monsoonshelf::scenario
