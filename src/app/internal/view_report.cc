#include "app/internal/view_report.h"

#include <algorithm>

#include "logging/logging.h"

namespace monsoonshelf::app {

namespace {

using coordination::MemberState;
using metrics::MemberGauge;

constexpr std::array<std::pair<MemberState, MemberGauge>, 4> kMemberGauges = {{
    {MemberState::kAlive, MemberGauge::kAlive},
    {MemberState::kSuspected, MemberGauge::kSuspected},
    {MemberState::kLeaving, MemberGauge::kLeaving},
    {MemberState::kGone, MemberGauge::kGone},
}};

void ReportMembers(metrics::Metrics& metrics, const control::ControlView& view) {
  for (const auto& [state, gauge] : kMemberGauges) {
    const auto count =
        std::count_if(view.members_.begin(), view.members_.end(),
                      [wanted = state](const auto& member) { return member.state_ == wanted; });
    metrics::SetMembers(metrics, gauge, static_cast<int>(count));
  }
}

void ReportShards(metrics::Metrics& metrics, const control::ControlView& view,
                  const std::vector<coordination::ShardLoad>& local) {
  std::vector<metrics::ShardMetrics> shards;
  for (const auto& [key, placement] : *view.placements_) {
    if (!placement.dispatcher_) continue;
    metrics::ShardMetrics shard;
    shard.service_ = key.first;
    shard.zone_ = key.second;
    shard.dispatcher_ = placement.dispatcher_->name_;
    const auto load = std::find_if(local.begin(), local.end(), [&shard](const auto& item) {
      return item.service_ == shard.service_ && item.zone_ == shard.zone_;
    });
    if (load != local.end()) {
      shard.dispatched_here_ = true;
      shard.queued_ = load->queued_;
      shard.free_slots_ = load->free_slots_;
      shard.ready_targets_ = load->ready_targets_;
    }
    shards.push_back(std::move(shard));
  }
  metrics::SetShards(metrics, shards);
}

void ReportZones(ReportedState& reported, const configuration::Snapshot& snapshot) {
  for (const auto& [name, zone] : snapshot.zones_) {
    const auto previous = reported.zone_states_.find(name);
    if (previous != reported.zone_states_.end() && previous->second == zone.state_) continue;
    logging::LogEvent(logging::LogLevel::kInfo, "zone_state",
                      {{"zone", name},
                       {"state", std::string(NameOf(records::kZoneStateNames, zone.state_))},
                       {"revision", std::to_string(snapshot.highest_version_)}});
    reported.zone_states_[name] = zone.state_;
  }
}

}  // namespace

void ReportView(ReportedState& reported, metrics::Metrics& metrics,
                const control::ControlView& view, const std::vector<coordination::ShardLoad>& local,
                Time now) {
  ReportMembers(metrics, view);
  ReportShards(metrics, view, local);
  if (!view.has_configuration_) return;
  if (view.snapshot_->highest_version_ == reported.revision_) return;
  reported.revision_ = view.snapshot_->highest_version_;
  metrics::SetConfiguration(metrics, reported.revision_, now);
  ReportZones(reported, *view.snapshot_);
}

}  // namespace monsoonshelf::app
