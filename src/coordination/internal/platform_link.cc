#include "coordination/internal/platform_link.h"

#include <algorithm>
#include <utility>

#include "coordination/internal/pings.h"

namespace monsoonshelf::coordination::internal {

namespace {

// The client answers every request within its timeout; this covers a client that does not.
constexpr Duration kReplyMargin = std::chrono::seconds(2);

bool CameFromPlatform(ResultCode code) {
  return code == ResultCode::kOk || code == ResultCode::kPlatformConflict ||
         code == ResultCode::kPlatformNotFound;
}

// The list grows with the fleet, so that the interval does too: the bytes per host stay the same.
Duration HostsInterval(const Node& node) {
  constexpr std::size_t kMembersPerInterval = 8;
  const auto factor = 1 + node.membership_.members_.size() / kMembersPerInterval;
  return node.settings_.host_list_interval_ * static_cast<Duration::rep>(factor);
}

}  // namespace

std::uint64_t SendRequest(Step& step, Purpose purpose, PlatformRequest request,
                          const std::string& nonce) {
  auto& link = step.node_.platform_;
  request.id_ = link.next_id_++;
  link.waiting_[request.id_] = {purpose,       request.operation_,
                                request.name_, nonce,
                                step.now_,     step.now_ + request.timeout_ + kReplyMargin};
  step.output_.platform_requests_.push_back(std::move(request));
  return link.next_id_ - 1;
}

std::optional<WaitingRequest> TakeRequest(Step& step, const PlatformReply& reply) {
  auto& link = step.node_.platform_;
  const auto found = link.waiting_.find(reply.id_);
  if (found == link.waiting_.end()) return std::nullopt;
  const WaitingRequest request = found->second;
  link.waiting_.erase(found);
  if (CameFromPlatform(reply.code_)) link.last_heard_ = step.now_;
  return request;
}

std::vector<PlatformReply> OverdueReplies(const Node& node, Time now) {
  std::vector<PlatformReply> replies;
  for (const auto& [id, request] : node.platform_.waiting_) {
    if (now < request.deadline_) continue;
    PlatformReply reply;
    reply.id_ = id;
    reply.operation_ = request.operation_;
    reply.code_ = ResultCode::kPlatformTimeout;
    replies.push_back(std::move(reply));
  }
  return replies;
}

Time NextOverdue(const Node& node) {
  Time next = kNever;
  for (const auto& [id, request] : node.platform_.waiting_)
    next = std::min(next, request.deadline_);
  return next;
}

void ContinueHosts(Step& step) {
  auto& link = step.node_.platform_;
  if (step.now_ < link.next_hosts_) return;
  const Duration interval = HostsInterval(step.node_);
  link.next_hosts_ = step.now_ + Jitter(step.random_, interval * 3 / 4, interval);
  PlatformRequest request;
  request.operation_ = PlatformOperation::kHosts;
  SendRequest(step, Purpose::kHosts, std::move(request), {});
}

void OnHostsReply(Step& step, const PlatformReply& reply) {
  auto& membership = step.node_.membership_;
  if (reply.code_ != ResultCode::kOk) return;
  // Addresses that the list no longer has are not tried any more.
  std::map<std::string, Time> contacts;
  const auto keep = [&](const std::string& address) {
    const auto known = membership.contacts_.find(address);
    contacts[address] = known == membership.contacts_.end() ? step.now_ : known->second;
  };
  for (const auto& seed : membership.seeds_) keep(seed);
  for (const auto& host : reply.hosts_) {
    const bool own_address = host.peer_address_ == membership.self_.peer_address_;
    const bool own_name = host.name_ == membership.self_.name_;
    if (own_name != own_address && !host.leaving_) {
      // The list lags, so that a replaced host may still be on it: report, change nothing.
      const std::string id = "hosts|" + host.name_ + '|' + host.peer_address_;
      if (membership.conflicts_.insert(id).second) {
        AddErrorEvent(step, "platform_hosts_conflict",
                      own_name ? ResultCode::kDuplicateName : ResultCode::kDuplicateAddress,
                      {{"member", host.name_}, {"address", host.peer_address_}});
      }
      continue;
    }
    if (own_address || host.leaving_ || host.peer_address_.empty()) continue;
    keep(host.peer_address_);
  }
  membership.contacts_ = std::move(contacts);
}

}  // namespace monsoonshelf::coordination::internal
