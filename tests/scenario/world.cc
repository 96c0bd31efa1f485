#include "tests/scenario/world.h"

#include <algorithm>

namespace monsoonshelf::scenario {

namespace {

constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
constexpr Duration kSampleInterval = std::chrono::milliseconds(100);
constexpr Duration kHostListLag = std::chrono::seconds(5);
constexpr Duration kPropagationLimit = std::chrono::seconds(3);

std::string RecordText(records::Kind kind, const std::string& name, const std::string& spec,
                       int schema) {
  return R"({"kind":")" + std::string(NameOf(records::kKindNames, kind)) + R"(","schema":)" +
         std::to_string(schema) + R"(,"name":")" + name + R"(","spec":)" + spec + "}";
}

std::string Address(std::size_t number) { return "10.0.0." + std::to_string(number); }

}  // namespace

World::World(const WorldSettings& settings)
    : settings_(settings),
      simulation_(settings.seed_),
      network_(simulation_),
      platform_(simulation_),
      checks_(simulation_) {
  checks_.violated_invariant_ = [this](const auto& host, const auto& target, const auto& zone) {
    return ViolatedInvariant(host, target, zone);
  };
  checks_.holds_assignment_ = [this](const auto& host, const auto& service, const auto& zone) {
    const auto held = coordination::HeldAssignments(GetHost(host).Node(), simulation_.Now());
    return std::any_of(held.begin(), held.end(), [&](const auto& view) {
      return view.service_ == service && view.zone_ == zone;
    });
  };
  for (const auto& zone : settings_.zones_) {
    settings_.regions_.try_emplace(zone, "r1");
    SetZoneInService(zone, true);
    for (int i = 1; i <= settings_.hosts_per_zone_; ++i) {
      const std::string name = "host-" + zone + std::to_string(i);
      AddHost(name, zone, Address(hosts_.size() + 1));
    }
  }
  for (int i = 1; i <= settings_.services_; ++i) {
    const std::string service = "service" + std::to_string(i);
    Put(records::Kind::kService, service, R"({"cold_limit":1,"slots":2,"probes_per_second":2})");
    for (const auto& zone : settings_.zones_) {
      for (int j = 1; j <= settings_.targets_per_shard_; ++j) {
        std::string name = service;
        name.append("-").append(zone).append(std::to_string(j));
        targets_[name] = std::make_unique<TargetFake>(simulation_, checks_, name, service, zone);
        SetTargetState(name, false);
      }
    }
  }
  SampleHosts();
}

std::int64_t World::Minute() const {
  return std::chrono::duration_cast<std::chrono::minutes>(simulation_.Now().time_since_epoch())
      .count();
}

std::vector<std::string> World::HostNames() const {
  std::vector<std::string> names;
  for (const auto& [name, host] : hosts_) names.push_back(name);
  return names;
}

std::vector<std::string> World::TargetNames() const {
  std::vector<std::string> names;
  for (const auto& [name, target] : targets_) names.push_back(name);
  return names;
}

void World::Start() {
  for (auto& [name, host] : hosts_) host->Start();
}

void World::AddHost(const std::string& name, const std::string& zone, const std::string& address) {
  coordination::NodeSettings node;
  node.name_ = name;
  node.zone_ = zone;
  node.region_ = settings_.regions_[zone];
  node.peer_address_ = address + ":1";
  node.call_address_ = address + ":2";
  node.seeds_ = {"10.0.0.1:1", "10.0.0.2:1"};
  std::erase(node.seeds_, node.peer_address_);
  hosts_[name] = std::make_unique<Host>(*this, node);
  host_by_address_.try_emplace(node.peer_address_, name);
}

Version World::Put(records::Kind kind, const std::string& name, const std::string& spec,
                   int schema) {
  if (platform_.down_) return 0;
  const std::string kind_name(NameOf(records::kKindNames, kind));
  const auto* current = platform_.Find(kind_name, name);
  const auto version =
      platform_.WriteIfVersion(kind_name, name, current == nullptr ? 0 : current->version_,
                               RecordText(kind, name, spec, schema));
  simulation_.Log("operator", {{"event", "put"},
                               {"record", kind_name + "/" + name},
                               {"version", std::to_string(version.value_or(0))}});
  // Hosts must reject a record with another schema, so it never comes into effect.
  if (version && schema == 1) accepted_versions_[{kind, name}] = {*version, simulation_.Now()};
  return version.value_or(0);
}

Version World::Remove(records::Kind kind, const std::string& name) {
  const std::string kind_name(NameOf(records::kKindNames, kind));
  const auto* current = platform_.Find(kind_name, name);
  if (platform_.down_ || current == nullptr) return 0;
  const auto version = platform_.WriteIfVersion(kind_name, name, current->version_, std::nullopt);
  accepted_versions_[{kind, name}] = {*version, simulation_.Now()};
  return *version;
}

void World::SetZoneInService(const std::string& zone, bool in_service) {
  Put(records::Kind::kZone, zone,
      R"({"region":")" + settings_.regions_[zone] + R"(","state":")" + (in_service ? "in" : "out") +
          R"("})");
}

void World::SetTargetState(const std::string& target, bool leaving) {
  const auto& fake = GetTarget(target);
  Put(records::Kind::kTarget, target,
      R"({"service":")" + fake.Service() + R"(","zone":")" + fake.Zone() +
          R"(","address":"127.0.0.1:80","state":")" + (leaving ? "leaving" : "active") + R"("})");
}

bool World::CanReach(const Host& from, const Host& to) const {
  return !network_.isolated_hosts_.contains(from.Name()) &&
         !network_.isolated_hosts_.contains(to.Name()) &&
         network_.AreConnected(from.Zone(), to.Zone());
}

bool World::CanReachPlatform(const Host& host) const {
  return !network_.isolated_hosts_.contains(host.Name()) &&
         !network_.without_platform_.contains(host.Name()) &&
         network_.AreConnected(host.Zone(), "platform");
}

void World::SendPeerMessage(const Host& from, const coordination::OutgoingPeerMessage& send) {
  const auto to = host_by_address_.find(send.address_);
  if (to == host_by_address_.end()) return;
  Host& receiver = *hosts_.at(to->second);
  if (!CanReach(from, receiver)) return;
  if (on_peer_send_) on_peer_send_(from, send);
  const auto own = coordination::FindMember(const_cast<Host&>(from).Node(), from.Name());
  const coordination::PeerMessage message{from.Name(), from.CurrentIncarnation(),
                                          own->peer_address_, send.body_};
  network_.Send(from.Zone(), receiver.Zone(), [=, this, &receiver, &from] {
    if (!CanReach(from, receiver)) return;
    receiver.RunOrDefer([=, &receiver] { receiver.OnPeerMessage(message); });
  });
}

void World::SendPlatformRequest(const Host& from, const coordination::PlatformRequest& request,
                                const PlatformFake::ReplyCallback& reply) {
  coordination::PlatformReply failure;
  failure.id_ = request.id_;
  failure.operation_ = request.operation_;
  if (on_platform_transfer_) on_platform_transfer_(from, request.body_.size());
  if (!CanReachPlatform(from)) {
    failure.code_ = ResultCode::kPlatformUnreachable;
    simulation_.ScheduleAfter(std::chrono::milliseconds(500), [=] { reply(failure); });
    return;
  }
  const Time end = simulation_.Now() + request.timeout_ + std::chrono::milliseconds(500);
  platform_.Send(request, [=, this, &from](const coordination::PlatformReply& answer) {
    if (on_platform_transfer_) {
      std::size_t bytes = 0;
      for (const auto& object : answer.objects_) bytes += object.body_.size() + 60;
      on_platform_transfer_(from, bytes + answer.hosts_.size() * 60);
    }
    if (CanReachPlatform(from)) return reply(answer);
    coordination::PlatformReply lost = failure;
    lost.code_ = ResultCode::kPlatformTimeout;
    simulation_.ScheduleAt(end, [=] { reply(lost); });
  });
}

void World::SendCallToHost(const std::string& zone, const HostName& to, const CallRequest& request,
                           const ResponseCallback& reply, const HostName& from) {
  const auto found = hosts_.find(to);
  const auto reaches = [=, this] {
    if (found == hosts_.end() || !network_.AreConnected(zone, found->second->Zone())) return false;
    return from.empty() || CanReach(*hosts_.at(from), *found->second);
  };
  if (!reaches()) {
    simulation_.ScheduleAfter(kConnectTimeout, [=] {
      reply({false, false, CallOutcome::kNotRun, {}, ""});
    });
    return;
  }
  Host& host = *found->second;
  // Only the first of response, connection loss and deadline is reported.
  auto done = std::make_shared<bool>(false);
  const ResponseCallback once = [=, this, &host](const CallResponse& response) {
    if (*done) return;
    const auto deliver = [=] {
      if (!std::exchange(*done, true)) reply(response);
    };
    if (response.connected_ && !reaches()) return;
    simulation_.ScheduleAfter(network_.Delay(zone, host.Zone()), deliver);
  };
  simulation_.ScheduleAt(request.deadline_ + std::chrono::milliseconds(50), [=] {
    if (!std::exchange(*done, true)) reply({true, false, CallOutcome::kUnknown, {}, ""});
  });
  const auto generation = host.Generation();
  simulation_.ScheduleAfter(network_.Delay(zone, host.Zone()), [=, this, &host] {
    if (!reaches()) return;
    if (!host.IsProcessAlive() || host.Generation() != generation) {
      return once({false, false, CallOutcome::kNotRun, {}, ""});
    }
    host.RunInGeneration(generation, [=, &host] { host.OnCall(request, once); });
  });
}

void World::SendToTarget(const Host& from, const std::string& target, const std::string& id,
                         Time deadline, std::uint64_t connection,
                         const TargetFake::AnswerCallback& reply) {
  const auto found = targets_.find(target);
  const bool reachable =
      found != targets_.end() && network_.AreConnected(from.Zone(), found->second->Zone());
  if (!reachable) {
    simulation_.ScheduleAfter(kConnectTimeout, [=] {
      reply({dispatch::SendResult::kUnreachable, std::nullopt, ""});
    });
    return;
  }
  TargetFake& fake = *found->second;
  auto done = std::make_shared<bool>(false);
  // The references stay valid: hosts are destroyed only with the world.
  const std::string& zone = from.Zone();
  const HostName& name = from.Name();
  const TargetFake::AnswerCallback once = [=, this, &fake, &zone](const TargetAnswer& answer) {
    if (!network_.AreConnected(zone, fake.Zone())) return;
    simulation_.ScheduleAfter(network_.Delay(zone, fake.Zone()), [=] {
      if (!std::exchange(*done, true)) reply(answer);
    });
  };
  simulation_.ScheduleAt(deadline, [=] {
    if (!std::exchange(*done, true)) {
      reply({dispatch::SendResult::kTimedOut, std::nullopt, ""});
    }
  });
  simulation_.ScheduleAfter(network_.Delay(zone, fake.Zone()), [=, this, &fake] {
    if (network_.AreConnected(zone, fake.Zone())) fake.OnCall(name, id, deadline, connection, once);
  });
}

void World::ProbeTarget(const Host& from, const std::string& target,
                        const TargetFake::AnswerCallback& reply) {
  const auto found = targets_.find(target);
  if (found == targets_.end()) return;
  TargetFake& fake = *found->second;
  auto done = std::make_shared<bool>(false);
  const std::string& zone = from.Zone();
  const TargetFake::AnswerCallback once = [=](const TargetAnswer& answer) {
    if (!std::exchange(*done, true)) reply(answer);
  };
  simulation_.ScheduleAfter(kConnectTimeout, [=] {
    once({dispatch::SendResult::kTimedOut, std::nullopt, ""});
  });
  if (!network_.AreConnected(zone, fake.Zone())) return;
  simulation_.ScheduleAfter(network_.Delay(zone, fake.Zone()), [=, this, &fake] {
    fake.OnProbe([=, this, &fake](const TargetAnswer& answer) {
      simulation_.ScheduleAfter(network_.Delay(zone, fake.Zone()), [=] { once(answer); });
    });
  });
}

int World::ViolatedInvariant(const std::string& host, const std::string& target,
                             const std::string& zone) {
  const auto is_forbidden = [&](records::Kind kind, const std::string& name,
                                const char* forbidden) {
    const auto* object = platform_.Find(std::string(NameOf(records::kKindNames, kind)), name);
    if (object == nullptr || object->body_.find(forbidden) == std::string::npos) return false;
    const auto [version, since] = GetHost(host).VersionInEffect({kind, name});
    // Allow for calls that were sent before the change came into effect and arrive after.
    constexpr Duration kInFlightAllowance = std::chrono::milliseconds(100);
    return version == object->version_ && simulation_.Now() > since + kInFlightAllowance;
  };
  if (is_forbidden(records::Kind::kZone, zone, R"("state":"out")")) return 3;
  if (is_forbidden(records::Kind::kTarget, target, R"("state":"leaving")")) return 7;
  return 0;
}

void World::SampleHosts() {
  PlatformFake::Hosts hosts;
  for (auto& [name, host] : hosts_) {
    if (host->IsProcessAlive()) {
      const auto own = coordination::FindMember(host->Node(), name);
      hosts.push_back({name, own->peer_address_, own->state_ != coordination::MemberState::kAlive});
    }
    if (settings_.check_propagation_) CheckPropagation(*host);
  }
  simulation_.ScheduleAfter(kHostListLag, [=, this] { platform_.hosts_ = hosts; });
  simulation_.ScheduleAfter(kSampleInterval, [this] { SampleHosts(); });
}

// Invariant 9: a host that for 3 s without a break could get a record, from the platform or from a
// peer in which the record is in effect, must have the record in effect.
void World::CheckPropagation(Host& host) {
  for (const auto& [key, wanted] : accepted_versions_) {
    const auto since = lagging_since_.find({host.Name(), key});
    const Version wanted_version = wanted.first;
    const auto has_version = [&key = key, wanted_version](Host& other) {
      return other.VersionInEffect(key).first >= wanted_version;
    };
    bool can_get_record = CanReachPlatform(host) && !platform_.down_ &&
                          platform_.mean_extra_delay_ < std::chrono::milliseconds(300);
    for (auto& [name, other] : hosts_) {
      if (can_get_record || !host.IsRunning() || has_version(host)) break;
      can_get_record = other->IsRunning() && has_version(*other) && CanReach(host, *other);
    }
    if (!host.IsRunning() || has_version(host) || !can_get_record) {
      if (since != lagging_since_.end()) lagging_since_.erase(since);
    } else if (since == lagging_since_.end()) {
      lagging_since_[{host.Name(), key}] = simulation_.Now();
    } else if (simulation_.Now() > since->second + kPropagationLimit) {
      checks_.ReportViolation(9, host.Name() + " lacks version " + std::to_string(wanted_version) +
                                     " of " + key.second + " for over 3 s");
      // Report a record only once for each period of lag.
      since->second = Time::max() - kPropagationLimit;
    }
  }
}

void World::Finish() {
  call_rate_ = 0;
  ++call_rate_generation_;
  Run(std::chrono::seconds(5));
  checks_.CheckAllCallsEnded();
}

}  // namespace monsoonshelf::scenario
