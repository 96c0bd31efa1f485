#include "coordination/internal/pings.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "coordination/internal/configuration_exchange.h"
#include "coordination/internal/membership.h"

namespace monsoonshelf::coordination::internal {

namespace {

// Members asked to ping one that did not answer.
constexpr std::size_t kRelays = 3;
// Addresses of departed members and contacts are tried at this interval, one at a time.
constexpr Duration kContactInterval = std::chrono::seconds(2);
constexpr Duration kJoinInterval = std::chrono::milliseconds(250);
constexpr Duration kContactRetry = std::chrono::seconds(10);
// Silence after which a host pings two members at once, to find out before it counts as isolated.
constexpr Duration kQuiet = std::chrono::milliseconds(1200);
constexpr Duration kQuietInterval = std::chrono::milliseconds(400);

void SendPing(Step& step, const HostName& member, const std::string& address,
              std::vector<MemberUpdate> updates) {
  auto& membership = step.node_.membership_;
  const std::uint64_t number = membership.next_number_++;
  membership.pings_[number] = {member, address, step.now_,
                               step.now_ + step.node_.settings_.ping_timeout_, false};
  step.output_.peer_sends_.push_back(
      {address, Ping{number, DigestOf(step.node_), std::move(updates), ""}});
}

void PingMember(Step& step, const HostName& name) {
  const std::string address = step.node_.membership_.members_.at(name).update_.peer_address_;
  SendPing(step, name, address, UpdatesFor(step, name));
}

bool IsPinged(const Member& member) { return member.update_.state_ != MemberState::kGone; }

// The next member by hash of the name. As every host pings its successor every second time, a dead
// host is noticed within two intervals; random pings alone leave it unnoticed that long with 14%.
std::optional<HostName> Successor(const Membership& membership) {
  const auto place = [](const HostName& name) {
    return std::pair(XXH64(name.data(), name.size(), 0), name);
  };
  const auto own = place(membership.self_.name_);
  std::optional<HostName> first;
  std::optional<HostName> next;
  for (const auto& [name, member] : membership.members_) {
    if (!IsPinged(member)) continue;
    if (!first || place(name) < place(*first)) first = name;
    if (place(name) > own && (!next || place(name) < place(*next))) next = name;
  }
  return next ? next : first;
}

// Members in random order, each once per round.
std::optional<HostName> NextRandomMember(Step& step) {
  auto& membership = step.node_.membership_;
  for (int round = 0; round < 2; ++round) {
    while (!membership.ping_order_.empty()) {
      const HostName name = membership.ping_order_.back();
      membership.ping_order_.pop_back();
      const auto found = membership.members_.find(name);
      if (found != membership.members_.end() && IsPinged(found->second)) return name;
    }
    for (const auto& [name, member] : membership.members_) {
      if (IsPinged(member)) membership.ping_order_.push_back(name);
    }
    std::shuffle(membership.ping_order_.begin(), membership.ping_order_.end(), step.random_);
  }
  return std::nullopt;
}

bool IsMemberAddress(const Membership& membership, const std::string& address) {
  return std::any_of(membership.members_.begin(), membership.members_.end(), [&](const auto& item) {
    return item.second.update_.peer_address_ == address && IsPinged(item.second);
  });
}

// Tries one address that belongs to no present member: seeds, the platform's list, and departed
// members, which may be on the other side of a partition.
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
    contact->second = step.now_ + (joining ? kJoinInterval : kContactRetry);
  }
  SendPing(step, "", address, {membership.self_});
}

void AskRelays(Step& step, std::uint64_t number, SentPing& ping) {
  ping.indirect_ = true;
  ping.deadline_ = step.now_ + 2 * step.node_.settings_.ping_timeout_;
  auto relays = RandomMembers(step, kRelays, ping.member_);
  // Their acks carry their digest. One relay is the member heard last, so that a host that reaches
  // a single other one compares configurations with it every second.
  const Member* last_heard = nullptr;
  for (const auto& [name, member] : step.node_.membership_.members_) {
    if (name == ping.member_ || !IsPinged(member)) continue;
    if (last_heard == nullptr || member.heard_ > last_heard->heard_) last_heard = &member;
  }
  if (last_heard != nullptr &&
      std::find(relays.begin(), relays.end(), last_heard) == relays.end()) {
    if (relays.size() == kRelays) relays.pop_back();
    relays.push_back(last_heard);
  }
  for (const Member* relay : relays) {
    step.output_.peer_sends_.push_back(
        {relay->update_.peer_address_, PingRequest{number, ping.member_}});
  }
}

// True if a member did not answer while others were heard. A host that hears nobody is itself cut
// off and suspects no other; and any message of the member shows that it is there.
bool IsMissing(const Node& node, const SentPing& ping) {
  const auto member = node.membership_.members_.find(ping.member_);
  if (member == node.membership_.members_.end()) return false;
  const Time heard = std::max(node.membership_.last_peer_heard_, node.platform_.last_heard_);
  return heard >= ping.sent_ && member->second.heard_ < ping.sent_;
}

void FollowUpPings(Step& step) {
  auto& membership = step.node_.membership_;
  for (auto item = membership.pings_.begin(); item != membership.pings_.end();) {
    auto& [number, ping] = *item;
    if (step.now_ < ping.deadline_) {
      ++item;
      continue;
    }
    if (!ping.member_.empty() && !ping.indirect_) {
      AskRelays(step, number, ping);
      ++item;
      continue;
    }
    if (IsMissing(step.node_, ping)) {
      Suspect(step, ping.member_);
      step.output_.peer_sends_.push_back(
          {ping.address_, Ack{0, {}, UpdatesFor(step, ping.member_), ""}});
    }
    item = membership.pings_.erase(item);
  }
  std::erase_if(membership.relayed_,
                [&](const auto& relayed) { return step.now_ >= relayed.second.deadline_; });
}

Time LastHeard(const Node& node) {
  return std::max(node.membership_.last_peer_heard_, node.platform_.last_heard_);
}

void PingWhenQuiet(Step& step) {
  for (int i = 0; i < 2; ++i) {
    if (const auto name = NextRandomMember(step)) PingMember(step, *name);
  }
  // After a long isolation every member is gone in the view of this host.
  step.node_.membership_.next_contact_ = std::min(step.node_.membership_.next_contact_, step.now_);
}

// Takes the updates of a message. A sender that doubts this host gets the refutation directly,
// since it may be out of reach of the members that changes are pushed to.
void TakeUpdates(Step& step, const PeerMessage& message, const std::vector<MemberUpdate>& updates) {
  const auto& self = step.node_.membership_.self_;
  const auto counter = self.state_version_;
  ApplyUpdates(step, updates);
  if (self.state_version_ == counter) return;
  step.output_.peer_sends_.push_back({message.sender_address_, Ack{0, {}, {self}, ""}});
}

}  // namespace

void ContinuePings(Step& step) {
  auto& membership = step.node_.membership_;
  FollowUpPings(step);
  if (step.now_ >= membership.next_ping_) {
    const Duration interval = step.node_.settings_.ping_interval_;
    const bool quiet = step.now_ - LastHeard(step.node_) > kQuiet && KnowsPeers(step.node_);
    membership.next_ping_ = step.now_ + (quiet ? Duration(kQuietInterval) : interval);
    if (quiet) {
      PingWhenQuiet(step);
    } else {
      const bool successor = ++membership.ping_count_ % 2 == 0;
      const auto name = successor ? Successor(membership) : NextRandomMember(step);
      if (name) PingMember(step, *name);
    }
  }
  if (step.now_ >= membership.next_contact_) PingContact(step);
}

Time NextPingTime(const Node& node) {
  const auto& membership = node.membership_;
  Time next = std::min(membership.next_ping_, membership.next_contact_);
  for (const auto& [number, ping] : membership.pings_) next = std::min(next, ping.deadline_);
  return next;
}

void OnPing(Step& step, const PeerMessage& message, const Ping& ping) {
  auto& membership = step.node_.membership_;
  TakeUpdates(step, message, ping.updates_);
  Ack ack{ping.sequence_number_, DigestOf(step.node_), UpdatesFor(step, message.sender_), ""};
  const bool introduces_itself =
      std::any_of(ping.updates_.begin(), ping.updates_.end(),
                  [&](const auto& update) { return update.name_ == message.sender_; });
  if (introduces_itself) {
    ack.updates_.push_back(membership.self_);
  } else if (ack.updates_.size() < kMaxUpdates && !membership.members_.empty()) {
    // One member in turn besides the changes, so that no host misses one for ever.
    membership.rotation_ = (membership.rotation_ + 1) % membership.members_.size();
    const auto member =
        std::next(membership.members_.begin(), static_cast<std::ptrdiff_t>(membership.rotation_));
    ack.updates_.push_back(member->second.update_);
  }
  step.output_.peer_sends_.push_back({message.sender_address_, std::move(ack)});
  CompareDigest(step, message, ping.configuration_);
  if (!introduces_itself) return;
  // The sender joins: it gets the whole membership in parts.
  std::vector<MemberUpdate> part;
  const auto flush = [&] {
    if (part.empty()) return;
    step.output_.peer_sends_.push_back({message.sender_address_, Ack{0, {}, part, ""}});
    part.clear();
  };
  for (const auto& [name, member] : membership.members_) {
    if (name == message.sender_ || member.update_.state_ == MemberState::kGone) continue;
    constexpr std::size_t kPart = 32;
    part.push_back(member.update_);
    if (part.size() == kPart) flush();
  }
  flush();
}

void OnAck(Step& step, const PeerMessage& message, const Ack& ack) {
  auto& membership = step.node_.membership_;
  TakeUpdates(step, message, ack.updates_);
  if (ack.sequence_number_ == 0) return;
  if (ack.pinged_member_.empty()) {
    const auto relayed = membership.relayed_.find(ack.sequence_number_);
    if (relayed != membership.relayed_.end() && relayed->second.member_ == message.sender_) {
      step.output_.peer_sends_.push_back(
          {relayed->second.address_,
           Ack{relayed->second.sequence_number_, DigestOf(step.node_), {}, message.sender_}});
      membership.relayed_.erase(relayed);
      return;
    }
  }
  const auto ping = membership.pings_.find(ack.sequence_number_);
  if (ping != membership.pings_.end()) {
    const HostName& answered = ack.pinged_member_.empty() ? message.sender_ : ack.pinged_member_;
    if (ping->second.member_.empty() || ping->second.member_ == answered) {
      membership.pings_.erase(ping);
    }
  }
  CompareDigest(step, message, ack.configuration_);
}

void OnPingRequest(Step& step, const PeerMessage& message, const PingRequest& request) {
  auto& membership = step.node_.membership_;
  const auto member = membership.members_.find(request.member_);
  if (member == membership.members_.end()) return;
  // A host can ask for no more pings than this at a time, so that it cannot flood another one.
  constexpr std::size_t kMaxRelayed = 64;
  if (membership.relayed_.size() >= kMaxRelayed) return;
  const std::uint64_t number = membership.next_number_++;
  membership.relayed_[number] = {message.sender_address_, request.sequence_number_, request.member_,
                                 step.now_ + step.node_.settings_.ping_timeout_};
  step.output_.peer_sends_.push_back({member->second.update_.peer_address_,
                                      Ping{number, DigestOf(step.node_), {}, message.sender_}});
}

void ForgetPings(Step& step) {
  auto& membership = step.node_.membership_;
  membership.pings_.clear();
  membership.relayed_.clear();
  membership.next_ping_ = step.now_;
  for (auto& [name, member] : membership.members_) {
    if (member.update_.state_ == MemberState::kSuspected) member.since_ = step.now_;
  }
}

bool KnowsPeers(const Node& node) {
  const auto& members = node.membership_.members_;
  return std::any_of(members.begin(), members.end(),
                     [](const auto& item) { return !item.second.left_; });
}

}  // namespace monsoonshelf::coordination::internal
