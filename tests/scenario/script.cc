#include "tests/scenario/script.h"

#include <lua.hpp>
#include <memory>

#include "tests/scenario/world.h"

namespace monsoonshelf::scenario {

namespace {

struct Runner {
  std::uint64_t seed_ = 1;
  Random random_;  // For random() in the script, separate from the random numbers of the world.
  std::unique_ptr<World> world_;
  std::vector<std::string> failures_;
};

Runner& RunnerOf(lua_State* lua) { return **static_cast<Runner**>(lua_getextraspace(lua)); }

World& WorldOf(lua_State* lua) {
  Runner& runner = RunnerOf(lua);
  if (!runner.world_) luaL_error(lua, "world{} must be called before any other function");
  return *runner.world_;
}

std::string StringArgument(lua_State* lua, int index) { return luaL_checkstring(lua, index); }

Duration Milliseconds(double value) { return Duration(static_cast<Duration::rep>(value * 1000)); }

double NumberField(lua_State* lua, const char* name, double default_value) {
  lua_getfield(lua, 1, name);
  const double value = lua_isnil(lua, -1) ? default_value : luaL_checknumber(lua, -1);
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

Host& HostArgument(lua_State* lua, int index) {
  return WorldOf(lua).GetHost(StringArgument(lua, index));
}

records::Kind KindArgument(lua_State* lua, int index) {
  const auto kind = ValueOf(records::kKindNames, StringArgument(lua, index));
  if (!kind) luaL_error(lua, "unknown record kind; see records::kKindNames");
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

// after(ms, function): calls the function after a delay in virtual time.
int After(lua_State* lua) {
  const auto delay = Milliseconds(luaL_checknumber(lua, 1));
  lua_pushvalue(lua, 2);
  const int function = luaL_ref(lua, LUA_REGISTRYINDEX);
  WorldOf(lua).Sim().ScheduleAfter(delay, [lua, function] {
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
  world.Sim().Log("script", {{"event", "expectation_failed"}, {"text", StringArgument(lua, 2)}});
  RunnerOf(lua).failures_.push_back("expected: " + StringArgument(lua, 2));
  return 0;
}

int RandomNumber(lua_State* lua) {
  const auto limit = static_cast<std::uint64_t>(luaL_checkinteger(lua, 1));
  lua_pushinteger(lua, static_cast<lua_Integer>(RunnerOf(lua).random_() % limit) + 1);
  return 1;
}

template <void (Host::*kMethod)()>
int CallHostMethod(lua_State* lua) {
  (HostArgument(lua, 1).*kMethod)();
  return 0;
}

int AddHost(lua_State* lua) {
  World& world = WorldOf(lua);
  world.AddHost(StringArgument(lua, 1), StringArgument(lua, 2), StringArgument(lua, 3));
  world.GetHost(StringArgument(lua, 1)).Start();
  return 0;
}

int Isolate(lua_State* lua) {
  auto& isolated = WorldOf(lua).Net().isolated_hosts_;
  WorldOf(lua).Sim().Log("script", {{"event", "isolate"}, {"host", StringArgument(lua, 1)}});
  if (lua_toboolean(lua, 2) != 0) {
    isolated.insert(StringArgument(lua, 1));
  } else {
    isolated.erase(StringArgument(lua, 1));
  }
  return 0;
}

// cut_platform(host, on): while on, the host reaches its peers but not the platform.
int CutPlatform(lua_State* lua) {
  auto& cut = WorldOf(lua).Net().without_platform_;
  WorldOf(lua).Sim().Log("script", {{"event", "cut_platform"}, {"host", StringArgument(lua, 1)}});
  if (lua_toboolean(lua, 2) != 0) {
    cut.insert(StringArgument(lua, 1));
  } else {
    cut.erase(StringArgument(lua, 1));
  }
  return 0;
}

// split{zone=group, platform=group}: partitions the network; groups do not reach each other.
int Split(lua_State* lua) {
  auto& groups = WorldOf(lua).Net().groups_;
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
  network.loss_probability_ = NumberField(lua, "loss", 0);
  network.duplication_probability_ = NumberField(lua, "duplication", 0);
  network.mean_jitter_ = Milliseconds(NumberField(lua, "jitter_ms", 0.5));
  return 0;
}

int SetPlatform(lua_State* lua) {
  auto& platform = WorldOf(lua).Platform();
  platform.down_ = NumberField(lua, "down", 0) > 0;
  platform.response_loss_probability_ = NumberField(lua, "lose_response", 0);
  platform.mean_extra_delay_ = Milliseconds(NumberField(lua, "slow_ms", 0));
  platform.read_staleness_ = Milliseconds(NumberField(lua, "stale_ms", 0));
  WorldOf(lua).Sim().Log("script", {{"event", "platform"}, {"down", platform.down_ ? "1" : "0"}});
  return 0;
}

int SetZoneInService(lua_State* lua) {
  WorldOf(lua).SetZoneInService(StringArgument(lua, 1), lua_toboolean(lua, 2) != 0);
  return 0;
}

int Put(lua_State* lua) {
  const auto version =
      WorldOf(lua).Put(KindArgument(lua, 1), StringArgument(lua, 2), StringArgument(lua, 3),
                       static_cast<int>(luaL_optinteger(lua, 4, 1)));
  lua_pushinteger(lua, static_cast<lua_Integer>(version));
  return 1;
}

int Remove(lua_State* lua) {
  lua_pushinteger(lua, static_cast<lua_Integer>(
                           WorldOf(lua).Remove(KindArgument(lua, 1), StringArgument(lua, 2))));
  return 1;
}

// target(name, action, value)
int Target(lua_State* lua) {
  World& world = WorldOf(lua);
  const std::string name = StringArgument(lua, 1);
  const std::string action = StringArgument(lua, 2);
  auto& target = world.GetTarget(name);
  const bool on = lua_toboolean(lua, 3) != 0;
  world.Sim().Log("script", {{"event", "target_" + action}, {"target", name}});
  if (action == "reset") {
    target.Restart();
  } else if (action == "drain") {
    target.SetDraining(on);
  } else if (action == "down") {
    target.SetDown(on);
  } else if (action == "leave") {
    world.SetTargetState(name, on);
  } else if (action == "mismatch") {
    target.MismatchNextAnswers(static_cast<int>(luaL_checkinteger(lua, 3)));
  } else if (action == "cold_ms") {
    target.SetColdDuration(Milliseconds(luaL_checknumber(lua, 3)));
  } else if (action == "service_ms") {
    target.SetMeanServiceTime(Milliseconds(luaL_checknumber(lua, 3)));
  } else {
    luaL_error(lua,
               "unknown action; allowed: reset, drain, down, leave, mismatch, cold_ms, service_ms");
  }
  return 0;
}

int Load(lua_State* lua) {
  WorldOf(lua).SetCallRate(luaL_checknumber(lua, 1));
  return 0;
}

// hosts(), targets(), zones(): lists of names.
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

// member(host, other): state of `other` in the member list of `host`, or "unknown".
int Member(lua_State* lua) {
  const auto member = coordination::FindMember(HostArgument(lua, 1).Node(), StringArgument(lua, 2));
  lua_pushstring(
      lua, member ? std::string(NameOf(coordination::kMemberStateNames, member->state_)).c_str()
                  : "unknown");
  return 1;
}

int Dispatcher(lua_State* lua) {
  const auto member = coordination::DispatcherOf(HostArgument(lua, 1).Node(),
                                                 StringArgument(lua, 2), StringArgument(lua, 3));
  lua_pushstring(lua, member ? member->name_.c_str() : "");
  return 1;
}

int HasConfiguration(lua_State* lua) {
  lua_pushboolean(lua, coordination::HasConfiguration(HostArgument(lua, 1).Node()) ? 1 : 0);
  return 1;
}

int Isolated(lua_State* lua) {
  lua_pushboolean(
      lua, coordination::IsIsolated(HostArgument(lua, 1).Node(), WorldOf(lua).Sim().Now()) ? 1 : 0);
  return 1;
}

// version(host, kind, name): version of the record that is in effect on the host, or 0.
int RecordVersion(lua_State* lua) {
  const auto effect =
      HostArgument(lua, 1).VersionInEffect({KindArgument(lua, 2), StringArgument(lua, 3)});
  lua_pushinteger(lua, static_cast<lua_Integer>(effect.first));
  return 1;
}

// holders(service, zone): hosts that now hold the assignment of the shard.
int Holders(lua_State* lua) {
  World& world = WorldOf(lua);
  std::vector<std::string> names;
  for (const auto& name : world.HostNames()) {
    auto& host = world.GetHost(name);
    if (!host.IsProcessAlive()) continue;
    for (const auto& held : coordination::HeldAssignments(host.Node(), world.Sim().Now())) {
      if (held.service_ == StringArgument(lua, 1) && held.zone_ == StringArgument(lua, 2))
        names.push_back(name);
    }
  }
  PushNames(lua, names);
  return 1;
}

// events(text): number of timeline lines that contain the text.
int Events(lua_State* lua) {
  lua_Integer count = 0;
  for (const auto& line : WorldOf(lua).Sim().Timeline()) {
    if (line.find(StringArgument(lua, 1)) != std::string::npos) ++count;
  }
  lua_pushinteger(lua, count);
  return 1;
}

// outcomes(): numbers of responses with the outcomes answered, not_run and unknown.
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

constexpr luaL_Reg kLuaFunctions[] = {{"world", MakeWorld},
                                      {"start", StartAll},
                                      {"run", Run},
                                      {"after", After},
                                      {"expect", Expect},
                                      {"random", RandomNumber},
                                      {"pause", CallHostMethod<&Host::Pause>},
                                      {"resume", CallHostMethod<&Host::Resume>},
                                      {"crash", CallHostMethod<&Host::Crash>},
                                      {"restart", CallHostMethod<&Host::Start>},
                                      {"leave", CallHostMethod<&Host::StopGracefully>},
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
  luaL_setfuncs(lua.get(), kLuaFunctions, 0);
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
