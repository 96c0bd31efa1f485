#include "coordination/internal/holder_session.h"

#include <algorithm>
#include <utility>

#include "coordination/internal/platform_link.h"
#include "coordination/internal/session.h"

namespace monsoonshelf::coordination::internal {

namespace {

constexpr char kSessions[] = "sessions";
// Other hosts of the zone take over their shards of a dead host within about 10 s.
constexpr Duration kFenceRetention = std::chrono::seconds(60);

void ReadHolder(Step& step, const HostName& name, HolderSession& holder) {
  PlatformRequest request;
  request.operation_ = PlatformOperation::kGet;
  request.kinds_ = {kSessions};
  request.name_ = name;
  holder.waiting_ = true;
  SendRequest(step, Purpose::kHolderRead, std::move(request), {});
}

// Replaces the session by a fence: a late renewal by the paused holder fails from then on. The
// condition on the version makes this safe even if the session was read from a stale copy.
void Fence(Step& step, const HostName& name, HolderSession& holder, const std::string& session) {
  auto& node = step.node_;
  const std::string nonce = std::to_string(node.session_.next_nonce_++);
  PlatformRequest request;
  request.operation_ = PlatformOperation::kPut;
  request.kinds_ = {kSessions};
  request.name_ = name;
  request.version_ = holder.version_;
  request.body_ =
      FormatSession({node.settings_.name_, node.settings_.incarnation_, "", session, nonce});
  holder.waiting_ = true;
  SendRequest(step, Purpose::kFence, std::move(request), session);
}

void Observe(Step& step, HolderSession& holder, Version version, const std::string& text) {
  const auto body = ParseSession(text);
  if (!holder.known_ || holder.version_ != version) {
    holder.unchanged_since_ = step.now_;
    holder.fenced_by_us_ = false;
  }
  holder.known_ = true;
  holder.version_ = version;
  holder.session_ = body ? body->session_ : "";
  holder.fenced_ = body ? body->fenced_ : "";
  holder.backoff_.Reset();
  holder.next_read_ = std::max(holder.unchanged_since_ + LeaseSpan(step.node_.settings_),
                               step.now_ + step.node_.settings_.session_renewal_interval_);
}

bool IsObserved(const HolderSession& holder, Time now, Duration span) {
  return holder.known_ && now >= holder.unchanged_since_ + span;
}

}  // namespace

HolderVerdict CheckHolder(Step& step, const AssignmentEntry& entry, Version assignments_version) {
  auto& holder = step.node_.assignments_.holders_[entry.host_];
  if (holder.known_) {
    if (!entry.session_.empty() && holder.fenced_ == entry.session_) {
      return holder.fenced_by_us_ ? HolderVerdict::kFenced : HolderVerdict::kOver;
    }
    // A session written after the entry and not the one in it replaced that one. One written
    // earlier may be a stale read.
    const bool replaced = !holder.session_.empty() && holder.session_ != entry.session_;
    if (replaced && holder.version_ > assignments_version) return HolderVerdict::kOver;
  }
  if (holder.waiting_ || step.now_ < holder.next_read_) return HolderVerdict::kWait;
  const Duration span = LeaseSpan(step.node_.settings_);
  if (IsObserved(holder, step.now_, span)) {
    Fence(step, entry.host_, holder, entry.session_);
  } else {
    ReadHolder(step, entry.host_, holder);
  }
  return HolderVerdict::kWait;
}

void OnHolderReply(Step& step, const WaitingRequest& request, const PlatformReply& reply) {
  auto& assignments = step.node_.assignments_;
  if (request.purpose_ == Purpose::kFenceRemoval) return;
  auto& holder = assignments.holders_[request.name_];
  holder.waiting_ = false;
  const bool has_object = !reply.objects_.empty() && !reply.objects_.front().deleted_;
  const Version version = has_object ? reply.objects_.front().version_ : 0;
  const std::string text = has_object ? reply.objects_.front().body_ : "";
  switch (reply.code_) {
    case ResultCode::kOk:
      if (request.purpose_ == Purpose::kFence) {
        Observe(step, holder, version, FormatSession({"", 0, "", request.nonce_, ""}));
        holder.fenced_by_us_ = true;
        assignments.fences_[request.name_] = {version, step.now_ + kFenceRetention};
        AddEvent(step, "session_fenced", {{"host", request.name_}, {"session", request.nonce_}});
      } else {
        Observe(step, holder, version, text);
      }
      break;
    case ResultCode::kPlatformNotFound:
      Observe(step, holder, 0, "");
      break;
    case ResultCode::kPlatformConflict:
      Observe(step, holder, version, text);
      break;
    default:
      // A fence whose response was lost is found by the next read, as a fence of any host.
      holder.known_ = holder.known_ && request.purpose_ == Purpose::kHolderRead;
      holder.next_read_ = step.now_ + holder.backoff_.Next(step.random_);
  }
}

void RemoveOldFences(Step& step) {
  auto& fences = step.node_.assignments_.fences_;
  for (auto fence = fences.begin(); fence != fences.end();) {
    if (step.now_ < fence->second.second) {
      ++fence;
      continue;
    }
    PlatformRequest request;
    request.operation_ = PlatformOperation::kDelete;
    request.kinds_ = {kSessions};
    request.name_ = fence->first;
    request.version_ = fence->second.first;
    // The host may have written a new session over the fence; then the condition fails.
    SendRequest(step, Purpose::kFenceRemoval, std::move(request), {});
    fence = fences.erase(fence);
  }
}

}  // namespace monsoonshelf::coordination::internal
