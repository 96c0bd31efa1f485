#include "coordination/internal/holder_session.h"

#include <algorithm>
#include <utility>

#include "coordination/internal/platform_link.h"
#include "coordination/internal/session.h"

namespace monsoonshelf::coordination::internal {

namespace {

constexpr char kSessions[] = "sessions";
// All hosts of the zone take over their share of the shards of a crashed host within about 10 s.
// The fence is kept for longer than that, so that each of them can read it.
constexpr Duration kFenceRetention = std::chrono::seconds(60);

void ReadHolderSession(Step& step, const HostName& name, HolderSession& holder) {
  PlatformRequest request;
  request.operation_ = PlatformOperation::kGet;
  request.kinds_ = {kSessions};
  request.name_ = name;
  holder.request_pending_ = true;
  AddPlatformRequest(step, RequestPurpose::kHolderRead, std::move(request), {});
}

// Replaces the session by a fence, after which a late renewal by a paused holder fails. The version
// condition makes this safe even if the session was read from a stale copy.
void WriteFence(Step& step, const HostName& name, HolderSession& holder,
                const std::string& session) {
  auto& node = step.node_;
  const std::string nonce = std::to_string(node.session_.next_nonce_++);
  PlatformRequest request;
  request.operation_ = PlatformOperation::kPut;
  request.kinds_ = {kSessions};
  request.name_ = name;
  request.version_ = holder.version_;
  request.body_ =
      FormatSession({node.settings_.name_, node.settings_.incarnation_, "", session, nonce});
  holder.request_pending_ = true;
  AddPlatformRequest(step, RequestPurpose::kFence, std::move(request), session);
}

// Records the session object of a holder. A new version restarts the observation period.
void RecordHolderSession(Step& step, HolderSession& holder, Version version,
                         const std::string& text) {
  const auto body = ParseSession(text);
  if (!holder.observed_ || holder.version_ != version) {
    holder.unchanged_since_ = step.now_;
    holder.fenced_by_this_host_ = false;
  }
  holder.observed_ = true;
  holder.version_ = version;
  holder.session_ = body ? body->session_ : "";
  holder.fenced_session_ = body ? body->fenced_session_ : "";
  holder.backoff_.Reset();
  holder.next_read_ = std::max(holder.unchanged_since_ + MaxLeaseDuration(step.node_.settings_),
                               step.now_ + step.node_.settings_.session_renewal_interval_);
}

bool WasUnchangedFor(const HolderSession& holder, Time now, Duration span) {
  return holder.observed_ && now >= holder.unchanged_since_ + span;
}

}  // namespace

HolderStatus CheckHolderSession(Step& step, const AssignmentEntry& entry,
                                Version assignments_version) {
  auto& holder = step.node_.assignments_.holder_sessions_[entry.host_];
  if (holder.observed_) {
    if (!entry.session_.empty() && holder.fenced_session_ == entry.session_) {
      return holder.fenced_by_this_host_ ? HolderStatus::kFenced : HolderStatus::kEnded;
    }
    // A different session that was written after the entry replaced the session in the entry. If it
    // was written before the entry, the read may have been stale.
    const bool replaced = !holder.session_.empty() && holder.session_ != entry.session_;
    if (replaced && holder.version_ > assignments_version) return HolderStatus::kEnded;
  }
  if (holder.request_pending_ || step.now_ < holder.next_read_) return HolderStatus::kMayBeActive;
  const Duration span = MaxLeaseDuration(step.node_.settings_);
  if (WasUnchangedFor(holder, step.now_, span)) {
    WriteFence(step, entry.host_, holder, entry.session_);
  } else {
    ReadHolderSession(step, entry.host_, holder);
  }
  return HolderStatus::kMayBeActive;
}

void OnHolderSessionReply(Step& step, const PendingRequest& request, const PlatformReply& reply) {
  auto& assignments = step.node_.assignments_;
  if (request.purpose_ == RequestPurpose::kFenceRemoval) return;
  auto& holder = assignments.holder_sessions_[request.name_];
  holder.request_pending_ = false;
  const bool has_object = !reply.objects_.empty() && !reply.objects_.front().deleted_;
  const Version version = has_object ? reply.objects_.front().version_ : 0;
  const std::string text = has_object ? reply.objects_.front().body_ : "";
  switch (reply.code_) {
    case ResultCode::kOk:
      if (request.purpose_ == RequestPurpose::kFence) {
        RecordHolderSession(step, holder, version, FormatSession({"", 0, "", request.nonce_, ""}));
        holder.fenced_by_this_host_ = true;
        assignments.own_fences_[request.name_] = {version, step.now_ + kFenceRetention};
        AddEvent(step, "session_fenced", {{"host", request.name_}, {"session", request.nonce_}});
      } else {
        RecordHolderSession(step, holder, version, text);
      }
      break;
    case ResultCode::kPlatformNotFound:
      RecordHolderSession(step, holder, 0, "");
      break;
    case ResultCode::kPlatformConflict:
      RecordHolderSession(step, holder, version, text);
      break;
    default:
      // If only the response to a fence was lost, the next read finds the fence and treats it as
      // one that another host wrote.
      holder.observed_ = holder.observed_ && request.purpose_ == RequestPurpose::kHolderRead;
      holder.next_read_ = step.now_ + holder.backoff_.Next(step.random_);
  }
}

void RemoveOldFences(Step& step) {
  auto& fences = step.node_.assignments_.own_fences_;
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
    // If the host has replaced the fence by a new session, the version condition fails.
    AddPlatformRequest(step, RequestPurpose::kFenceRemoval, std::move(request), {});
    fence = fences.erase(fence);
  }
}

}  // namespace monsoonshelf::coordination::internal
