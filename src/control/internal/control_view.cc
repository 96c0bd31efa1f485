#include <algorithm>

#include "control/control_types.h"

namespace monsoonshelf::control {

const ShardPlacement* FindPlacement(const ControlView& view, const std::string& service,
                                    const std::string& zone) {
  const auto found = view.placements_->find({service, zone});
  return found == view.placements_->end() ? nullptr : &found->second;
}

std::optional<coordination::MemberUpdate> DispatcherOf(const ControlView& view,
                                                       const std::string& service,
                                                       const std::string& zone) {
  const auto* placement = FindPlacement(view, service, zone);
  return placement == nullptr ? std::nullopt : placement->dispatcher_;
}

bool IsDispatcher(const ControlView& view, const std::string& service, const std::string& zone) {
  const auto* placement = FindPlacement(view, service, zone);
  return placement != nullptr && placement->dispatcher_.has_value() &&
         placement->dispatcher_->name_ == view.name_;
}

std::vector<coordination::MemberUpdate> EntryHostsFor(const ControlView& view,
                                                      const std::string& service,
                                                      const std::string& zone,
                                                      std::size_t max_hosts) {
  std::vector<coordination::MemberUpdate> hosts;
  if (const auto* placement = FindPlacement(view, service, zone); placement != nullptr) {
    hosts = placement->entry_hosts_;
  } else {
    for (const auto& member : view.members_) {
      if (member.state_ == coordination::MemberState::kAlive) hosts.push_back(member);
    }
    std::stable_partition(hosts.begin(), hosts.end(),
                          [&zone](const auto& member) { return member.zone_ == zone; });
  }
  if (hosts.size() > max_hosts) hosts.resize(max_hosts);
  return hosts;
}

std::optional<coordination::AssignmentView> FindHeldAssignment(const ControlView& view,
                                                               const std::string& service,
                                                               const std::string& zone, Time now) {
  const auto found = view.assignments_.find({service, zone});
  if (found == view.assignments_.end() || now >= found->second.held_until_) return std::nullopt;
  return found->second;
}

}  // namespace monsoonshelf::control
