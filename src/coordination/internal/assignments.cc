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
// These delays keep a suspicion that is soon refuted from moving assignments.
constexpr Duration kClaimDelay = std::chrono::seconds(1);
constexpr Duration kReleaseDelay = std::chrono::seconds(3);
constexpr Duration kHolderCheckInterval = std::chrono::milliseconds(250);

bool IsLeaving(const Node& node) { return node.membership_.self_.state_ == MemberState::kLeaving; }

// Recomputes the shards to claim and to release after members or configuration changed.
void UpdateWantedShards(Step& step) {
  auto& node = step.node_;
  auto& assignments = node.assignments_;
  if (!assignments.ownership_dirty_) return;
  assignments.ownership_dirty_ = false;
  std::map<ShardKey, Time> wanted;
  if (!IsLeaving(node) && node.configuration_exchange_.has_configuration_) {
    for (const auto& shard : DispatchedShards(node)) {
      const auto known = assignments.wanted_shards_.find(shard);
      wanted[shard] = known == assignments.wanted_shards_.end() ? step.now_ : known->second;
    }
  }
  assignments.wanted_shards_ = std::move(wanted);
  std::map<ShardKey, Time> to_release;
  for (const auto& [shard, claim] : assignments.held_claims_) {
    if (assignments.wanted_shards_.contains(shard)) continue;
    const auto known = assignments.shards_to_release_.find(shard);
    to_release[shard] = known == assignments.shards_to_release_.end() ? step.now_ : known->second;
  }
  assignments.shards_to_release_ = std::move(to_release);
}

Duration ReleaseDelay(const Node& node) {
  return IsLeaving(node) ? Duration::zero() : Duration(kReleaseDelay);
}

// Returns true if this host sees the member that holds an entry as alive or leaving.
bool IsHolderAlive(const Node& node, const HostName& name) {
  const auto found = node.membership_.members_.find(name);
  if (found == node.membership_.members_.end()) return false;
  const auto state = found->second.update_.state_;
  return state == MemberState::kAlive || state == MemberState::kLeaving;
}

// Returns the time until which work of an earlier holder of an entry may run, or std::nullopt if
// the entry must not be claimed yet.
std::optional<Time> PredecessorEnd(Step& step, const ZoneAssignments& zone,
                                   const std::string& service) {
  const auto& node = step.node_;
  const Time latest_end = step.now_ + MaxLeaseDuration(node.settings_);
  const auto found = zone.entries_.find(service);
  if (found == zone.entries_.end()) return step.now_;
  const AssignmentEntry& entry = found->second;
  if (entry.host_.empty() || entry.host_ == node.settings_.name_) return latest_end;
  if (IsHolderAlive(node, entry.host_)) return std::nullopt;
  switch (CheckHolderSession(step, entry, zone.version_)) {
    case HolderStatus::kMayBeActive:
      return std::nullopt;
    case HolderStatus::kFenced:
      return step.now_;
    case HolderStatus::kEnded:
      return latest_end;
  }
  return std::nullopt;
}

// Adds a claim of this host to `entries`. Returns false if the entry must not be claimed yet.
bool ClaimEntry(Step& step, const std::string& name, ZoneAssignments& zone,
                const std::string& service, std::map<std::string, AssignmentEntry>& entries) {
  const auto predecessor_end = PredecessorEnd(step, zone, service);
  if (!predecessor_end) return false;
  const auto& own = step.node_.settings_.name_;
  const auto& session = step.node_.session_.id_;
  auto& entry = entries[service];
  auto& last_epoch = step.node_.assignments_.last_epochs_[{service, name}];
  last_epoch = std::max(last_epoch, entry.epoch_) + 1;
  entry = {own, session, last_epoch};
  zone.pending_claims_[service] = {session, last_epoch, *predecessor_end};
  return true;
}

void ReadZoneAssignments(Step& step, const std::string& name, ZoneAssignments& zone) {
  PlatformRequest request;
  request.operation_ = PlatformOperation::kGet;
  request.kinds_ = {kAssignments};
  request.name_ = name;
  zone.request_pending_ = true;
  AddPlatformRequest(step, RequestPurpose::kAssignmentRead, std::move(request), {});
}

// Services whose shards in a zone this host must claim or release now.
struct AssignmentChanges {
  std::vector<std::string> claims_;
  std::vector<std::string> releases_;
};

AssignmentChanges DueChanges(const Node& node, const std::string& name, Time now) {
  const auto& assignments = node.assignments_;
  AssignmentChanges changes;
  for (const auto& [shard, since] : assignments.wanted_shards_) {
    if (shard.second != name || assignments.held_claims_.contains(shard)) continue;
    if (now >= since + kClaimDelay) changes.claims_.push_back(shard.first);
  }
  for (const auto& [shard, since] : assignments.shards_to_release_) {
    if (shard.second == name && now >= since + ReleaseDelay(node)) {
      changes.releases_.push_back(shard.first);
    }
  }
  return changes;
}

// Writes all changes of a zone in one conditional update. Returns false if there is nothing to
// write yet.
bool WriteZoneAssignments(Step& step, const std::string& name, ZoneAssignments& zone,
                          const AssignmentChanges& changes) {
  auto& assignments = step.node_.assignments_;
  auto entries = zone.entries_;
  zone.pending_claims_.clear();
  bool changed = false;
  if (HasLease(step.node_, step.now_)) {
    for (const auto& service : changes.claims_) {
      if (ClaimEntry(step, name, zone, service, entries)) changed = true;
    }
  }
  for (const auto& service : changes.releases_) {
    // This host no longer uses the assignment, whether or not the write takes effect.
    const ShardKey shard{service, name};
    const auto held = assignments.held_claims_.find(shard);
    if (held == assignments.held_claims_.end()) continue;
    auto& entry = entries[service];
    if (entry.session_ == held->second.session_ && entry.epoch_ == held->second.epoch_) {
      entry = {"", "", entry.epoch_};
      changed = true;
    }
    assignments.held_claims_.erase(held);
    assignments.shards_to_release_.erase(shard);
    step.output_.assignments_changed_ = true;
  }
  if (!changed) return false;
  PlatformRequest request;
  request.operation_ = PlatformOperation::kPut;
  request.kinds_ = {kAssignments};
  request.name_ = name;
  request.version_ = zone.version_;
  request.body_ = FormatAssignments(entries);
  zone.request_pending_ = true;
  AddPlatformRequest(step, RequestPurpose::kAssignmentPut, std::move(request), {});
  return true;
}

bool WaitsForRelease(const Node& node, const ZoneAssignments& zone,
                     const AssignmentChanges& changes) {
  return std::any_of(changes.claims_.begin(), changes.claims_.end(), [&](const auto& service) {
    const auto entry = zone.entries_.find(service);
    return entry != zone.entries_.end() && IsHolderAlive(node, entry->second.host_);
  });
}

void UpdateDueZone(Step& step, const std::string& name, ZoneAssignments& zone) {
  if (zone.request_pending_ || step.now_ < zone.next_attempt_) return;
  const AssignmentChanges changes = DueChanges(step.node_, name, step.now_);
  const bool can_claim = !changes.claims_.empty() && HasLease(step.node_, step.now_);
  if (!can_claim && changes.releases_.empty()) return;
  if (!zone.loaded_) {
    ReadZoneAssignments(step, name, zone);
    return;
  }
  if (WriteZoneAssignments(step, name, zone, changes)) return;
  // A write based on an outdated copy fails its version condition, so the object is read again only
  // if a live holder must release its entry first.
  zone.loaded_ = !WaitsForRelease(step.node_, zone, changes);
  zone.next_attempt_ = step.now_ + (zone.loaded_ ? Duration(kHolderCheckInterval)
                                                 : zone.backoff_.Next(step.random_));
}

// Marks the pending claims that the object contains as held. Only the epoch of a claim proves that
// the write took effect and that no earlier release by this host can still end it.
void ConfirmClaims(Step& step, const std::string& name, ZoneAssignments& zone) {
  auto& node = step.node_;
  for (const auto& [service, claim] : zone.pending_claims_) {
    const auto entry = zone.entries_.find(service);
    if (entry == zone.entries_.end() || claim.session_ != node.session_.id_) continue;
    if (entry->second.session_ != claim.session_ || entry->second.epoch_ != claim.epoch_) continue;
    node.assignments_.held_claims_[{service, name}] = claim;
    node.assignments_.ownership_dirty_ = true;
    step.output_.assignments_changed_ = true;
    AddEvent(step, "assignment_held",
             {{"service", service}, {"zone", name}, {"epoch", std::to_string(claim.epoch_)}});
  }
  zone.pending_claims_.clear();
}

// Copies the object in a reply. Returns false if the object cannot be parsed.
bool LoadZoneAssignments(Step& step, const std::string& name, ZoneAssignments& zone,
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

void OnZoneAssignmentsReply(Step& step, const PendingRequest& request, const PlatformReply& reply) {
  auto& zone = step.node_.assignments_.zones_[request.name_];
  zone.request_pending_ = false;
  const bool is_write = request.purpose_ == RequestPurpose::kAssignmentPut;
  const bool exists =
      reply.code_ == ResultCode::kOk || reply.code_ == ResultCode::kPlatformConflict;
  const bool absent = reply.code_ == ResultCode::kPlatformNotFound;
  if ((exists || absent) && LoadZoneAssignments(step, request.name_, zone, reply)) {
    // After a conflict or a read, the object may contain a claim of this host whose response was
    // lost, even if another host has written the object since.
    ConfirmClaims(step, request.name_, zone);
    zone.loaded_ = !is_write;
    zone.next_attempt_ = step.now_;
    if (reply.code_ == ResultCode::kOk && is_write) zone.backoff_.Reset();
    if (reply.code_ == ResultCode::kPlatformConflict) {
      zone.loaded_ = true;
      zone.next_attempt_ =
          step.now_ + Jitter(step.random_, Duration(0), std::chrono::milliseconds(200));
    }
    return;
  }
  zone.loaded_ = false;
  zone.next_attempt_ = step.now_ + zone.backoff_.Next(step.random_);
}

}  // namespace

void UpdateDueAssignments(Step& step) {
  UpdateWantedShards(step);
  auto& assignments = step.node_.assignments_;
  std::set<std::string> zones;
  for (const auto& [shard, since] : assignments.wanted_shards_) {
    if (!assignments.held_claims_.contains(shard)) zones.insert(shard.second);
  }
  for (const auto& [shard, since] : assignments.shards_to_release_) zones.insert(shard.second);
  for (const auto& zone : zones) UpdateDueZone(step, zone, assignments.zones_[zone]);
  RemoveOldFences(step);
}

Time NextAssignmentTime(const Node& node, Time now) {
  const auto& assignments = node.assignments_;
  if (assignments.ownership_dirty_) return now;
  Time next = kNever;
  const auto add_due_time = [&](const ShardKey& shard, Time due) {
    const auto zone = assignments.zones_.find(shard.second);
    if (zone == assignments.zones_.end()) {
      next = std::min(next, due);
    } else if (!zone->second.request_pending_) {
      next = std::min(next, std::max(due, zone->second.next_attempt_));
    }
  };
  for (const auto& [shard, since] : assignments.wanted_shards_) {
    if (!assignments.held_claims_.contains(shard) && HasLease(node, now))
      add_due_time(shard, since + kClaimDelay);
  }
  for (const auto& [shard, since] : assignments.shards_to_release_)
    add_due_time(shard, since + ReleaseDelay(node));
  for (const auto& [host, fence] : assignments.own_fences_) next = std::min(next, fence.second);
  return next;
}

void OnAssignmentReply(Step& step, const PendingRequest& request, const PlatformReply& reply) {
  switch (request.purpose_) {
    case RequestPurpose::kAssignmentRead:
    case RequestPurpose::kAssignmentPut:
      OnZoneAssignmentsReply(step, request, reply);
      break;
    default:
      OnHolderSessionReply(step, request, reply);
  }
}

}  // namespace monsoonshelf::coordination::internal
