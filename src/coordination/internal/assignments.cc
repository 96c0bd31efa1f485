#include "coordination/internal/assignments.h"

#include <algorithm>
#include <utility>

#include "coordination/internal/assignment_body.h"
#include "coordination/internal/holder_session.h"
#include "coordination/internal/ownership.h"
#include "coordination/internal/platform_link.h"
#include "coordination/internal/session.h"

namespace monsoonshelf::coordination::internal {

namespace {

constexpr char kAssignments[] = "assignments";
// A suspicion that is refuted soon must not move assignments.
constexpr Duration kClaimDelay = std::chrono::seconds(1);
constexpr Duration kReleaseDelay = std::chrono::seconds(3);
constexpr Duration kHolderCheckInterval = std::chrono::milliseconds(250);

bool IsLeaving(const Node& node) { return node.membership_.self_.state_ == MemberState::kLeaving; }

// Brings the wanted and unwanted shards up to date with members and configuration.
void UpdateWanted(Step& step) {
  auto& node = step.node_;
  auto& assignments = node.assignments_;
  if (!assignments.ownership_dirty_) return;
  assignments.ownership_dirty_ = false;
  std::map<ShardKey, Time> wanted;
  if (!IsLeaving(node) && node.exchange_.has_configuration_) {
    for (const auto& shard : DispatchedShards(node)) {
      const auto known = assignments.wanted_.find(shard);
      wanted[shard] = known == assignments.wanted_.end() ? step.now_ : known->second;
    }
  }
  assignments.wanted_ = std::move(wanted);
  std::map<ShardKey, Time> unwanted;
  for (const auto& [shard, claim] : assignments.held_) {
    if (assignments.wanted_.contains(shard)) continue;
    const auto known = assignments.unwanted_.find(shard);
    unwanted[shard] = known == assignments.unwanted_.end() ? step.now_ : known->second;
  }
  assignments.unwanted_ = std::move(unwanted);
}

Duration ReleaseDelay(const Node& node) {
  return IsLeaving(node) ? Duration::zero() : Duration(kReleaseDelay);
}

// The member that holds an entry is in use as far as this host can see.
bool IsHolderAlive(const Node& node, const HostName& name) {
  const auto found = node.membership_.members_.find(name);
  if (found == node.membership_.members_.end()) return false;
  const auto state = found->second.update_.state_;
  return state == MemberState::kAlive || state == MemberState::kLeaving;
}

// The time until which work of an earlier holder of an entry may run, if it may be claimed now.
std::optional<Time> PredecessorEnd(Step& step, const ZoneAssignments& zone,
                                   const std::string& service) {
  const auto& node = step.node_;
  const Time conservative = step.now_ + LeaseSpan(node.settings_);
  const auto found = zone.entries_.find(service);
  if (found == zone.entries_.end()) return step.now_;
  const AssignmentEntry& entry = found->second;
  if (entry.host_.empty() || entry.host_ == node.settings_.name_) return conservative;
  if (IsHolderAlive(node, entry.host_)) return std::nullopt;
  switch (CheckHolder(step, entry, zone.version_)) {
    case HolderVerdict::kWait:
      return std::nullopt;
    case HolderVerdict::kFenced:
      return step.now_;
    case HolderVerdict::kOver:
      return conservative;
  }
  return std::nullopt;
}

// Enters a claim of this host. False: the entry may not be claimed yet.
bool ClaimEntry(Step& step, const std::string& name, ZoneAssignments& zone,
                const std::string& service, std::map<std::string, AssignmentEntry>& entries) {
  const auto predecessor_end = PredecessorEnd(step, zone, service);
  if (!predecessor_end) return false;
  const auto& own = step.node_.settings_.name_;
  const auto& session = step.node_.session_.id_;
  auto& entry = entries[service];
  auto& last_epoch = step.node_.assignments_.last_epoch_[{service, name}];
  last_epoch = std::max(last_epoch, entry.epoch_) + 1;
  entry = {own, session, last_epoch};
  zone.claims_[service] = {session, last_epoch, *predecessor_end};
  return true;
}

void ReadZone(Step& step, const std::string& name, ZoneAssignments& zone) {
  PlatformRequest request;
  request.operation_ = PlatformOperation::kGet;
  request.kinds_ = {kAssignments};
  request.name_ = name;
  zone.waiting_ = true;
  SendRequest(step, Purpose::kAssignmentRead, std::move(request), {});
}

// Shards of a zone that this host must claim or release now, by their services.
struct Changes {
  std::vector<std::string> claims_;
  std::vector<std::string> releases_;
};

Changes DueChanges(const Node& node, const std::string& name, Time now) {
  const auto& assignments = node.assignments_;
  Changes changes;
  for (const auto& [shard, since] : assignments.wanted_) {
    if (shard.second != name || assignments.held_.contains(shard)) continue;
    if (now >= since + kClaimDelay) changes.claims_.push_back(shard.first);
  }
  for (const auto& [shard, since] : assignments.unwanted_) {
    if (shard.second == name && now >= since + ReleaseDelay(node)) {
      changes.releases_.push_back(shard.first);
    }
  }
  return changes;
}

// Writes all changes of a zone in one conditional update. False: nothing can be changed yet.
bool WriteZone(Step& step, const std::string& name, ZoneAssignments& zone, const Changes& changes) {
  auto& assignments = step.node_.assignments_;
  auto entries = zone.entries_;
  zone.claims_.clear();
  bool changed = false;
  if (HasLease(step.node_, step.now_)) {
    for (const auto& service : changes.claims_) {
      if (ClaimEntry(step, name, zone, service, entries)) changed = true;
    }
  }
  for (const auto& service : changes.releases_) {
    // Not used from here on, whether or not the write takes effect.
    const ShardKey shard{service, name};
    const auto held = assignments.held_.find(shard);
    if (held == assignments.held_.end()) continue;
    auto& entry = entries[service];
    if (entry.session_ == held->second.session_ && entry.epoch_ == held->second.epoch_) {
      entry = {"", "", entry.epoch_};
      changed = true;
    }
    assignments.held_.erase(held);
    assignments.unwanted_.erase(shard);
    step.output_.assignments_changed_ = true;
  }
  if (!changed) return false;
  PlatformRequest request;
  request.operation_ = PlatformOperation::kPut;
  request.kinds_ = {kAssignments};
  request.name_ = name;
  request.version_ = zone.version_;
  request.body_ = FormatAssignments(entries);
  zone.waiting_ = true;
  SendRequest(step, Purpose::kAssignmentPut, std::move(request), {});
  return true;
}

bool WaitsForRelease(const Node& node, const ZoneAssignments& zone, const Changes& changes) {
  return std::any_of(changes.claims_.begin(), changes.claims_.end(), [&](const auto& service) {
    const auto entry = zone.entries_.find(service);
    return entry != zone.entries_.end() && IsHolderAlive(node, entry->second.host_);
  });
}

void ContinueZone(Step& step, const std::string& name, ZoneAssignments& zone) {
  if (zone.waiting_ || step.now_ < zone.next_) return;
  const Changes changes = DueChanges(step.node_, name, step.now_);
  const bool can_claim = !changes.claims_.empty() && HasLease(step.node_, step.now_);
  if (!can_claim && changes.releases_.empty()) return;
  if (!zone.known_) {
    ReadZone(step, name, zone);
    return;
  }
  if (WriteZone(step, name, zone, changes)) return;
  // The condition on the version keeps a write upon an outdated copy from taking effect, so that
  // the object is read again only when a live holder must release first.
  zone.known_ = !WaitsForRelease(step.node_, zone, changes);
  zone.next_ =
      step.now_ + (zone.known_ ? Duration(kHolderCheckInterval) : zone.backoff_.Next(step.random_));
}

// Takes over the claims that the object shows. Only the epoch of a claim proves that a write of
// this host took effect after every earlier release of it.
void AdoptClaims(Step& step, const std::string& name, ZoneAssignments& zone) {
  auto& node = step.node_;
  for (const auto& [service, claim] : zone.claims_) {
    const auto entry = zone.entries_.find(service);
    if (entry == zone.entries_.end() || claim.session_ != node.session_.id_) continue;
    if (entry->second.session_ != claim.session_ || entry->second.epoch_ != claim.epoch_) continue;
    node.assignments_.held_[{service, name}] = claim;
    node.assignments_.ownership_dirty_ = true;
    step.output_.assignments_changed_ = true;
    AddEvent(step, "assignment_held",
             {{"service", service}, {"zone", name}, {"epoch", std::to_string(claim.epoch_)}});
  }
  zone.claims_.clear();
}

// False: the object is not readable.
bool TakeObject(Step& step, const std::string& name, ZoneAssignments& zone,
                const PlatformReply& reply) {
  zone.entries_.clear();
  zone.version_ = 0;
  if (reply.objects_.empty() || reply.objects_.front().deleted_) return true;
  auto entries = ParseAssignments(reply.objects_.front().body_);
  if (!entries) {
    AddErrorEvent(step, "assignments_unreadable", ResultCode::kPlatformInvalidAnswer,
                  {{"zone", name}});
    return false;
  }
  zone.version_ = reply.objects_.front().version_;
  zone.entries_ = std::move(*entries);
  return true;
}

void OnZoneReply(Step& step, const WaitingRequest& request, const PlatformReply& reply) {
  auto& zone = step.node_.assignments_.zones_[request.name_];
  zone.waiting_ = false;
  const bool is_write = request.purpose_ == Purpose::kAssignmentPut;
  const bool exists =
      reply.code_ == ResultCode::kOk || reply.code_ == ResultCode::kPlatformConflict;
  const bool absent = reply.code_ == ResultCode::kPlatformNotFound;
  if ((exists || absent) && TakeObject(step, request.name_, zone, reply)) {
    // After a conflict or a read, an own write may still be what another host built upon.
    AdoptClaims(step, request.name_, zone);
    zone.known_ = !is_write;
    zone.next_ = step.now_;
    if (reply.code_ == ResultCode::kOk && is_write) zone.backoff_.Reset();
    if (reply.code_ == ResultCode::kPlatformConflict) {
      zone.known_ = true;
      zone.next_ = step.now_ + Jitter(step.random_, Duration(0), std::chrono::milliseconds(200));
    }
    return;
  }
  zone.known_ = false;
  zone.next_ = step.now_ + zone.backoff_.Next(step.random_);
}

}  // namespace

void ContinueAssignments(Step& step) {
  UpdateWanted(step);
  auto& assignments = step.node_.assignments_;
  std::set<std::string> zones;
  for (const auto& [shard, since] : assignments.wanted_) {
    if (!assignments.held_.contains(shard)) zones.insert(shard.second);
  }
  for (const auto& [shard, since] : assignments.unwanted_) zones.insert(shard.second);
  for (const auto& zone : zones) ContinueZone(step, zone, assignments.zones_[zone]);
  RemoveOldFences(step);
}

Time NextAssignmentTime(const Node& node, Time now) {
  const auto& assignments = node.assignments_;
  if (assignments.ownership_dirty_) return now;
  Time next = kNever;
  const auto at = [&](const ShardKey& shard, Time due) {
    const auto zone = assignments.zones_.find(shard.second);
    if (zone == assignments.zones_.end()) {
      next = std::min(next, due);
    } else if (!zone->second.waiting_) {
      next = std::min(next, std::max(due, zone->second.next_));
    }
  };
  for (const auto& [shard, since] : assignments.wanted_) {
    if (!assignments.held_.contains(shard) && HasLease(node, now)) at(shard, since + kClaimDelay);
  }
  for (const auto& [shard, since] : assignments.unwanted_) at(shard, since + ReleaseDelay(node));
  for (const auto& [host, fence] : assignments.fences_) next = std::min(next, fence.second);
  return next;
}

void OnAssignmentReply(Step& step, const WaitingRequest& request, const PlatformReply& reply) {
  switch (request.purpose_) {
    case Purpose::kAssignmentRead:
    case Purpose::kAssignmentPut:
      OnZoneReply(step, request, reply);
      break;
    default:
      OnHolderReply(step, request, reply);
  }
}

}  // namespace monsoonshelf::coordination::internal
