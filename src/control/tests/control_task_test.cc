#include "control/control_task.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <mutex>

#include "base/clock.h"
#include "control/control_setup.h"
#include "tests/standins/platform_server.h"

namespace monsoonshelf::control {

namespace {

const peer::Key kOldKey{"old", "0123456789abcdef"};
const peer::Key kNewKey{"new", "fedcba9876543210"};

// The control task of one entry host and the latest values that it published.
class Host {
 public:
  Host(const std::string& name, const std::string& address, const std::string& platform,
       std::vector<std::string> seeds) {
    ControlSettings settings;
    auto& node = settings.node_;
    node.name_ = name;
    node.zone_ = "z1";
    node.region_ = "r1";
    node.peer_address_ = address;
    node.call_address_ = "127.0.0.1:" + std::to_string(static_cast<int>(name[0]));
    node.seeds_ = std::move(seeds);
    // Short intervals keep the tests fast. The default values are tested in virtual time by
    // tests/scenario.
    node.ping_interval_ = std::chrono::milliseconds(30);
    node.ping_timeout_ = std::chrono::milliseconds(20);
    node.suspicion_timeout_ = std::chrono::milliseconds(200);
    node.session_renewal_interval_ = std::chrono::milliseconds(200);
    node.host_list_interval_ = std::chrono::milliseconds(500);
    settings.platform_ = {platform, 1000, 1000};
    settings.keys_ = {kOldKey};
    settings.random_seed_ = 1;
    auto task = StartControl(settings, Callbacks());
    CPPUNIT_ASSERT(task);
    task_ = std::move(*task);
  }

  ControlTask& Task() { return *task_; }
  ControlViewPtr View() const {
    const std::lock_guard lock(mutex_);
    return view_;
  }
  ControlCost Cost() const {
    const std::lock_guard lock(mutex_);
    return cost_;
  }
  std::vector<coordination::ShardLoad> RemoteShards() const {
    const std::lock_guard lock(mutex_);
    return remote_shards_;
  }
  int EventCount(const std::string& name) const {
    const std::lock_guard lock(mutex_);
    const auto found = events_.find(name);
    return found == events_.end() ? 0 : found->second;
  }

 private:
  ControlCallbacks Callbacks() {
    ControlCallbacks callbacks;
    callbacks.event_ = [this](const KeyValues& event) {
      const std::lock_guard lock(mutex_);
      events_[event.front().second]++;
    };
    callbacks.view_ = [this](const ControlViewPtr& view) {
      const std::lock_guard lock(mutex_);
      view_ = view;
    };
    callbacks.remote_shards_ = [this](const auto& shards) {
      const std::lock_guard lock(mutex_);
      remote_shards_ = shards;
    };
    callbacks.cost_ = [this](const ControlCost& cost) {
      const std::lock_guard lock(mutex_);
      cost_ = cost;
    };
    return callbacks;
  }

  mutable std::mutex mutex_;
  ControlViewPtr view_;
  ControlCost cost_;
  std::map<std::string, int> events_;
  std::vector<coordination::ShardLoad> remote_shards_;
  // The last member: the task stops before the members that its callbacks use are destroyed.
  std::unique_ptr<ControlTask> task_;
};

bool SeesAlive(const Host& host, const std::string& name) {
  const auto view = host.View();
  for (const auto& member : view->members_) {
    if (member.name_ == name) return member.state_ == coordination::MemberState::kAlive;
  }
  return false;
}

}  // namespace

// Tests complete control tasks with real sockets and a fake platform server.
class ControlTaskTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ControlTaskTest);
  CPPUNIT_TEST(HostsAgreeOnDispatchersAndAssignments);
  CPPUNIT_TEST(DetectsHostThatRestartedAtSameAddress);
  CPPUNIT_TEST(ConfigurationReachesNewHostDuringPlatformOutage);
  CPPUNIT_TEST(LeavingHostIsNotOfferedToCallers);
  CPPUNIT_TEST(RotatesKeysWithoutRestart);
  CPPUNIT_TEST(ExchangesShardLoad);
  CPPUNIT_TEST(StartFailsIfPortIsInUse);
  CPPUNIT_TEST(ReportsCost);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    context_ = g_main_context_new();
    g_main_context_push_thread_default(context_);
    server_ = std::make_unique<standins::PlatformServer>(standins::PlatformServerSettings{});
    CPPUNIT_ASSERT(server_->Listen());
    platform_ = "127.0.0.1:" + std::to_string(server_->Port());
    Put("zone", "z1", R"({"region":"r1","state":"in"})");
    Put("service", "s1", "{}");
    Put("target", "t1", R"({"service":"s1","zone":"z1","address":"127.0.0.1:2"})");
  }

  void tearDown() override {
    server_.reset();
    while (g_main_context_iteration(context_, FALSE) == TRUE) {
    }
    g_main_context_pop_thread_default(context_);
    g_main_context_unref(context_);
  }

  // Guards against a shard that two hosts dispatch, or none.
  void HostsAgreeOnDispatchersAndAssignments() {
    Host a("a", "127.0.0.1:0", platform_, {});
    Host b("b", "127.0.0.1:0", platform_, {a.View()->peer_address_});
    RunUntil([&] { return SeesAlive(a, "b") && SeesAlive(b, "a"); });
    RunUntil([&] { return FindPlacement(*a.View(), "s1", "z1") != nullptr; });
    RunUntil([&] { return FindPlacement(*b.View(), "s1", "z1") != nullptr; });
    const auto dispatcher = DispatcherOf(*a.View(), "s1", "z1");
    CPPUNIT_ASSERT(dispatcher.has_value());
    CPPUNIT_ASSERT_EQUAL(dispatcher->name_, DispatcherOf(*b.View(), "s1", "z1")->name_);
    CPPUNIT_ASSERT(IsDispatcher(*a.View(), "s1", "z1") != IsDispatcher(*b.View(), "s1", "z1"));
    const auto hosts = EntryHostsFor(*b.View(), "s1", "z1", 5);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, hosts.size());
    CPPUNIT_ASSERT_EQUAL(dispatcher->name_, hosts[0].name_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, EntryHostsFor(*b.View(), "none", "z1", 1).size());
    Host& holder = dispatcher->name_ == "a" ? a : b;
    RunUntil([&] { return FindHeldAssignment(*holder.View(), "s1", "z1", Now()).has_value(); });
    const Time end = holder.View()->assignments_.at({"s1", "z1"}).held_until_;
    CPPUNIT_ASSERT(!FindHeldAssignment(*holder.View(), "s1", "z1", end).has_value());
    RunUntil([&] { return holder.View()->assignments_.at({"s1", "z1"}).held_until_ > end; });
  }

  // Guards against hosts that continue to address the earlier process of a restarted host.
  void DetectsHostThatRestartedAtSameAddress() {
    Host a("a", "127.0.0.1:0", platform_, {});
    auto b =
        std::make_unique<Host>("b", "127.0.0.1:0", platform_, std::vector{a.View()->peer_address_});
    RunUntil([&] { return SeesAlive(a, "b"); });
    const std::string address = b->View()->peer_address_;
    const Incarnation before = b->View()->incarnation_;
    b.reset();
    RunUntil([&] { return !SeesAlive(a, "b"); });
    b = std::make_unique<Host>("b", address, platform_, std::vector{a.View()->peer_address_});
    CPPUNIT_ASSERT(b->View()->incarnation_ > before);
    RunUntil([&] { return SeesAlive(a, "b") && SeesAlive(*b, "a"); });
  }

  // Guards against a host that stops serving, or cannot start serving, while the platform is down.
  void ConfigurationReachesNewHostDuringPlatformOutage() {
    Host a("a", "127.0.0.1:0", platform_, {});
    RunUntil([&] { return a.View()->has_configuration_ && !HoldsNoAssignment(a); });
    server_->SetOutage(standins::OutageMode::kHang);
    Host b("b", "127.0.0.1:0", platform_, {a.View()->peer_address_});
    RunUntil([&] { return b.View()->has_configuration_; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, b.View()->snapshot_->services_.count("s1"));
    RunUntil([&] { return HoldsNoAssignment(a) && HoldsNoAssignment(b); });
    CPPUNIT_ASSERT(!a.View()->isolated_);
    server_->SetOutage(standins::OutageMode::kOff);
    Put("service", "s2", "{}");
    RunUntil([&] { return a.View()->snapshot_->services_.count("s2") == 1; });
    RunUntil([&] { return b.View()->snapshot_->services_.count("s2") == 1; });
    RunUntil([&] { return !HoldsNoAssignment(a) || !HoldsNoAssignment(b); });
  }

  // Guards against callers that are sent to a host that is stopping.
  void LeavingHostIsNotOfferedToCallers() {
    Host a("a", "127.0.0.1:0", platform_, {});
    Host b("b", "127.0.0.1:0", platform_, {a.View()->peer_address_});
    RunUntil(
        [&] { return SeesAlive(a, "b") && EntryHostsFor(*a.View(), "s1", "z1", 5).size() == 2; });
    b.Task().Leave();
    RunUntil([&] { return EntryHostsFor(*a.View(), "s1", "z1", 5).size() == 1; });
    CPPUNIT_ASSERT_EQUAL(std::string("a"), EntryHostsFor(*a.View(), "s1", "z1", 5)[0].name_);
    RunUntil([&] { return b.View()->leaving_; });
    RunUntil([&] { return !HoldsNoAssignment(a) && HoldsNoAssignment(b); });
  }

  // Guards against a key rotation that requires all hosts to stop at the same time.
  void RotatesKeysWithoutRestart() {
    Host a("a", "127.0.0.1:0", platform_, {});
    Host b("b", "127.0.0.1:0", platform_, {a.View()->peer_address_});
    RunUntil([&] { return SeesAlive(a, "b") && SeesAlive(b, "a"); });
    const std::vector<peer::Key> steps[] = {{kOldKey, kNewKey}, {kNewKey, kOldKey}, {kNewKey}};
    for (const auto& keys : steps) {
      for (Host* host : {&a, &b}) {
        const int before = host->EventCount("peer_keys_changed");
        CPPUNIT_ASSERT(host->Task().SetKeys(keys));
        RunUntil([&] { return host->EventCount("peer_keys_changed") > before; });
      }
    }
    const auto heard = b.Cost().peer_messages_in_;
    RunUntil([&] { return b.Cost().peer_messages_in_ > heard + 2; });
    CPPUNIT_ASSERT(b.Cost().peer_rejected_.empty());
    CPPUNIT_ASSERT(SeesAlive(a, "b") && SeesAlive(b, "a"));
  }

  // Guards against dispatchers that have no information about free slots in other zones.
  void ExchangesShardLoad() {
    Host a("a", "127.0.0.1:0", platform_, {});
    Host b("b", "127.0.0.1:0", platform_, {a.View()->peer_address_});
    RunUntil([&] { return SeesAlive(a, "b") && SeesAlive(b, "a"); });
    RunUntil([&] { return DispatcherOf(*a.View(), "s1", "z1").has_value(); });
    RunUntil([&] { return DispatcherOf(*b.View(), "s1", "z1").has_value(); });
    Host& sender = IsDispatcher(*a.View(), "s1", "z1") ? a : b;
    Host& receiver = &sender == &a ? b : a;
    sender.Task().SetLocalShards({{"s1", "z1", 3, 1, 2, {}}});
    RunUntil([&] { return !receiver.RemoteShards().empty(); });
    CPPUNIT_ASSERT_EQUAL(3, receiver.RemoteShards()[0].free_slots_);
  }

  // Guards against a host that starts although it cannot receive messages from peers.
  void StartFailsIfPortIsInUse() {
    Host a("a", "127.0.0.1:0", platform_, {});
    ControlSettings settings;
    settings.node_.name_ = "b";
    settings.node_.peer_address_ = a.View()->peer_address_;
    settings.platform_.address_ = platform_;
    settings.keys_ = {kOldKey};
    const auto code = Recover(
        [&]() -> Result<ResultCode> {
          BOOST_LEAF_CHECK(StartControl(settings, {}));
          return ResultCode::kOk;
        },
        [](const Error& error) { return error.code_; });
    CPPUNIT_ASSERT(code == ResultCode::kPeerSocket);
  }

  // Guards against resource usage that is not reported.
  void ReportsCost() {
    Host a("a", "127.0.0.1:0", platform_, {});
    Host b("b", "127.0.0.1:0", platform_, {a.View()->peer_address_});
    RunUntil([&] { return SeesAlive(a, "b") && a.Cost().peer_messages_out_ > 0; });
    const auto cost = a.Cost();
    CPPUNIT_ASSERT(cost.processor_time_ > Duration(0));
    CPPUNIT_ASSERT(cost.wakeups_ > 0 && cost.peer_bytes_in_ > 0 && cost.peer_bytes_out_ > 0);
    CPPUNIT_ASSERT(cost.platform_calls_ > 0 && cost.platform_bytes_in_ > 0);
  }

 private:
  static bool HoldsNoAssignment(const Host& host) {
    return !FindHeldAssignment(*host.View(), "s1", "z1", Now()).has_value();
  }

  void Put(const std::string& kind, const std::string& name, const std::string& spec) {
    server_->PutObject({kind, name}, R"({"kind":")" + kind + R"(","schema":1,"name":")" + name +
                                         R"(","spec":)" + spec + "}");
  }

  // Runs the platform server until the condition holds. If it never does, the ctest timeout ends
  // the test.
  void RunUntil(const std::function<bool()>& condition) {
    while (!condition()) {
      if (g_main_context_iteration(context_, FALSE) == FALSE) g_usleep(1000);
    }
  }

  GMainContext* context_ = nullptr;
  std::unique_ptr<standins::PlatformServer> server_;
  std::string platform_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlTaskTest);

}  // namespace monsoonshelf::control
