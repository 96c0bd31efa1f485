#include "coordination/internal/platform_link.h"

#include <algorithm>
#include <utility>

#include "coordination/internal/pings.h"

namespace monsoonshelf::coordination::internal {

namespace {

// The platform client answers every request within its timeout. If it fails to do so, the request
// is given up here this long after the timeout.
constexpr Duration kReplyMargin = std::chrono::seconds(2);

bool IsAnswerFromPlatform(ResultCode code) {
  return code == ResultCode::kOk || code == ResultCode::kPlatformConflict ||
         code == ResultCode::kPlatformNotFound;
}

// The list grows with the number of hosts. The interval grows as well, so the bytes per second that
// each host receives stay constant.
Duration HostListInterval(const Node& node) {
  constexpr std::size_t kMembersPerInterval = 8;
  const auto factor = 1 + node.membership_.members_.size() / kMembersPerInterval;
  return node.settings_.host_list_interval_ * static_cast<Duration::rep>(factor);
}

}  // namespace

std::uint64_t AddPlatformRequest(Step& step, RequestPurpose purpose, PlatformRequest request,
                                 const std::string& nonce) {
  auto& link = step.node_.platform_link_;
  request.id_ = link.next_request_id_++;
  link.pending_requests_[request.id_] = {
      purpose, request.operation_, request.name_,
      nonce,   step.now_,          step.now_ + request.timeout_ + kReplyMargin};
  step.output_.platform_requests_.push_back(std::move(request));
  return link.next_request_id_ - 1;
}

std::optional<PendingRequest> RemovePendingRequest(Step& step, const PlatformReply& reply) {
  auto& link = step.node_.platform_link_;
  const auto found = link.pending_requests_.find(reply.id_);
  if (found == link.pending_requests_.end()) return std::nullopt;
  const PendingRequest request = found->second;
  link.pending_requests_.erase(found);
  if (IsAnswerFromPlatform(reply.code_)) link.last_heard_ = step.now_;
  return request;
}

std::vector<PlatformReply> MakeTimeoutReplies(const Node& node, Time now) {
  std::vector<PlatformReply> replies;
  for (const auto& [id, request] : node.platform_link_.pending_requests_) {
    if (now < request.deadline_) continue;
    PlatformReply reply;
    reply.id_ = id;
    reply.operation_ = request.operation_;
    reply.code_ = ResultCode::kPlatformTimeout;
    replies.push_back(std::move(reply));
  }
  return replies;
}

Time NextRequestDeadline(const Node& node) {
  Time next = kNever;
  for (const auto& [id, request] : node.platform_link_.pending_requests_)
    next = std::min(next, request.deadline_);
  return next;
}

void RequestDueHostList(Step& step) {
  auto& link = step.node_.platform_link_;
  if (step.now_ < link.next_host_list_) return;
  const Duration interval = HostListInterval(step.node_);
  link.next_host_list_ = step.now_ + Jitter(step.random_, interval * 3 / 4, interval);
  PlatformRequest request;
  request.operation_ = PlatformOperation::kHosts;
  AddPlatformRequest(step, RequestPurpose::kHosts, std::move(request), {});
}

void OnHostsReply(Step& step, const PlatformReply& reply) {
  auto& membership = step.node_.membership_;
  if (reply.code_ != ResultCode::kOk) return;
  // Addresses that are no longer in the list are no longer tried.
  std::map<std::string, Time> contacts;
  const auto keep_contact = [&](const std::string& address) {
    const auto known = membership.contacts_.find(address);
    contacts[address] = known == membership.contacts_.end() ? step.now_ : known->second;
  };
  for (const auto& seed : membership.seeds_) keep_contact(seed);
  for (const auto& host : reply.hosts_) {
    const bool own_address = host.peer_address_ == membership.self_.peer_address_;
    const bool own_name = host.name_ == membership.self_.name_;
    if (own_name != own_address && !host.leaving_) {
      // The list lags behind and may still contain a host that was replaced, so the conflict is
      // only reported.
      const std::string id = "hosts|" + host.name_ + '|' + host.peer_address_;
      if (membership.reported_conflicts_.insert(id).second) {
        AddErrorEvent(step, "platform_hosts_conflict",
                      own_name ? ResultCode::kDuplicateName : ResultCode::kDuplicateAddress,
                      {{"member", host.name_}, {"address", host.peer_address_}});
      }
      continue;
    }
    if (own_address || host.leaving_ || host.peer_address_.empty()) continue;
    keep_contact(host.peer_address_);
  }
  membership.contacts_ = std::move(contacts);
}

}  // namespace monsoonshelf::coordination::internal
