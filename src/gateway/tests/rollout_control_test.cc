#include "gateway/internal/rollout_control.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "gateway/tests/mocks/fake_format.h"
#include "gateway/tests/mocks/fake_target.h"
#include "gateway/tests/mocks/gateway_host.h"

namespace monsoonshelf::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using tests::FakeFormat;
using tests::FakeTarget;
using tests::GatewayHost;

TargetRecord MakeTarget(const std::string& id, const std::string& version) {
  TargetRecord record;
  record.id_ = id;
  record.service_ = "s";
  record.zone_ = "z";
  record.address_ = "127.0.0.1:9";
  record.version_ = version;
  return record;
}

// Hosts with their roll-out control, datagrams and a store, on a virtual clock.
class Fleet {
 public:
  struct Host {
    explicit Host(const FakeFormat& format, int index)
        : name_("h" + std::to_string(index)), settings_(MakeSettings(name_)) {
      state_ = std::make_unique<GatewayState>(settings_, format, index);
    }
    static GatewaySettings MakeSettings(const std::string& name) {
      GatewaySettings settings;
      settings.name_ = name;
      settings.zone_ = "z";
      settings.bounds_.has_rollouts_ = true;
      return settings;
    }
    std::string name_;
    GatewaySettings settings_;
    std::unique_ptr<GatewayState> state_;
    std::unique_ptr<RolloutControl> control_;
    bool is_running_ = true;
    bool reaches_store_ = true;
    int side_ = 0;  // Hosts of different sides do not hear each other.
  };

  Fleet() {
    for (int i = 0; i < kHosts; ++i) hosts_.push_back(std::make_unique<Host>(format_, i));
    for (const auto& host : hosts_) {
      Host* const self = host.get();
      host->control_ = std::make_unique<RolloutControl>(
          *host->state_, MakeRecord(*host),
          [this, self](const std::string& address, const std::string& bytes) {
            datagrams_.push_back({self, address, bytes});
          },
          [this, self](const RolloutOrder& order, RolloutState state,
                       const IRecordStore::WriteCallback& callback) {
            Write(*self, order, state, callback);
          });
      for (const auto& other : hosts_) host->control_->AddHost(MakeRecord(*other));
      for (int i = 0; i < 3; ++i) {
        PutTarget(*host->state_, MakeTarget("old" + std::to_string(i), "v1"), now_);
      }
      host->state_->has_target_list_ = host->state_->has_rollout_list_ = true;
      host->control_->OnRecords(now_);
    }
    Run(seconds(1));
    // The targets of the new version are known before the order.
    for (const auto& host : hosts_) {
      for (int i = 0; i < 3; ++i) {
        PutTarget(*host->state_, MakeTarget("new" + std::to_string(i), "v2"), now_);
      }
    }
    Run(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(0, sent_to_new_);
    order_ = {"s", "v2", seconds(20), RolloutState::kOrdered, 10};
    ordered_at_ = now_;
    Publish();
  }

  static HostRecord MakeRecord(const Host& host) {
    HostRecord record;
    record.name_ = record.peer_address_ = host.name_;
    record.zone_ = "z";
    record.incarnation_ = 1;
    return record;
  }

  // Returns the deciding host of a rank.
  Host& Decider(std::size_t rank) {
    std::vector<QuotaHost> names;
    for (const auto& host : hosts_) names.push_back({host->name_, 0});
    return Find(RankQuotaOwners("rollout s", names).at(rank));
  }
  Host& Find(const std::string& name) { return *hosts_.at(std::stoul(name.substr(1))); }

  void Run(Duration duration) {
    const Time end = now_ + duration;
    for (; now_ < end; now_ += milliseconds(50)) {
      const bool is_tick = ++steps_ % 5 == 0;
      auto datagrams = std::exchange(datagrams_, {});
      for (const auto& datagram : datagrams) {
        Host& to = Find(datagram.address_);
        if (!to.is_running_ || to.side_ != datagram.from_->side_) continue;
        to.control_->OnMessage(datagram.bytes_, now_);
      }
      for (const auto& host : hosts_) {
        if (!host->is_running_) continue;
        for (int i = 0; i < 2; ++i) Call(*host);
        if (is_tick) host->control_->Update(now_);
      }
      auto replies = std::exchange(replies_, {});
      for (const auto& reply : replies) reply();
    }
  }

  // Returns the time from the order until the state is final; zero if it isn't.
  Duration FinalAfter() const { return final_at_ == Time{} ? Duration{} : final_at_ - ordered_at_; }

  bool MayUse(Host& host, const std::string& version) const {
    return host.control_->MayUse(MakeTarget("other", version), RolloutSide::kOld, now_);
  }

  // All hosts that run read the order.
  void Publish() {
    for (const auto& host : hosts_) {
      if (!host->is_running_ || !host->reaches_store_) continue;
      host->state_->rollouts_ = {{"s", order_}};
      host->control_->OnRecords(now_);
    }
  }

  static constexpr int kHosts = 5;
  FakeFormat format_;
  std::vector<std::unique_ptr<Host>> hosts_;
  RolloutOrder order_;
  bool is_bad_ = false;                // The new version.
  bool loses_responses_ = false;       // Of the store, to writes that took effect.
  std::vector<RolloutState> written_;  // That took effect.
  int conflicts_ = 0;
  int sent_to_new_ = 0;
  int sent_to_old_after_end_ = 0;
  Time now_ = Time{} + seconds(1000);

 private:
  struct Datagram {
    Host* from_;
    std::string address_;
    std::string bytes_;
  };

  void Call(Host& host) {
    const RolloutSide side = host.control_->ChooseSide("s", now_);
    std::vector<TargetRecord> usable;
    for (const auto& [id, target] : host.state_->targets_) {
      if (host.control_->MayUse(target->record_, side, now_)) usable.push_back(target->record_);
    }
    if (usable.empty()) return;
    const TargetRecord& target = usable[static_cast<std::size_t>(++calls_) % usable.size()];
    const bool is_new = target.version_ == "v2";
    sent_to_new_ += is_new ? 1 : 0;
    if (!is_new && order_.state_ == RolloutState::kSucceeded) ++sent_to_old_after_end_;
    host.control_->Record(target, "r", is_new && is_bad_, milliseconds(100));
  }

  void Write(Host& host, const RolloutOrder& order, RolloutState state,
             const IRecordStore::WriteCallback& callback) {
    if (!host.reaches_store_) {
      replies_.push_back([callback] { callback({StoreStatus::kUnreachable, 0}); });
      return;
    }
    if (order.revision_ != order_.revision_) {
      ++conflicts_;
      replies_.push_back([this, callback] {
        callback({StoreStatus::kConflict, order_.revision_});
        Publish();
      });
      return;
    }
    order_.state_ = state;
    ++order_.revision_;
    written_.push_back(state);
    if (state != RolloutState::kRunning) final_at_ = now_;
    replies_.push_back([this, callback, is_lost = loses_responses_] {
      callback({is_lost ? StoreStatus::kUnreachable : StoreStatus::kOk, order_.revision_});
      // Otherwise the hosts read the order only after the write was repeated.
      if (!is_lost) Publish();
    });
  }

  std::vector<Datagram> datagrams_;
  std::vector<std::function<void()>> replies_;
  int steps_ = 0;
  int calls_ = 0;
  Time ordered_at_{};
  Time final_at_{};
};

const std::vector<RolloutState> kSucceeds = {RolloutState::kRunning, RolloutState::kSucceeded};
const std::vector<RolloutState> kRollsBack = {RolloutState::kRunning, RolloutState::kRolledBack};

}  // namespace

class RolloutControlTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RolloutControlTest);
  CPPUNIT_TEST(GoodVersionSucceedsInTime);
  CPPUNIT_TEST(BadVersionIsRolledBack);
  CPPUNIT_TEST(DecidingHostIsKilledHalfway);
  CPPUNIT_TEST(DecidingHostIsFrozen);
  CPPUNIT_TEST(DecidingHostDoesNotReachTheStore);
  CPPUNIT_TEST(TwoHostsDecide);
  CPPUNIT_TEST(ResponseToTheWriteIsLost);
  CPPUNIT_TEST(OldReplyConfirmsNothing);
  CPPUNIT_TEST(StoreIsRestoredFromACopy);
  CPPUNIT_TEST(VersionIsHeldBackUntilItsOrderIsKnown);
  CPPUNIT_TEST(GatewayRollsABadVersionBack);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Also guards against requests to old targets, which stop when the state is written.
  void GoodVersionSucceedsInTime() {
    Fleet fleet;
    fleet.Run(seconds(10));
    CPPUNIT_ASSERT(fleet.MayUse(fleet.Decider(3), "v1"));
    CPPUNIT_ASSERT(!fleet.MayUse(fleet.Decider(3), "v2"));
    fleet.Run(seconds(12));
    CPPUNIT_ASSERT(fleet.written_ == kSucceeds);
    CPPUNIT_ASSERT(fleet.FinalAfter() < seconds(20));
    CPPUNIT_ASSERT_EQUAL(0, fleet.sent_to_old_after_end_);
    CPPUNIT_ASSERT(!fleet.MayUse(fleet.Decider(3), "v1"));
    CPPUNIT_ASSERT(fleet.MayUse(fleet.Decider(3), "v2"));
  }

  void BadVersionIsRolledBack() {
    Fleet fleet;
    fleet.is_bad_ = true;
    fleet.Run(seconds(8));
    CPPUNIT_ASSERT(fleet.written_ == kRollsBack);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(fleet.sent_to_new_), fleet.sent_to_new_ < 50);
    const int sent = fleet.sent_to_new_;
    fleet.Run(seconds(20));
    CPPUNIT_ASSERT_EQUAL(sent, fleet.sent_to_new_);
  }

  // Guards against a roll-out that no one ends.
  void DecidingHostIsKilledHalfway() {
    for (const bool is_bad : {false, true}) {
      Fleet fleet;
      fleet.Run(seconds(8));
      fleet.Decider(0).is_running_ = false;
      fleet.is_bad_ = is_bad;
      fleet.Run(seconds(12));
      CPPUNIT_ASSERT(fleet.written_ == (is_bad ? kRollsBack : kSucceeds));
    }
  }

  // Guards against a host that acts on what it knew before it stood still.
  void DecidingHostIsFrozen() {
    for (const bool is_bad : {false, true}) {
      Fleet fleet;
      fleet.Run(seconds(8));
      fleet.Decider(0).is_running_ = false;
      fleet.is_bad_ = is_bad;
      fleet.Run(seconds(11));
      fleet.Decider(0).is_running_ = true;
      const int sent = fleet.sent_to_new_;
      fleet.Run(milliseconds(500));
      if (is_bad) CPPUNIT_ASSERT_EQUAL(sent, fleet.sent_to_new_);
      fleet.Publish();
      fleet.Run(seconds(5));
      CPPUNIT_ASSERT(fleet.written_ == (is_bad ? kRollsBack : kSucceeds));
    }
  }

  void DecidingHostDoesNotReachTheStore() {
    Fleet fleet;
    fleet.Run(seconds(5));
    fleet.Decider(0).reaches_store_ = false;
    fleet.Run(seconds(15));
    CPPUNIT_ASSERT(fleet.written_ == kSucceeds);
    CPPUNIT_ASSERT(fleet.FinalAfter() < seconds(20));
  }

  // Guards against two states, or one that is written twice.
  void TwoHostsDecide() {
    for (const bool is_bad : {false, true}) {
      Fleet fleet;
      fleet.Decider(0).side_ = fleet.Decider(2).side_ = 1;
      fleet.is_bad_ = is_bad;
      fleet.Run(seconds(22));
      CPPUNIT_ASSERT(fleet.written_ == (is_bad ? kRollsBack : kSucceeds));
      CPPUNIT_ASSERT_MESSAGE(std::to_string(fleet.sent_to_new_),
                             fleet.sent_to_new_ < 50 || !is_bad);
    }
  }

  void ResponseToTheWriteIsLost() {
    Fleet fleet;
    fleet.loses_responses_ = true;
    fleet.Run(seconds(25));
    CPPUNIT_ASSERT(fleet.conflicts_ >= 2);
    CPPUNIT_ASSERT(fleet.written_ == kSucceeds);
  }

  // Guards against replies that waited in the socket of a frozen host and seem to be new.
  void OldReplyConfirmsNothing() {
    Fleet fleet;
    fleet.Run(seconds(3));
    auto& host = fleet.Decider(4);
    RolloutMessage reply = {"h0", "h0", "s", "v2", {}, {}, fleet.now_, true};
    fleet.now_ += seconds(6);
    host.control_->OnMessage(EncodeRolloutMessage(reply), fleet.now_);
    for (int i = 0; i < 100; ++i) {
      CPPUNIT_ASSERT(host.control_->ChooseSide("s", fleet.now_) == RolloutSide::kOld);
    }
    reply.report_sent_at_ = fleet.now_;
    host.control_->OnMessage(EncodeRolloutMessage(reply), fleet.now_);
    int exposed = 0;
    for (int i = 0; i < 100; ++i) {
      exposed += host.control_->ChooseSide("s", fleet.now_) == RolloutSide::kNew ? 1 : 0;
    }
    CPPUNIT_ASSERT(exposed >= 5 && exposed <= 7);
  }

  // Guards against a version that was taken back and is used again, because the store forgot it.
  void StoreIsRestoredFromACopy() {
    Fleet fleet;
    fleet.is_bad_ = true;
    fleet.Run(seconds(8));
    CPPUNIT_ASSERT(fleet.written_ == kRollsBack);
    const int sent = fleet.sent_to_new_;
    fleet.order_.state_ = RolloutState::kRunning;
    fleet.order_.revision_ = 7;
    fleet.Publish();
    fleet.Run(seconds(4));
    CPPUNIT_ASSERT(fleet.order_.state_ == RolloutState::kRolledBack);
    CPPUNIT_ASSERT_EQUAL(sent, fleet.sent_to_new_);
  }

  // Guards against the time in which the targets are known and the order is not.
  void VersionIsHeldBackUntilItsOrderIsKnown() {
    Fleet fleet;
    auto& host = *fleet.hosts_.front();
    host.state_->rollouts_.clear();
    host.control_->OnRecords(fleet.now_);
    CPPUNIT_ASSERT(fleet.MayUse(host, "v1"));
    CPPUNIT_ASSERT(!fleet.MayUse(host, "v3"));
    fleet.now_ += seconds(4);
    CPPUNIT_ASSERT(fleet.MayUse(host, "v3"));
  }

  // The whole gateway, on sockets.
  void GatewayRollsABadVersionBack() {
    GatewayHost host;
    host.settings_.bounds_.has_rollouts_ = true;
    host.settings_.bounds_.exposure_share_ = 0.6;
    FakeTarget old_target("old", "z");
    FakeTarget new_target("new", "z");
    new_target.behaviour_ = FakeTarget::Behaviour::kReturnsError;
    const auto put = [&host](const FakeTarget& target, const std::string& version) {
      TargetRecord record = target.MakeRecord("s");
      record.version_ = version;
      host.store_.Put(RecordKind::kTarget, {record.id_, 0, record, {}, {}});
    };
    put(old_target, "v1");
    CPPUNIT_ASSERT(host.Start());
    const RolloutOrder order = {"s", "v2", seconds(60), RolloutState::kOrdered, 0};
    host.store_.Put(RecordKind::kRollout, {"s", 0, order, {}, {}});
    put(new_target, "v2");
    CPPUNIT_ASSERT(host.loop_.RunUntil([&host] { return !host.store_.rollout_writes_.empty(); }));
    const auto is_rolled_back = [&host] { return host.store_.rollout_writes_ == kRollsBack; };
    for (int i = 0; i < 300 && !is_rolled_back(); ++i) {
      // A failed request is repeated with the old version.
      CPPUNIT_ASSERT_EQUAL(200, host.Call("/safe/x").status_);
    }
    CPPUNIT_ASSERT(host.loop_.RunUntil(is_rolled_back));
    CPPUNIT_ASSERT(new_target.requests_received_ >= 12);
    const int received = new_target.requests_received_;
    for (int i = 0; i < 20; ++i) CPPUNIT_ASSERT_EQUAL(200, host.Call("/safe/x").status_);
    CPPUNIT_ASSERT_EQUAL(received, new_target.requests_received_);
    CPPUNIT_ASSERT(host.HasMetric("rollout_writes_total", "rolled_back"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutControlTest);

}  // namespace monsoonshelf::gateway
