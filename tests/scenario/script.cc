#include "tests/scenario/script.h"

#include <lua.hpp>
#include <memory>

#include "tests/scenario/world.h"

namespace monsoonshelf::scenario {

namespace {

struct Runner {
  std::uint64_t seed_ = 1;
  Random random_;  // For the script.
  std::unique_ptr<World> world_;
  std::vector<std::string> failures_;
};

Runner& RunnerOf(lua_State* lua) { return **static_cast<Runner**>(lua_getextraspace(lua)); }

World& WorldOf(lua_State* lua) {
  Runner& runner = RunnerOf(lua);
  if (!runner.world_) luaL_error(lua, "world{} must come first");
  return *runner.world_;
}

std::string Text(lua_State* lua, int index) { return luaL_checkstring(lua, index); }

Duration Milliseconds(double value) { return Duration(static_cast<Duration::rep>(value * 1000)); }

double NumberField(lua_State* lua, const char* name, double otherwise) {
  lua_getfield(lua, 1, name);
  const double value = lua_isnil(lua, -1) ? otherwise : luaL_checknumber(lua, -1);
  lua_pop(lua, 1);
  return value;
}

void PushNames(lua_State* lua, const std::vector<std::string>& names) {
  lua_newtable(lua);
  for (std::size_t i = 0; i < names.size(); ++i) {
    lua_pushstring(lua, names[i].c_str());
    lua_rawseti(lua, -2, static_cast<lua_Integer>(i) + 1);
  }
}

Host& HostAt(lua_State* lua, int index) { return WorldOf(lua).GetHost(Text(lua, index)); }

records::Kind KindAt(lua_State* lua, int index) {
  const auto kind = ValueOf(records::kKindNames, Text(lua, index));
  if (!kind) luaL_error(lua, "unknown kind");
  return kind.value_or(records::Kind::kZone);
}

// world{zones={...}, regions={zone=region}, hosts_per_zone=, services=, targets_per_shard=}
int MakeWorld(lua_State* lua) {
  Runner& runner = RunnerOf(lua);
  WorldSettings settings;
  settings.seed_ = runner.seed_;
  lua_getfield(lua, 1, "zones");
  if (lua_istable(lua, -1)) {
    settings.zones_.clear();
    for (lua_Integer i = 1; lua_rawgeti(lua, -1, i) == LUA_TSTRING; ++i) {
      settings.zones_.emplace_back(lua_tostring(lua, -1));
      lua_pop(lua, 1);
    }
    lua_pop(lua, 1);
  }
  lua_pop(lua, 1);
  lua_getfield(lua, 1, "regions");
  if (lua_istable(lua, -1)) {
    for (const auto& zone : settings.zones_) {
      lua_getfield(lua, -1, zone.c_str());
      settings.regions_[zone] = luaL_checkstring(lua, -1);
      lua_pop(lua, 1);
    }
  }
  lua_pop(lua, 1);
  settings.hosts_per_zone_ = static_cast<int>(NumberField(lua, "hosts_per_zone", 2));
  settings.services_ = static_cast<int>(NumberField(lua, "services", 2));
  settings.targets_per_shard_ = static_cast<int>(NumberField(lua, "targets_per_shard", 2));
  runner.world_ = std::make_unique<World>(settings);
  return 0;
}

int Run(lua_State* lua) {
  WorldOf(lua).Run(Milliseconds(luaL_checknumber(lua, 1)));
  return 0;
}

// after(ms, function): calls the function later in virtual time.
int After(lua_State* lua) {
  const auto delay = Milliseconds(luaL_checknumber(lua, 1));
  lua_pushvalue(lua, 2);
  const int function = luaL_ref(lua, LUA_REGISTRYINDEX);
  WorldOf(lua).Sim().After(delay, [lua, function] {
    lua_rawgeti(lua, LUA_REGISTRYINDEX, function);
    luaL_unref(lua, LUA_REGISTRYINDEX, function);
    if (lua_pcall(lua, 0, 0, 0) == LUA_OK) return;
    RunnerOf(lua).failures_.emplace_back(lua_tostring(lua, -1));
    lua_pop(lua, 1);
  });
  return 0;
}

int Expect(lua_State* lua) {
  if (lua_toboolean(lua, 1) != 0) return 0;
  World& world = WorldOf(lua);
  world.Sim().Log("script", {{"event", "expectation_failed"}, {"text", Text(lua, 2)}});
  RunnerOf(lua).failures_.push_back("expected: " + Text(lua, 2));
  return 0;
}

int RandomNumber(lua_State* lua) {
  const auto limit = static_cast<std::uint64_t>(luaL_checkinteger(lua, 1));
  lua_pushinteger(lua, static_cast<lua_Integer>(RunnerOf(lua).random_() % limit) + 1);
  return 1;
}

template <void (Host::*kMethod)()>
int OnHost(lua_State* lua) {
  (HostAt(lua, 1).*kMethod)();
  return 0;
}

int AddHost(lua_State* lua) {
  World& world = WorldOf(lua);
  world.AddHost(Text(lua, 1), Text(lua, 2), Text(lua, 3));
  world.GetHost(Text(lua, 1)).Start();
  return 0;
}

int Isolate(lua_State* lua) {
  auto& isolated = WorldOf(lua).Net().isolated_;
  WorldOf(lua).Sim().Log("script", {{"event", "isolate"}, {"host", Text(lua, 1)}});
  if (lua_toboolean(lua, 2) != 0) {
    isolated.insert(Text(lua, 1));
  } else {
    isolated.erase(Text(lua, 1));
  }
  return 0;
}

// cut_platform(host, on): the host reaches its peers but not the platform.
int CutPlatform(lua_State* lua) {
  auto& cut = WorldOf(lua).Net().without_platform_;
  WorldOf(lua).Sim().Log("script", {{"event", "cut_platform"}, {"host", Text(lua, 1)}});
  if (lua_toboolean(lua, 2) != 0) {
    cut.insert(Text(lua, 1));
  } else {
    cut.erase(Text(lua, 1));
  }
  return 0;
}

// split{zone=group, platform=group}: groups do not reach each other.
int Split(lua_State* lua) {
  auto& groups = WorldOf(lua).Net().group_;
  groups.clear();
  WorldOf(lua).Sim().Log("script", {{"event", "split"}});
  lua_pushnil(lua);
  while (lua_next(lua, 1) != 0) {
    groups[luaL_checkstring(lua, -2)] = static_cast<int>(luaL_checkinteger(lua, -1));
    lua_pop(lua, 1);
  }
  return 0;
}

int SetNetwork(lua_State* lua) {
  auto& network = WorldOf(lua).Net();
  network.loss_ = NumberField(lua, "loss", 0);
  network.duplication_ = NumberField(lua, "duplication", 0);
  network.jitter_ = Milliseconds(NumberField(lua, "jitter_ms", 0.5));
  return 0;
}

int SetPlatform(lua_State* lua) {
  auto& platform = WorldOf(lua).Platform();
  platform.down_ = NumberField(lua, "down", 0) > 0;
  platform.lose_response_ = NumberField(lua, "lose_response", 0);
  platform.slowness_ = Milliseconds(NumberField(lua, "slow_ms", 0));
  platform.staleness_ = Milliseconds(NumberField(lua, "stale_ms", 0));
  WorldOf(lua).Sim().Log("script", {{"event", "platform"}, {"down", platform.down_ ? "1" : "0"}});
  return 0;
}

int SetZoneInService(lua_State* lua) {
  WorldOf(lua).SetZoneInService(Text(lua, 1), lua_toboolean(lua, 2) != 0);
  return 0;
}

int Put(lua_State* lua) {
  const auto version = WorldOf(lua).Put(KindAt(lua, 1), Text(lua, 2), Text(lua, 3),
                                        static_cast<int>(luaL_optinteger(lua, 4, 1)));
  lua_pushinteger(lua, static_cast<lua_Integer>(version));
  return 1;
}

int Remove(lua_State* lua) {
  lua_pushinteger(lua, static_cast<lua_Integer>(WorldOf(lua).Remove(KindAt(lua, 1), Text(lua, 2))));
  return 1;
}

// target(name, action, value)
int Target(lua_State* lua) {
  World& world = WorldOf(lua);
  const std::string name = Text(lua, 1);
  const std::string action = Text(lua, 2);
  auto& target = world.GetTarget(name);
  const bool on = lua_toboolean(lua, 3) != 0;
  world.Sim().Log("script", {{"event", "target_" + action}, {"target", name}});
  if (action == "reset") {
    target.Reset();
  } else if (action == "drain") {
    target.SetDraining(on);
  } else if (action == "down") {
    target.SetDown(on);
  } else if (action == "leave") {
    world.SetTargetState(name, on);
  } else if (action == "mismatch") {
    target.MismatchAnswers(static_cast<int>(luaL_checkinteger(lua, 3)));
  } else if (action == "cold_ms") {
    target.SetColdTime(Milliseconds(luaL_checknumber(lua, 3)));
  } else if (action == "service_ms") {
    target.SetServiceTime(Milliseconds(luaL_checknumber(lua, 3)));
  } else {
    luaL_error(lua, "unknown action");
  }
  return 0;
}

int Load(lua_State* lua) {
  WorldOf(lua).SetCallRate(luaL_checknumber(lua, 1));
  return 0;
}

// hosts(), targets(), zones()
int Hosts(lua_State* lua) {
  PushNames(lua, WorldOf(lua).HostNames());
  return 1;
}
int Targets(lua_State* lua) {
  PushNames(lua, WorldOf(lua).TargetNames());
  return 1;
}
int Zones(lua_State* lua) {
  PushNames(lua, WorldOf(lua).Zones());
  return 1;
}

// member(host, other): state of `other` as `host` sees it, or "unknown".
int Member(lua_State* lua) {
  const auto member = coordination::FindMember(HostAt(lua, 1).Node(), Text(lua, 2));
  lua_pushstring(
      lua, member ? std::string(NameOf(coordination::kMemberStateNames, member->state_)).c_str()
                  : "unknown");
  return 1;
}

int Dispatcher(lua_State* lua) {
  const auto member = coordination::DispatcherOf(HostAt(lua, 1).Node(), Text(lua, 2), Text(lua, 3));
  lua_pushstring(lua, member ? member->name_.c_str() : "");
  return 1;
}

int HasConfiguration(lua_State* lua) {
  lua_pushboolean(lua, coordination::HasConfiguration(HostAt(lua, 1).Node()) ? 1 : 0);
  return 1;
}

int Isolated(lua_State* lua) {
  lua_pushboolean(
      lua, coordination::IsIsolated(HostAt(lua, 1).Node(), WorldOf(lua).Sim().Now()) ? 1 : 0);
  return 1;
}

// version(host, kind, name): the version in effect, or 0.
int RecordVersion(lua_State* lua) {
  const auto effect = HostAt(lua, 1).VersionInEffect({KindAt(lua, 2), Text(lua, 3)});
  lua_pushinteger(lua, static_cast<lua_Integer>(effect.first));
  return 1;
}

// holders(service, zone): the hosts that may use the strict limits of the shard now.
int Holders(lua_State* lua) {
  World& world = WorldOf(lua);
  std::vector<std::string> names;
  for (const auto& name : world.HostNames()) {
    auto& host = world.GetHost(name);
    if (!host.IsUp()) continue;
    for (const auto& held : coordination::HeldAssignments(host.Node(), world.Sim().Now())) {
      if (held.service_ == Text(lua, 1) && held.zone_ == Text(lua, 2)) names.push_back(name);
    }
  }
  PushNames(lua, names);
  return 1;
}

// events(text): lines of the timeline that contain a text.
int Events(lua_State* lua) {
  lua_Integer count = 0;
  for (const auto& line : WorldOf(lua).Sim().Timeline()) {
    if (line.find(Text(lua, 1)) != std::string::npos) ++count;
  }
  lua_pushinteger(lua, count);
  return 1;
}

// outcomes(): numbers of calls that were answered, not run and unknown.
int Outcomes(lua_State* lua) {
  auto& outcomes = WorldOf(lua).GetChecks().outcomes_;
  lua_pushinteger(lua, outcomes[CallOutcome::kAnswered]);
  lua_pushinteger(lua, outcomes[CallOutcome::kNotRun]);
  lua_pushinteger(lua, outcomes[CallOutcome::kUnknown]);
  return 3;
}

int StartAll(lua_State* lua) {
  WorldOf(lua).Start();
  return 0;
}

constexpr luaL_Reg kFunctions[] = {{"world", MakeWorld},
                                   {"start", StartAll},
                                   {"run", Run},
                                   {"after", After},
                                   {"expect", Expect},
                                   {"random", RandomNumber},
                                   {"pause", OnHost<&Host::Pause>},
                                   {"resume", OnHost<&Host::Resume>},
                                   {"crash", OnHost<&Host::Crash>},
                                   {"restart", OnHost<&Host::Start>},
                                   {"leave", OnHost<&Host::Leave>},
                                   {"add_host", AddHost},
                                   {"isolate", Isolate},
                                   {"cut_platform", CutPlatform},
                                   {"split", Split},
                                   {"network", SetNetwork},
                                   {"platform", SetPlatform},
                                   {"zone", SetZoneInService},
                                   {"put", Put},
                                   {"remove", Remove},
                                   {"target", Target},
                                   {"load", Load},
                                   {"hosts", Hosts},
                                   {"targets", Targets},
                                   {"zones", Zones},
                                   {"member", Member},
                                   {"dispatcher", Dispatcher},
                                   {"has_configuration", HasConfiguration},
                                   {"isolated", Isolated},
                                   {"version", RecordVersion},
                                   {"holders", Holders},
                                   {"events", Events},
                                   {"outcomes", Outcomes},
                                   {nullptr, nullptr}};

}  // namespace

ScriptResult RunScript(const std::string& file, std::uint64_t seed) {
  Runner runner;
  runner.seed_ = seed;
  runner.random_.seed(seed);
  const std::unique_ptr<lua_State, decltype(&lua_close)> lua(luaL_newstate(), lua_close);
  luaL_openlibs(lua.get());
  *static_cast<Runner**>(lua_getextraspace(lua.get())) = &runner;
  lua_pushglobaltable(lua.get());
  luaL_setfuncs(lua.get(), kFunctions, 0);
  lua_pop(lua.get(), 1);
  if (luaL_dofile(lua.get(), file.c_str()) != LUA_OK) {
    runner.failures_.emplace_back(lua_tostring(lua.get(), -1));
  }
  ScriptResult result;
  if (runner.world_) {
    runner.world_->Finish();
    auto& checks = runner.world_->GetChecks();
    for (const auto& violation : checks.Violations()) runner.failures_.push_back(violation);
    result.timeline_ = runner.world_->Sim().Timeline();
    result.calls_ = checks.CallCount();
    result.answered_ = checks.outcomes_[CallOutcome::kAnswered];
    result.not_run_ = checks.outcomes_[CallOutcome::kNotRun];
    result.unknown_ = checks.outcomes_[CallOutcome::kUnknown];
  }
  result.failures_ = std::move(runner.failures_);
  return result;
}

}  // namespace monsoonshelf::scenario
