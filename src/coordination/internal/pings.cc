#include "coordination/internal/pings.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "coordination/internal/configuration_exchange.h"
#include "coordination/internal/membership.h"

namespace monsoonshelf::coordination::internal {

namespace {

// Number of members that are asked to ping a member that did not answer.
constexpr std::size_t kIndirectPingCount = 3;
// Interval at which addresses of contacts and of members that are gone are tried, one at a time.
constexpr Duration kContactInterval = std::chrono::seconds(2);
// Interval of these attempts until the first peer is known.
constexpr Duration kJoinInterval = std::chrono::milliseconds(250);
// Delay until the same contact is tried again.
constexpr Duration kContactRetryDelay = std::chrono::seconds(10);
// Silence after which a host pings two members at once and at a shorter interval, so that it
// detects a lost connection before the isolation timeout.
constexpr Duration kSilenceThreshold = std::chrono::milliseconds(1200);
constexpr Duration kSilencePingInterval = std::chrono::milliseconds(400);

void SendPing(Step& step, const HostName& member, const std::string& address,
              std::vector<MemberUpdate> updates) {
  auto& membership = step.node_.membership_;
  const std::uint64_t number = membership.next_sequence_number_++;
  membership.pending_pings_[number] = {member, address, step.now_,
                                       step.now_ + step.node_.settings_.ping_timeout_, false};
  step.output_.peer_sends_.push_back(
      {address, Ping{number, DigestOf(step.node_), std::move(updates), ""}});
}

void PingMember(Step& step, const HostName& name) {
  const std::string address = step.node_.membership_.members_.at(name).update_.peer_address_;
  SendPing(step, name, address, SelectUpdates(step, name));
}

bool IsPingable(const Member& member) { return member.update_.state_ != MemberState::kGone; }

// Returns the next member on a ring ordered by the hash of the name. Every second ping of a host
// goes to that member, so a crashed host is pinged within two intervals. With random pings alone, a
// host is not pinged within that time with a probability of 14%.
std::optional<HostName> NextMemberOnRing(const Membership& membership) {
  const auto position = [](const HostName& name) {
    return std::pair(XXH64(name.data(), name.size(), 0), name);
  };
  const auto own = position(membership.self_.name_);
  std::optional<HostName> first;
  std::optional<HostName> next;
  for (const auto& [name, member] : membership.members_) {
    if (!IsPingable(member)) continue;
    if (!first || position(name) < position(*first)) first = name;
    if (position(name) > own && (!next || position(name) < position(*next))) next = name;
  }
  return next ? next : first;
}

// Returns the next member in random order, each member once per round, or std::nullopt if there are
// none.
std::optional<HostName> NextRandomMember(Step& step) {
  auto& membership = step.node_.membership_;
  for (int round = 0; round < 2; ++round) {
    while (!membership.ping_order_.empty()) {
      const HostName name = membership.ping_order_.back();
      membership.ping_order_.pop_back();
      const auto found = membership.members_.find(name);
      if (found != membership.members_.end() && IsPingable(found->second)) return name;
    }
    for (const auto& [name, member] : membership.members_) {
      if (IsPingable(member)) membership.ping_order_.push_back(name);
    }
    std::shuffle(membership.ping_order_.begin(), membership.ping_order_.end(), step.random_);
  }
  return std::nullopt;
}

bool IsMemberAddress(const Membership& membership, const std::string& address) {
  return std::any_of(membership.members_.begin(), membership.members_.end(), [&](const auto& item) {
    return item.second.update_.peer_address_ == address && IsPingable(item.second);
  });
}

// Pings one address that belongs to no present member: a seed, an address in the platform's list of
// hosts, or that of a member that is gone, which may be on the other side of a network partition.
void PingContact(Step& step) {
  auto& membership = step.node_.membership_;
  std::vector<std::string> due;
  for (const auto& [address, next] : membership.contacts_) {
    if (next <= step.now_ && !IsMemberAddress(membership, address)) due.push_back(address);
  }
  const bool joining = !KnowsPeers(step.node_);
  if (due.empty()) {
    for (const auto& [name, member] : membership.members_) {
      if (member.update_.state_ == MemberState::kGone) due.push_back(member.update_.peer_address_);
    }
  }
  membership.next_contact_ = step.now_ + (joining ? kJoinInterval : kContactInterval);
  if (due.empty()) return;
  std::uniform_int_distribution<std::size_t> pick(0, due.size() - 1);
  const std::string address = due[pick(step.random_)];
  if (const auto contact = membership.contacts_.find(address);
      contact != membership.contacts_.end()) {
    contact->second = step.now_ + (joining ? kJoinInterval : kContactRetryDelay);
  }
  SendPing(step, "", address, {membership.self_});
}

void SendPingRequests(Step& step, std::uint64_t number, SentPing& ping) {
  ping.indirect_ = true;
  ping.deadline_ = step.now_ + 2 * step.node_.settings_.ping_timeout_;
  auto relays = RandomMembers(step, kIndirectPingCount, ping.member_);
  // Acks of relays carry their configuration digest. One relay is the member heard most recently,
  // so a host that can reach only a single member compares configurations with it every second.
  const Member* last_heard = nullptr;
  for (const auto& [name, member] : step.node_.membership_.members_) {
    if (name == ping.member_ || !IsPingable(member)) continue;
    if (last_heard == nullptr || member.last_heard_ > last_heard->last_heard_) last_heard = &member;
  }
  if (last_heard != nullptr &&
      std::find(relays.begin(), relays.end(), last_heard) == relays.end()) {
    if (relays.size() == kIndirectPingCount) relays.pop_back();
    relays.push_back(last_heard);
  }
  for (const Member* relay : relays) {
    step.output_.peer_sends_.push_back(
        {relay->update_.peer_address_, PingRequest{number, ping.member_}});
  }
}

// Returns true if a member sent nothing since the ping while other members or the platform were
// heard. A host that hears nobody is itself disconnected and must not suspect others. Any message
// of the member counts, not only an ack.
bool IsUnresponsive(const Node& node, const SentPing& ping) {
  const auto member = node.membership_.members_.find(ping.member_);
  if (member == node.membership_.members_.end()) return false;
  const Time heard = std::max(node.membership_.last_peer_heard_, node.platform_link_.last_heard_);
  return heard >= ping.sent_at_ && member->second.last_heard_ < ping.sent_at_;
}

void ProcessPingTimeouts(Step& step) {
  auto& membership = step.node_.membership_;
  for (auto item = membership.pending_pings_.begin(); item != membership.pending_pings_.end();) {
    auto& [number, ping] = *item;
    if (step.now_ < ping.deadline_) {
      ++item;
      continue;
    }
    if (!ping.member_.empty() && !ping.indirect_) {
      SendPingRequests(step, number, ping);
      ++item;
      continue;
    }
    if (IsUnresponsive(step.node_, ping)) {
      MarkSuspected(step, ping.member_);
      step.output_.peer_sends_.push_back(
          {ping.address_, Ack{0, {}, SelectUpdates(step, ping.member_), ""}});
    }
    item = membership.pending_pings_.erase(item);
  }
  std::erase_if(membership.relayed_pings_,
                [&](const auto& relayed) { return step.now_ >= relayed.second.deadline_; });
}

Time LastHeard(const Node& node) {
  return std::max(node.membership_.last_peer_heard_, node.platform_link_.last_heard_);
}

void PingAfterSilence(Step& step) {
  for (int i = 0; i < 2; ++i) {
    if (const auto name = NextRandomMember(step)) PingMember(step, *name);
  }
  // After a long isolation this host considers all members gone and has only contacts to try.
  step.node_.membership_.next_contact_ = std::min(step.node_.membership_.next_contact_, step.now_);
}

// Applies the updates in a message. If they make this host refute a suspicion, the refutation is
// also sent directly to the sender, which the members to which changes are pushed may not reach.
void ApplyUpdatesFrom(Step& step, const PeerMessage& message,
                      const std::vector<MemberUpdate>& updates) {
  const auto& self = step.node_.membership_.self_;
  const auto previous_version = self.state_version_;
  ApplyUpdates(step, updates);
  if (self.state_version_ == previous_version) return;
  step.output_.peer_sends_.push_back({message.sender_address_, Ack{0, {}, {self}, ""}});
}

}  // namespace

void SendDuePings(Step& step) {
  auto& membership = step.node_.membership_;
  ProcessPingTimeouts(step);
  if (step.now_ >= membership.next_ping_) {
    const Duration interval = step.node_.settings_.ping_interval_;
    const bool silent =
        step.now_ - LastHeard(step.node_) > kSilenceThreshold && KnowsPeers(step.node_);
    membership.next_ping_ = step.now_ + (silent ? Duration(kSilencePingInterval) : interval);
    if (silent) {
      PingAfterSilence(step);
    } else {
      const bool ping_on_ring = ++membership.ping_count_ % 2 == 0;
      const auto name = ping_on_ring ? NextMemberOnRing(membership) : NextRandomMember(step);
      if (name) PingMember(step, *name);
    }
  }
  if (step.now_ >= membership.next_contact_) PingContact(step);
}

Time NextPingTime(const Node& node) {
  const auto& membership = node.membership_;
  Time next = std::min(membership.next_ping_, membership.next_contact_);
  for (const auto& [number, ping] : membership.pending_pings_)
    next = std::min(next, ping.deadline_);
  return next;
}

void OnPing(Step& step, const PeerMessage& message, const Ping& ping) {
  auto& membership = step.node_.membership_;
  ApplyUpdatesFrom(step, message, ping.updates_);
  Ack ack{ping.sequence_number_, DigestOf(step.node_), SelectUpdates(step, message.sender_), ""};
  const bool introduces_itself =
      std::any_of(ping.updates_.begin(), ping.updates_.end(),
                  [&](const auto& update) { return update.name_ == message.sender_; });
  if (introduces_itself) {
    ack.updates_.push_back(membership.self_);
  } else if (ack.updates_.size() < kMaxUpdatesPerMessage && !membership.members_.empty()) {
    // Each ack also carries one member in rotation, so a host that missed an update gets it
    // eventually.
    membership.ack_rotation_ = (membership.ack_rotation_ + 1) % membership.members_.size();
    const auto member = std::next(membership.members_.begin(),
                                  static_cast<std::ptrdiff_t>(membership.ack_rotation_));
    ack.updates_.push_back(member->second.update_);
  }
  step.output_.peer_sends_.push_back({message.sender_address_, std::move(ack)});
  CompareDigest(step, message, ping.configuration_);
  if (!introduces_itself) return;
  // The sender is joining and gets all members, in several messages.
  std::vector<MemberUpdate> part;
  const auto flush = [&] {
    if (part.empty()) return;
    step.output_.peer_sends_.push_back({message.sender_address_, Ack{0, {}, part, ""}});
    part.clear();
  };
  for (const auto& [name, member] : membership.members_) {
    if (name == message.sender_ || member.update_.state_ == MemberState::kGone) continue;
    constexpr std::size_t kMembersPerAck = 32;
    part.push_back(member.update_);
    if (part.size() == kMembersPerAck) flush();
  }
  flush();
}

void OnAck(Step& step, const PeerMessage& message, const Ack& ack) {
  auto& membership = step.node_.membership_;
  ApplyUpdatesFrom(step, message, ack.updates_);
  if (ack.sequence_number_ == 0) return;
  if (ack.pinged_member_.empty()) {
    const auto relayed = membership.relayed_pings_.find(ack.sequence_number_);
    if (relayed != membership.relayed_pings_.end() && relayed->second.member_ == message.sender_) {
      step.output_.peer_sends_.push_back(
          {relayed->second.requester_address_, Ack{relayed->second.requester_sequence_number_,
                                                   DigestOf(step.node_),
                                                   {},
                                                   message.sender_}});
      membership.relayed_pings_.erase(relayed);
      return;
    }
  }
  const auto ping = membership.pending_pings_.find(ack.sequence_number_);
  if (ping != membership.pending_pings_.end()) {
    const HostName& answered = ack.pinged_member_.empty() ? message.sender_ : ack.pinged_member_;
    if (ping->second.member_.empty() || ping->second.member_ == answered) {
      membership.pending_pings_.erase(ping);
    }
  }
  CompareDigest(step, message, ack.configuration_);
}

void OnPingRequest(Step& step, const PeerMessage& message, const PingRequest& request) {
  auto& membership = step.node_.membership_;
  const auto member = membership.members_.find(request.member_);
  if (member == membership.members_.end()) return;
  // Limit of relayed pings in flight, which keeps ping requests from flooding a member.
  constexpr std::size_t kMaxRelayed = 64;
  if (membership.relayed_pings_.size() >= kMaxRelayed) return;
  const std::uint64_t number = membership.next_sequence_number_++;
  membership.relayed_pings_[number] = {message.sender_address_, request.sequence_number_,
                                       request.member_,
                                       step.now_ + step.node_.settings_.ping_timeout_};
  step.output_.peer_sends_.push_back({member->second.update_.peer_address_,
                                      Ping{number, DigestOf(step.node_), {}, message.sender_}});
}

void DiscardPendingPings(Step& step) {
  auto& membership = step.node_.membership_;
  membership.pending_pings_.clear();
  membership.relayed_pings_.clear();
  membership.next_ping_ = step.now_;
  for (auto& [name, member] : membership.members_) {
    if (member.update_.state_ == MemberState::kSuspected) member.state_since_ = step.now_;
  }
}

bool KnowsPeers(const Node& node) {
  const auto& members = node.membership_.members_;
  return std::any_of(members.begin(), members.end(),
                     [](const auto& item) { return !item.second.announced_leave_; });
}

}  // namespace monsoonshelf::coordination::internal
