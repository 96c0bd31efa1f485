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
  std::map<std::string, std::string> regions_;  // By zone; "r1" if the zone is missing.
  int hosts_per_zone_ = 2;
  int services_ = 2;
  int targets_per_shard_ = 2;
  // Whether to check that records come into effect in time; slow with many hosts.
  bool check_propagation_ = true;
};

// Simulated entry hosts, targets, platform, callers and the network between them, on a virtual
// clock.
class World {
 public:
  explicit World(const WorldSettings& settings);

  Simulation& Sim() { return simulation_; }
  Network& Net() { return network_; }
  PlatformFake& Platform() { return platform_; }
  Checks& GetChecks() { return checks_; }
  // Minutes of the virtual clock, as call identifiers contain them.
  std::int64_t Minute() const;

  Host& GetHost(const std::string& name) { return *hosts_.at(name); }
  TargetFake& GetTarget(const std::string& name) { return *targets_.at(name); }
  std::vector<std::string> HostNames() const;
  std::vector<std::string> TargetNames() const;
  const std::vector<std::string>& Zones() const { return settings_.zones_; }

  // Starts all hosts.
  void Start();
  // Adds a host without starting it. An address that another host has stays with that host.
  void AddHost(const std::string& name, const std::string& zone, const std::string& address);
  void Run(Duration duration) { simulation_.RunUntil(simulation_.Now() + duration); }
  // Sets the rate at which callers start calls, with exponential intervals; 0 stops them.
  void SetCallRate(double calls_per_second);
  // Stops the callers, runs until all calls have ended (5 s) and checks them.
  void Finish();

  // Changes by operators. Return the version written, or 0 after a conflict or while the platform
  // is down.
  Version Put(records::Kind kind, const std::string& name, const std::string& spec, int schema = 1);
  Version Remove(records::Kind kind, const std::string& name);
  void SetZoneInService(const std::string& zone, bool in_service);
  void SetTargetState(const std::string& target, bool leaving);

  // Sends by hosts and, for SendCallToHost, by callers, whose `from` is empty.
  void SendPeerMessage(const Host& from, const coordination::OutgoingPeerMessage& send);
  void SendPlatformRequest(const Host& from, const coordination::PlatformRequest& request,
                           const PlatformFake::ReplyCallback& reply);
  void SendCallToHost(const std::string& zone, const HostName& to, const CallRequest& request,
                      const ResponseCallback& reply, const HostName& from);
  void SendToTarget(const Host& from, const std::string& target, const std::string& id,
                    Time deadline, std::uint64_t connection,
                    const TargetFake::AnswerCallback& reply);
  void ProbeTarget(const Host& from, const std::string& target,
                   const TargetFake::AnswerCallback& reply);

  // Hooks for measurements: each peer message, and the body size of each platform request and each
  // platform reply.
  std::function<void(const Host& from, const coordination::OutgoingPeerMessage& send)>
      on_peer_send_;
  std::function<void(const Host& from, std::size_t body_bytes)> on_platform_transfer_;

 private:
  bool CanReach(const Host& from, const Host& to) const;
  bool CanReachPlatform(const Host& host) const;
  // Publishes the host list with a delay and checks the propagation of records; runs repeatedly.
  void SampleHosts();
  void CheckPropagation(Host& host);
  // See Checks::violated_invariant_.
  int ViolatedInvariant(const std::string& host, const std::string& target,
                        const std::string& zone);
  void ScheduleNextCall();
  void StartCall();
  void AttemptCall(CallRequest request, std::vector<coordination::MemberUpdate> hosts,
                   std::size_t index, int retries);
  void OnAttemptFinished(const CallRequest& request,
                         const std::vector<coordination::MemberUpdate>& hosts, std::size_t index,
                         int retries, const CallResponse& response);
  std::vector<coordination::MemberUpdate> LookUpEntryHosts(const std::string& service,
                                                           const std::string& zone);
  std::string MakeCallId(const coordination::MemberUpdate& home);

  WorldSettings settings_;
  Simulation simulation_;
  Network network_;
  PlatformFake platform_;
  Checks checks_;
  std::map<HostName, std::unique_ptr<Host>> hosts_;
  std::map<std::string, HostName> host_by_address_;
  std::map<std::string, std::unique_ptr<TargetFake>> targets_;
  std::map<configuration::RecordKey, std::pair<Version, Time>> accepted_versions_;
  std::map<std::pair<HostName, configuration::RecordKey>, Time> lagging_since_;
  struct CachedHostList {
    Time expires_at_{};
    std::vector<coordination::MemberUpdate> hosts_;
  };
  std::map<std::pair<std::string, std::string>, CachedHostList> caller_host_lists_;
  double call_rate_ = 0;
  std::uint64_t call_rate_generation_ = 0;
  std::uint64_t next_call_number_ = 1;
};

}  // namespace monsoonshelf::scenario
