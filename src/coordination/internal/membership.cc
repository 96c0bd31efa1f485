#include "coordination/internal/membership.h"

#include <algorithm>
#include <tuple>

#include "coordination/internal/member_chart.h"

namespace monsoonshelf::coordination::internal {

namespace {

// Number of members to which a change is pushed at once. Each of them forwards changes that are new
// to it in the same way.
constexpr std::size_t kPushFanOut = 3;
// A larger batch results from joining, and the other members already know its contents.
constexpr std::size_t kMaxPushedUpdates = 4;
// Members that are gone are kept for this time. This keeps older reports from restoring them, and
// lets the two sides of a network partition, which may last minutes, find each other again.
constexpr Duration kGoneRetention = std::chrono::minutes(30);

// Precedence of states with equal incarnation and state version: later states of the member
// lifecycle win. A suspicion takes precedence over leaving, so the crash of a host that is stopping
// is detected.
int StatePrecedence(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return 0;
    case MemberState::kLeaving:
      return 1;
    case MemberState::kSuspected:
      return 2;
    case MemberState::kGone:
      return 3;
  }
  return 0;
}

bool IsNewer(const MemberUpdate& update, const MemberUpdate& known) {
  const auto order = [](const MemberUpdate& item) {
    return std::tuple(item.incarnation_, item.state_version_, StatePrecedence(item.state_));
  };
  return order(update) > order(known);
}

MemberEvent EventForReport(MemberState reported) {
  switch (reported) {
    case MemberState::kAlive:
      return MemberEvent::kRefute;
    case MemberState::kSuspected:
      return MemberEvent::kSuspect;
    case MemberState::kLeaving:
      return MemberEvent::kLeave;
    case MemberState::kGone:
      return MemberEvent::kExpire;
  }
  return MemberEvent::kRefute;
}

// Returns how many messages carry a new update. Grows with the logarithm of the number of members.
int TransmissionCount(const Membership& membership) {
  int sends = 1;
  for (std::size_t size = membership.members_.size() + 1; size > 1; size /= 2) ++sends;
  return sends;
}

void ReportConflictOnce(Step& step, const std::string& event, ResultCode code,
                        const MemberUpdate& update, const HostName& other) {
  const std::string id =
      event + '|' + update.name_ + '|' + other + '|' + std::to_string(update.incarnation_);
  constexpr std::size_t kMaxRemembered = 256;
  auto& reported = step.node_.membership_.reported_conflicts_;
  if (reported.size() >= kMaxRemembered) reported.clear();
  if (!reported.insert(id).second) return;
  AddErrorEvent(step, event, code,
                {{"member", update.name_},
                 {"incarnation", std::to_string(update.incarnation_)},
                 {"address", update.peer_address_},
                 {"other", other}});
}

bool SharesAddress(const MemberUpdate& left, const MemberUpdate& right) {
  return left.peer_address_ == right.peer_address_ ||
         (!left.call_address_.empty() && left.call_address_ == right.call_address_);
}

// Returns the member that already uses an address of `update`, or an empty name.
HostName FindAddressOwner(const Membership& membership, const MemberUpdate& update) {
  if (SharesAddress(update, membership.self_)) return membership.self_.name_;
  for (const auto& [name, member] : membership.members_) {
    if (name == update.name_ || member.update_.state_ == MemberState::kGone) continue;
    if (SharesAddress(update, member.update_)) return name;
  }
  return {};
}

void OnUpdateAboutSelf(Step& step, const MemberUpdate& update) {
  auto& self = step.node_.membership_.self_;
  if (update.incarnation_ < self.incarnation_) return;
  if (update.incarnation_ > self.incarnation_ || !SharesAddress(update, self)) {
    ReportConflictOnce(step, "duplicate_name", ResultCode::kDuplicateName, update, self.name_);
    return;
  }
  if (!IsNewer(update, self)) return;
  // Refutes a suspicion, or a report from before a restart with the same incarnation.
  self.state_version_ = update.state_version_ + 1;
  step.node_.membership_.changed_members_.insert(self.name_);
  step.node_.membership_.self_transmissions_left_ = TransmissionCount(step.node_.membership_);
  AddEvent(step, "suspicion_refuted", {{"counter", std::to_string(self.state_version_)}});
}

void StoreUpdate(Step& step, Member& member, const MemberUpdate& update) {
  auto& membership = step.node_.membership_;
  const MemberState before = member.update_.state_;
  const bool restarted = update.incarnation_ != member.update_.incarnation_;
  member.update_ = update;
  member.update_.state_ = MemberMachine().Next(before, EventForReport(update.state_));
  if (before != member.update_.state_ || restarted) member.state_since_ = step.now_;
  member.announced_leave_ =
      update.state_ == MemberState::kLeaving || (member.announced_leave_ && !restarted);
  member.transmissions_left_ = TransmissionCount(membership);
  membership.changed_members_.insert(update.name_);
  step.output_.members_changed_ = true;
  step.node_.assignments_.ownership_dirty_ = true;
  AddEvent(step, "member",
           {{"name", update.name_},
            {"incarnation", std::to_string(update.incarnation_)},
            {"counter", std::to_string(update.state_version_)},
            {"from", std::string(NameOf(kMemberStateNames, before))},
            {"to", std::string(NameOf(kMemberStateNames, member.update_.state_))}});
}

bool HasRequiredFields(const MemberUpdate& update) {
  return !update.name_.empty() && !update.peer_address_.empty();
}

void ApplyUpdate(Step& step, const MemberUpdate& update) {
  auto& membership = step.node_.membership_;
  if (!HasRequiredFields(update)) return;
  if (update.name_ == membership.self_.name_) {
    OnUpdateAboutSelf(step, update);
    return;
  }
  const auto known = membership.members_.find(update.name_);
  if (known == membership.members_.end() && update.state_ == MemberState::kGone) return;
  if (known != membership.members_.end() && !IsNewer(update, known->second.update_)) return;
  const HostName owner =
      update.state_ == MemberState::kGone ? HostName() : FindAddressOwner(membership, update);
  if (!owner.empty()) {
    ReportConflictOnce(step, "duplicate_address", ResultCode::kDuplicateAddress, update, owner);
    return;
  }
  auto& member = membership.members_[update.name_];
  if (known == membership.members_.end()) {
    member.state_since_ = step.now_;
    member.update_.state_ = MemberMachine().Initial();
  }
  StoreUpdate(step, member, update);
}

bool IsAddress(const std::string& address) {
  const auto colon = address.rfind(':');
  return colon != std::string::npos && colon > 0 && colon + 1 < address.size();
}

}  // namespace

void StartMembership(Step& step) {
  auto& node = step.node_;
  auto& membership = node.membership_;
  for (const auto& seed : node.settings_.seeds_) {
    if (IsAddress(seed) && seed != node.settings_.peer_address_) {
      membership.seeds_.insert(seed);
      membership.contacts_[seed] = step.now_;
      continue;
    }
    AddErrorEvent(step, "seed_ignored", ResultCode::kPeerListInvalid,
                  {{"address", seed},
                   {"reason", IsAddress(seed) ? "own address" : "not an IP address and port"}});
  }
  // Spreads the pings of hosts that start at the same time.
  membership.next_ping_ =
      step.now_ + Jitter(step.random_, Duration(0), node.settings_.ping_interval_);
  membership.next_contact_ = step.now_;
}

bool AcceptSender(Step& step, const PeerMessage& message) {
  auto& membership = step.node_.membership_;
  if (message.sender_ == membership.self_.name_) {
    MemberUpdate other{message.sender_,
                       message.incarnation_,
                       0,
                       MemberState::kAlive,
                       "",
                       message.sender_address_,
                       ""};
    const bool own_message = message.incarnation_ == membership.self_.incarnation_ &&
                             message.sender_address_ == membership.self_.peer_address_;
    if (own_message) {
      ReportConflictOnce(step, "peer_list_names_self", ResultCode::kPeerListInvalid, other, "");
    } else {
      ReportConflictOnce(step, "duplicate_name", ResultCode::kDuplicateName, other, "");
    }
    return false;
  }
  const auto known = membership.members_.find(message.sender_);
  if (known == membership.members_.end() ||
      known->second.update_.incarnation_ < message.incarnation_) {
    // Pings carry the update of their sender only for a limited number of messages. Contacting the
    // sender makes it answer with its update.
    membership.contacts_.try_emplace(message.sender_address_, step.now_);
    membership.last_peer_heard_ = step.now_;
    return true;
  }
  if (known->second.update_.incarnation_ > message.incarnation_) {
    // The sender was replaced by a newer process with the same name, and is told so.
    step.output_.peer_sends_.push_back(
        {message.sender_address_, Ack{0, {}, {known->second.update_}, ""}});
    return false;
  }
  known->second.last_heard_ = step.now_;
  membership.last_peer_heard_ = step.now_;
  return true;
}

void ApplyUpdates(Step& step, const std::vector<MemberUpdate>& updates) {
  for (const auto& update : updates) ApplyUpdate(step, update);
}

std::vector<MemberUpdate> SelectUpdates(Step& step, const HostName& receiver) {
  auto& membership = step.node_.membership_;
  std::vector<MemberUpdate> updates;
  const auto own = membership.members_.find(receiver);
  if (own != membership.members_.end()) {
    const auto state = own->second.update_.state_;
    if (state == MemberState::kSuspected || state == MemberState::kGone) {
      updates.push_back(own->second.update_);
    }
  }
  if (membership.self_transmissions_left_ > 0) {
    --membership.self_transmissions_left_;
    updates.push_back(membership.self_);
  }
  for (auto& [name, member] : membership.members_) {
    if (updates.size() >= kMaxUpdatesPerMessage) break;
    if (member.transmissions_left_ <= 0 || name == receiver) continue;
    --member.transmissions_left_;
    updates.push_back(member.update_);
  }
  return updates;
}

void SetOwnState(Step& step, MemberState state) {
  auto& membership = step.node_.membership_;
  membership.self_.state_ = state;
  ++membership.self_.state_version_;
  membership.self_transmissions_left_ = TransmissionCount(membership);
  membership.changed_members_.insert(membership.self_.name_);
  step.output_.members_changed_ = true;
  step.node_.assignments_.ownership_dirty_ = true;
}

void MarkSuspected(Step& step, const HostName& name) {
  auto& members = step.node_.membership_.members_;
  const auto found = members.find(name);
  if (found == members.end()) return;
  MemberUpdate update = found->second.update_;
  if (update.state_ == MemberState::kSuspected || update.state_ == MemberState::kGone) return;
  update.state_ = MemberState::kSuspected;
  StoreUpdate(step, found->second, update);
}

void ExpireMembers(Step& step) {
  auto& membership = step.node_.membership_;
  const Duration suspicion_timeout = step.node_.settings_.suspicion_timeout_;
  for (auto member = membership.members_.begin(); member != membership.members_.end();) {
    auto& state = member->second;
    if (state.update_.state_ == MemberState::kSuspected &&
        step.now_ >= state.state_since_ + suspicion_timeout) {
      MemberUpdate update = state.update_;
      update.state_ = MemberState::kGone;
      StoreUpdate(step, state, update);
    }
    const bool old = state.update_.state_ == MemberState::kGone &&
                     step.now_ >= state.state_since_ + kGoneRetention;
    // An isolated host keeps its members: IsIsolated() depends on known peers.
    const bool heard = step.now_ - membership.last_peer_heard_ < kGoneRetention;
    member = old && heard ? membership.members_.erase(member) : std::next(member);
  }
}

Time NextSuspicionExpiry(const Node& node) {
  Time next = kNever;
  for (const auto& [name, member] : node.membership_.members_) {
    if (member.update_.state_ != MemberState::kSuspected) continue;
    next = std::min(next, member.state_since_ + node.settings_.suspicion_timeout_);
  }
  return next;
}

void PushChangedMembers(Step& step) {
  auto& membership = step.node_.membership_;
  std::vector<MemberUpdate> updates;
  const bool joining = membership.changed_members_.size() > kMaxPushedUpdates;
  for (const auto& name : membership.changed_members_) {
    if (name == membership.self_.name_) {
      updates.push_back(membership.self_);
      continue;
    }
    const auto member = membership.members_.find(name);
    if (member == membership.members_.end()) continue;
    const bool settled = member->second.update_.state_ == MemberState::kAlive;
    if (joining && settled) {
      member->second.transmissions_left_ = 0;
    } else if (updates.size() < kMaxUpdatesPerMessage) {
      updates.push_back(member->second.update_);
    }
  }
  membership.changed_members_.clear();
  if (updates.empty()) return;
  for (const Member* member : RandomMembers(step, kPushFanOut, "")) {
    step.output_.peer_sends_.push_back({member->update_.peer_address_, Ack{0, {}, updates, ""}});
  }
}

std::vector<const Member*> RandomMembers(Step& step, std::size_t count, const HostName& except) {
  std::vector<const Member*> alive;
  for (const auto& [name, member] : step.node_.membership_.members_) {
    const auto state = member.update_.state_;
    const bool reachable = state == MemberState::kAlive || state == MemberState::kLeaving;
    if (reachable && name != except) alive.push_back(&member);
  }
  // Moves `count` random members to the front.
  for (std::size_t i = 0; i < alive.size() && i < count; ++i) {
    std::uniform_int_distribution<std::size_t> pick(i, alive.size() - 1);
    std::swap(alive[i], alive[pick(step.random_)]);
  }
  if (alive.size() > count) alive.resize(count);
  return alive;
}

}  // namespace monsoonshelf::coordination::internal
