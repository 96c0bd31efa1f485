#include "control/internal/node_runner.h"

#include <ctime>
#include <set>
#include <utility>

#include "base/clock.h"

namespace monsoonshelf::control::detail {

namespace {

using coordination::NodeOutput;

// Interval of the check for isolation. No message or reply marks the moment at which a host becomes
// isolated and must refuse calls.
constexpr Duration kIsolationCheck = std::chrono::milliseconds(250);
// Computing the placements takes milliseconds at the design scale, so a burst of member updates
// must not cause one computation per message.
constexpr Duration kMinPublishInterval = std::chrono::milliseconds(20);
constexpr Duration kCostInterval = std::chrono::seconds(1);
// Callers try the hosts in order and repeat the query after some time, so more hosts are of no use.
constexpr std::size_t kMaxEntryHosts = 16;

Duration ThreadProcessorTime() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) +
                                              std::chrono::nanoseconds(time.tv_nsec));
}

bool AreEqual(const coordination::AssignmentView& a, const coordination::AssignmentView& b) {
  return a.held_until_ == b.held_until_ && a.predecessor_end_ == b.predecessor_end_;
}

bool AreEqual(const std::map<ShardKey, coordination::AssignmentView>& a,
              const std::map<ShardKey, coordination::AssignmentView>& b) {
  if (a.size() != b.size()) return false;
  for (auto i = a.begin(), j = b.begin(); i != a.end(); ++i, ++j) {
    if (i->first != j->first || !AreEqual(i->second, j->second)) return false;
  }
  return true;
}

gboolean DispatchTimerSource(GSource* source, GSourceFunc callback, gpointer data) {
  g_source_set_ready_time(source, -1);
  return callback(data);
}

GSource* MakeTimerSource(GSourceFunc callback, gpointer data) {
  static GSourceFuncs functions = {nullptr, nullptr, &DispatchTimerSource,
                                   nullptr, nullptr, nullptr};
  GSource* source = g_source_new(&functions, sizeof(GSource));
  g_source_set_callback(source, callback, data, nullptr);
  g_source_attach(source, g_main_context_get_thread_default());
  return source;
}

}  // namespace

std::shared_ptr<const Placements> ComputePlacements(const coordination::Node& node,
                                                    const configuration::Snapshot& snapshot) {
  auto placements = std::make_shared<Placements>();
  for (const auto& [service, view] : snapshot.services_) {
    std::set<std::string> zones;
    for (const auto& [zone, record] : snapshot.zones_) zones.insert(zone);
    for (const auto& target : view.targets_) zones.insert(target.zone_);
    for (const auto& zone : zones) {
      (*placements)[{service, zone}] = {
          coordination::DispatcherOf(node, service, zone),
          coordination::EntryHostsFor(node, service, zone, kMaxEntryHosts)};
    }
  }
  return placements;
}

NodeRunner::NodeRunner(coordination::NodeSettings settings, std::uint64_t random_seed,
                       store::IPlatformClient& client, peer::IPeerTransport& transport,
                       ControlCallbacks callbacks)
    : settings_(std::move(settings)),
      random_(random_seed),
      client_(client),
      transport_(transport),
      callbacks_(std::move(callbacks)) {
  view_.name_ = settings_.name_;
  view_.incarnation_ = settings_.incarnation_;
  view_.zone_ = settings_.zone_;
  view_.region_ = settings_.region_;
  view_.peer_address_ = settings_.peer_address_;
  view_.snapshot_ = std::make_shared<configuration::Snapshot>();
  view_.placements_ = std::make_shared<Placements>();
}

NodeRunner::~NodeRunner() {
  if (timer_ == nullptr) return;
  g_source_destroy(timer_);
  g_source_unref(timer_);
}

void NodeRunner::Start() {
  const Time now = Now();
  timer_ = MakeTimerSource(&NodeRunner::OnTimer, this);
  node_ = coordination::MakeNode(settings_, now);
  next_cost_report_ = now + kCostInterval;
  view_changed_ = true;
  auto output = coordination::OnStart(*node_, now, random_);
  output.members_changed_ = true;
  ExecuteOutput(output);
}

void NodeRunner::OnMessage(const coordination::PeerMessage& message) {
  wakeups_++;
  ExecuteOutput(coordination::OnPeerMessage(*node_, message, Now(), random_));
}

void NodeRunner::OnReply(const coordination::PlatformReply& reply) {
  wakeups_++;
  ExecuteOutput(coordination::OnPlatformReply(*node_, reply, Now(), random_));
}

void NodeRunner::SetLocalShards(std::vector<coordination::ShardLoad> shards) {
  const Time now = Now();
  coordination::SetLocalShards(*node_, std::move(shards), now);
  ArmTimer(now);
}

void NodeRunner::Leave() {
  view_.leaving_ = true;
  view_changed_ = true;
  last_publish_ = {};  // Publishes without waiting for the minimum interval.
  auto output = coordination::OnLeave(*node_, Now(), random_);
  output.members_changed_ = true;
  ExecuteOutput(output);
}

gboolean NodeRunner::OnTimer(gpointer data) {
  static_cast<NodeRunner*>(data)->OnWakeup();
  return G_SOURCE_CONTINUE;
}

void NodeRunner::OnWakeup() {
  wakeups_++;
  const Time now = Now();
  if (now >= next_cost_report_) PublishCost(now);
  // The timer also fires for the isolation check, a delayed view and the cost report.
  ExecuteOutput(now >= next_tick_ ? coordination::OnTick(*node_, now, random_) : NodeOutput{});
}

void NodeRunner::ExecuteOutput(const NodeOutput& output) {
  for (const auto& event : output.events_) {
    if (callbacks_.event_) callbacks_.event_(event);
  }
  for (const auto& send : output.peer_sends_) transport_.Send(send);
  for (const auto& request : output.platform_requests_) {
    client_.Send(request, [this](const auto& reply) { OnReply(reply); });
  }
  if (!output.remote_shards_.empty() && callbacks_.remote_shards_) {
    callbacks_.remote_shards_(output.remote_shards_);
  }
  const Time now = Now();
  UpdateView(output, now);
  if (view_changed_ && now >= last_publish_ + kMinPublishInterval) Publish(now);
  ArmTimer(now);
}

void NodeRunner::UpdateView(const NodeOutput& output, Time now) {
  if (output.configuration_changed_) {
    view_.snapshot_ = configuration::BuildSnapshot(coordination::ConfigurationOf(*node_));
  }
  if (output.members_changed_) view_.members_ = coordination::Members(*node_);
  if (output.configuration_changed_ || output.members_changed_) {
    view_changed_ = placements_changed_ = true;
  }
  std::map<ShardKey, coordination::AssignmentView> assignments;
  for (auto& held : coordination::HeldAssignments(*node_, now)) {
    assignments[{held.service_, held.zone_}] = held;
  }
  const bool has_configuration = coordination::HasConfiguration(*node_);
  const bool isolated = coordination::IsIsolated(*node_, now);
  if (has_configuration != view_.has_configuration_ || isolated != view_.isolated_ ||
      !AreEqual(assignments, view_.assignments_)) {
    view_changed_ = true;
  }
  view_.has_configuration_ = has_configuration;
  view_.isolated_ = isolated;
  view_.assignments_ = std::move(assignments);
}

void NodeRunner::Publish(Time now) {
  if (placements_changed_) view_.placements_ = ComputePlacements(*node_, *view_.snapshot_);
  view_changed_ = placements_changed_ = false;
  last_publish_ = now;
  view_.revision_++;
  if (callbacks_.view_) callbacks_.view_(std::make_shared<const ControlView>(view_));
}

void NodeRunner::PublishCost(Time now) {
  next_cost_report_ = now + kCostInterval;
  if (!callbacks_.cost_) return;
  const auto& peer = transport_.Counters();
  const auto& platform = client_.Counters();
  callbacks_.cost_({ThreadProcessorTime(), wakeups_, peer.messages_in_, peer.messages_out_,
                    peer.bytes_in_, peer.bytes_out_, peer.rejected_, platform.calls_,
                    platform.refused_by_budget_, platform.bytes_in_, platform.bytes_out_});
}

void NodeRunner::ArmTimer(Time now) {
  next_tick_ = coordination::NextTick(*node_, now);
  Time next = std::min(next_tick_, next_cost_report_);
  if (!view_.isolated_) next = std::min(next, now + kIsolationCheck);
  if (view_changed_) next = std::min(next, last_publish_ + kMinPublishInterval);
  // Ready times of sources use the monotonic clock, which differs from CLOCK_BOOTTIME after the
  // machine was suspended. Only the difference to Now() is therefore converted.
  g_source_set_ready_time(timer_,
                          g_get_monotonic_time() + std::max(next - now, Duration(0)).count());
}

}  // namespace monsoonshelf::control::detail
