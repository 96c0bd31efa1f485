#include "tests/scenario/world.h"

#include <algorithm>

namespace monsoonshelf::scenario {

namespace {

constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
constexpr Duration kSampleInterval = std::chrono::milliseconds(100);
constexpr Duration kHostsLag = std::chrono::seconds(5);
constexpr Duration kEffectLimit = std::chrono::seconds(3);

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
  checks_.forbidden_by_ = [this](const auto& host, const auto& target, const auto& zone) {
    return ForbiddenBy(host, target, zone);
  };
  checks_.holds_ = [this](const auto& host, const auto& service, const auto& zone) {
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
  Sample();
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
  const auto version = platform_.Write(kind_name, name, current == nullptr ? 0 : current->version_,
                                       RecordText(kind, name, spec, schema));
  simulation_.Log("operator", {{"event", "put"},
                               {"record", kind_name + "/" + name},
                               {"version", std::to_string(version.value_or(0))}});
  // A record that hosts must reject never comes into effect.
  if (version && schema == 1) accepted_[{kind, name}] = {*version, simulation_.Now()};
  return version.value_or(0);
}

Version World::Remove(records::Kind kind, const std::string& name) {
  const std::string kind_name(NameOf(records::kKindNames, kind));
  const auto* current = platform_.Find(kind_name, name);
  if (platform_.down_ || current == nullptr) return 0;
  const auto version = platform_.Write(kind_name, name, current->version_, std::nullopt);
  accepted_[{kind, name}] = {*version, simulation_.Now()};
  return *version;
}

void World::SetZoneInService(const std::string& zone, bool in) {
  Put(records::Kind::kZone, zone,
      R"({"region":")" + settings_.regions_[zone] + R"(","state":")" + (in ? "in" : "out") +
          R"("})");
}

void World::SetTargetState(const std::string& target, bool leaving) {
  const auto& fake = GetTarget(target);
  Put(records::Kind::kTarget, target,
      R"({"service":")" + fake.Service() + R"(","zone":")" + fake.Zone() +
          R"(","address":"127.0.0.1:80","state":")" + (leaving ? "leaving" : "active") + R"("})");
}

bool World::Reaches(const Host& from, const Host& to) const {
  return !network_.isolated_.contains(from.Name()) && !network_.isolated_.contains(to.Name()) &&
         network_.Connects(from.Zone(), to.Zone());
}

bool World::UsesPlatform(const Host& host) const {
  return !network_.isolated_.contains(host.Name()) &&
         !network_.without_platform_.contains(host.Name()) &&
         network_.Connects(host.Zone(), "platform");
}

void World::SendPeer(const Host& from, const coordination::OutgoingPeerMessage& send) {
  const auto to = host_by_address_.find(send.address_);
  if (to == host_by_address_.end()) return;
  Host& receiver = *hosts_.at(to->second);
  if (!Reaches(from, receiver)) return;
  if (on_peer_send_) on_peer_send_(from, send);
  const auto own = coordination::FindMember(const_cast<Host&>(from).Node(), from.Name());
  const coordination::PeerMessage message{from.Name(), from.CurrentIncarnation(),
                                          own->peer_address_, send.body_};
  network_.Send(from.Zone(), receiver.Zone(), [=, this, &receiver, &from] {
    if (!Reaches(from, receiver)) return;
    receiver.Deliver([=, &receiver] { receiver.OnPeerMessage(message); });
  });
}

void World::SendPlatform(const Host& from, const coordination::PlatformRequest& request,
                         const PlatformFake::Reply& reply) {
  coordination::PlatformReply failure;
  failure.id_ = request.id_;
  failure.operation_ = request.operation_;
  if (on_platform_transfer_) on_platform_transfer_(from, request.body_.size());
  if (!UsesPlatform(from)) {
    failure.code_ = ResultCode::kPlatformUnreachable;
    simulation_.After(std::chrono::milliseconds(500), [=] { reply(failure); });
    return;
  }
  const Time end = simulation_.Now() + request.timeout_ + std::chrono::milliseconds(500);
  platform_.Send(request, [=, this, &from](const coordination::PlatformReply& answer) {
    if (on_platform_transfer_) {
      std::size_t bytes = 0;
      for (const auto& object : answer.objects_) bytes += object.body_.size() + 60;
      on_platform_transfer_(from, bytes + answer.hosts_.size() * 60);
    }
    if (UsesPlatform(from)) return reply(answer);
    coordination::PlatformReply lost = failure;
    lost.code_ = ResultCode::kPlatformTimeout;
    simulation_.At(end, [=] { reply(lost); });
  });
}

void World::ConnectHost(const std::string& zone, const HostName& to, const CallRequest& request,
                        const CallReply& reply, const HostName& from) {
  const auto found = hosts_.find(to);
  const auto reaches = [=, this] {
    if (found == hosts_.end() || !network_.Connects(zone, found->second->Zone())) return false;
    return from.empty() || Reaches(*hosts_.at(from), *found->second);
  };
  if (!reaches()) {
    simulation_.After(kConnectTimeout, [=] {
      reply({false, false, CallOutcome::kNotRun, {}, ""});
    });
    return;
  }
  Host& host = *found->second;
  // The first of response, loss of the connection and passing of the deadline counts.
  auto done = std::make_shared<bool>(false);
  const CallReply once = [=, this, &host](const CallResponse& response) {
    if (*done) return;
    const auto deliver = [=] {
      if (!std::exchange(*done, true)) reply(response);
    };
    if (response.connected_ && !reaches()) return;
    simulation_.After(network_.Delay(zone, host.Zone()), deliver);
  };
  simulation_.At(request.deadline_ + std::chrono::milliseconds(50), [=] {
    if (!std::exchange(*done, true)) reply({true, false, CallOutcome::kUnknown, {}, ""});
  });
  const auto generation = host.Generation();
  simulation_.After(network_.Delay(zone, host.Zone()), [=, this, &host] {
    if (!reaches()) return;
    if (!host.IsUp() || host.Generation() != generation) {
      return once({false, false, CallOutcome::kNotRun, {}, ""});
    }
    host.DeliverTo(generation, [=, &host] { host.OnCall(request, once); });
  });
}

void World::SendToTarget(const Host& from, const std::string& target, const std::string& id,
                         Time deadline, std::uint64_t connection, const TargetFake::Reply& reply) {
  const auto found = targets_.find(target);
  const bool reachable =
      found != targets_.end() && network_.Connects(from.Zone(), found->second->Zone());
  if (!reachable) {
    simulation_.After(kConnectTimeout, [=] {
      reply({dispatch::SendResult::kUnreachable, std::nullopt, ""});
    });
    return;
  }
  TargetFake& fake = *found->second;
  auto done = std::make_shared<bool>(false);
  // Hosts live as long as the world.
  const std::string& zone = from.Zone();
  const HostName& name = from.Name();
  const TargetFake::Reply once = [=, this, &fake, &zone](const TargetAnswer& answer) {
    if (!network_.Connects(zone, fake.Zone())) return;
    simulation_.After(network_.Delay(zone, fake.Zone()), [=] {
      if (!std::exchange(*done, true)) reply(answer);
    });
  };
  simulation_.At(deadline, [=] {
    if (!std::exchange(*done, true)) {
      reply({dispatch::SendResult::kTimedOut, std::nullopt, ""});
    }
  });
  simulation_.After(network_.Delay(zone, fake.Zone()), [=, this, &fake] {
    if (network_.Connects(zone, fake.Zone())) fake.OnCall(name, id, deadline, connection, once);
  });
}

void World::Probe(const Host& from, const std::string& target, const TargetFake::Reply& reply) {
  const auto found = targets_.find(target);
  if (found == targets_.end()) return;
  TargetFake& fake = *found->second;
  auto done = std::make_shared<bool>(false);
  const std::string& zone = from.Zone();
  const TargetFake::Reply once = [=](const TargetAnswer& answer) {
    if (!std::exchange(*done, true)) reply(answer);
  };
  simulation_.After(kConnectTimeout, [=] {
    once({dispatch::SendResult::kTimedOut, std::nullopt, ""});
  });
  if (!network_.Connects(zone, fake.Zone())) return;
  simulation_.After(network_.Delay(zone, fake.Zone()), [=, this, &fake] {
    fake.OnProbe([=, this, &fake](const TargetAnswer& answer) {
      simulation_.After(network_.Delay(zone, fake.Zone()), [=] { once(answer); });
    });
  });
}

int World::ForbiddenBy(const std::string& host, const std::string& target,
                       const std::string& zone) {
  const auto check = [&](records::Kind kind, const std::string& name, const char* forbidden) {
    const auto* object = platform_.Find(std::string(NameOf(records::kKindNames, kind)), name);
    if (object == nullptr || object->body_.find(forbidden) == std::string::npos) return false;
    const auto [version, since] = GetHost(host).VersionInEffect({kind, name});
    // Sends that left before the change came into effect may still arrive.
    constexpr Duration kOnTheWay = std::chrono::milliseconds(100);
    return version == object->version_ && simulation_.Now() > since + kOnTheWay;
  };
  if (check(records::Kind::kZone, zone, R"("state":"out")")) return 3;
  if (check(records::Kind::kTarget, target, R"("state":"leaving")")) return 7;
  return 0;
}

void World::Sample() {
  PlatformFake::Hosts hosts;
  for (auto& [name, host] : hosts_) {
    if (host->IsUp()) {
      const auto own = coordination::FindMember(host->Node(), name);
      hosts.push_back({name, own->peer_address_, own->state_ != coordination::MemberState::kAlive});
    }
    if (settings_.check_propagation_) SampleHost(*host);
  }
  simulation_.After(kHostsLag, [=, this] { platform_.hosts_ = hosts; });
  simulation_.After(kSampleInterval, [this] { Sample(); });
}

// A host that could learn of a record for 3 s without a break must have it in effect.
void World::SampleHost(Host& host) {
  for (const auto& [key, wanted] : accepted_) {
    const auto since = lagging_since_.find({host.Name(), key});
    const Version wanted_version = wanted.first;
    const auto has = [&key = key, wanted_version](Host& other) {
      return other.VersionInEffect(key).first >= wanted_version;
    };
    bool can_learn = UsesPlatform(host) && !platform_.down_ &&
                     platform_.slowness_ < std::chrono::milliseconds(300);
    for (auto& [name, other] : hosts_) {
      if (can_learn || !host.IsRunning() || has(host)) break;
      can_learn = other->IsRunning() && has(*other) && Reaches(host, *other);
    }
    if (!host.IsRunning() || has(host) || !can_learn) {
      if (since != lagging_since_.end()) lagging_since_.erase(since);
    } else if (since == lagging_since_.end()) {
      lagging_since_[{host.Name(), key}] = simulation_.Now();
    } else if (simulation_.Now() > since->second + kEffectLimit) {
      checks_.Violate(9, host.Name() + " lacks version " + std::to_string(wanted_version) + " of " +
                             key.second + " for over 3 s");
      since->second = Time::max() - kEffectLimit;
    }
  }
}

void World::Finish() {
  load_ = 0;
  ++load_generation_;
  Run(std::chrono::seconds(5));
  checks_.CheckCalls();
}

}  // namespace monsoonshelf::scenario
