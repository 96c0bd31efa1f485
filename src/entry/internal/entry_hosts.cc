#include "entry/internal/entry_hosts.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <vector>

namespace monsoonshelf::entry {

namespace {

constexpr std::size_t kMaxHosts = 8;

std::vector<coordination::MemberUpdate> LiveMembers(const EntryView& view,
                                                    const std::string& zone) {
  std::vector<coordination::MemberUpdate> members;
  for (const auto& member : view.members_) {
    if (member.state_ == coordination::MemberState::kAlive) members.push_back(member);
  }
  std::stable_partition(members.begin(), members.end(),
                        [&](const auto& member) { return member.zone_ == zone; });
  return members;
}

}  // namespace

std::string EntryHostsJson(const EntryView& view, const EntrySettings& settings,
                           const std::string& service, const std::string& zone,
                           std::int64_t now_minute) {
  const auto placement = view.placements_.find({service, zone});
  auto members = placement != view.placements_.end() ? placement->second.entry_hosts_
                                                     : LiveMembers(view, zone);
  if (members.size() > kMaxHosts) members.resize(kMaxHosts);
  auto hosts = nlohmann::json::array();
  for (const auto& member : members) {
    hosts.push_back(
        {{"address", member.call_address_},
         {"zone", member.zone_},
         {"host", member.name_},
         {"ticket", outcomes::FormatTicket(member.name_, member.incarnation_, now_minute)}});
  }
  const auto keep = std::chrono::duration_cast<std::chrono::seconds>(settings.keep_time_).count();
  return nlohmann::json{{"hosts", hosts}, {"keep_seconds", keep}}.dump();
}

}  // namespace monsoonshelf::entry
