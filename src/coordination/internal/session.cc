#include "coordination/internal/session.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "coordination/internal/platform_link.h"

namespace monsoonshelf::coordination::internal {

namespace {

using nlohmann::json;

constexpr char kSessions[] = "sessions";
// Delay of the next write after a newer process took over the name of this host.
constexpr Duration kDuplicateNameRetryDelay = std::chrono::seconds(10);

// The random part distinguishes processes that by mistake have the same name and incarnation.
std::string NewSessionId(Step& step) {
  auto& node = step.node_;
  return node.settings_.name_ + '.' + std::to_string(node.settings_.incarnation_) + '.' +
         std::to_string(++node.session_.session_count_) + '.' +
         std::to_string(step.random_() & 0xffffffff);
}

// Returns the status of the host. It is stored in the session object, which is written periodically
// anyway, and so needs no writes of its own.
json HostStatus(const Node& node) {
  constexpr std::size_t kMaxRejected = 10;
  json rejected = json::array();
  for (const auto& [key, record] : node.configuration_.rejected_) {
    if (rejected.size() == kMaxRejected) break;
    rejected.push_back({{"kind", NameOf(records::kKindNames, key.first)},
                        {"name", key.second},
                        {"version", record.version_},
                        {"code", static_cast<int>(record.code_)}});
  }
  json status{{"revision", node.configuration_.highest_version_},
              {"digest", node.configuration_.digest_},
              {"state", NameOf(kMemberStateNames, node.membership_.self_.state_)}};
  if (!rejected.empty()) {
    status["rejected"] = std::move(rejected);
    status["rejected_count"] = node.configuration_.rejected_.size();
  }
  return status;
}

void PutSession(Step& step) {
  auto& node = step.node_;
  auto& session = node.session_;
  const std::string nonce = std::to_string(session.next_nonce_++);
  json body = json::parse(
      FormatSession({node.settings_.name_, node.settings_.incarnation_, session.id_, "", nonce}));
  body["zone"] = node.settings_.zone_;
  body["peer_address"] = node.settings_.peer_address_;
  body["status"] = HostStatus(node);
  PlatformRequest request;
  request.operation_ = PlatformOperation::kPut;
  request.kinds_ = {kSessions};
  request.name_ = node.settings_.name_;
  request.version_ = session.version_;
  request.body_ = body.dump();
  session.unconfirmed_renewals_[nonce] = step.now_;
  // Renewals sent this long ago can no longer extend the lease.
  std::erase_if(session.unconfirmed_renewals_, [&](const auto& attempt) {
    return attempt.second + node.settings_.session_duration_ < step.now_;
  });
  session.request_pending_ = true;
  AddPlatformRequest(step, RequestPurpose::kSessionPut, std::move(request), nonce);
}

void ReadSession(Step& step) {
  PlatformRequest request;
  request.operation_ = PlatformOperation::kGet;
  request.kinds_ = {kSessions};
  request.name_ = step.node_.settings_.name_;
  step.node_.session_.request_pending_ = true;
  AddPlatformRequest(step, RequestPurpose::kSessionRead, std::move(request), {});
}

// Records a confirmed write. The lease is measured from `sent`, the time at which the write was
// sent.
void ConfirmRenewal(Step& step, Version version, Time sent) {
  auto& node = step.node_;
  auto& session = node.session_;
  session.version_ = version;
  session.confirmed_ = true;
  session.unconfirmed_renewals_.clear();
  session.backoff_.Reset();
  session.lease_end_ = std::max(session.lease_end_, sent + node.settings_.session_duration_);
  session.lapse_reported_ = false;
  session.next_renewal_ = std::max(step.now_, sent + node.settings_.session_renewal_interval_);
  if (!node.assignments_.held_claims_.empty()) step.output_.assignments_changed_ = true;
}

// Starts a new session after another writer changed the session object. The assignments held under
// the old session are dropped because other hosts may have claimed them.
void ReplaceLostSession(Step& step, Version version, const std::string& writer) {
  auto& node = step.node_;
  auto& session = node.session_;
  if (session.confirmed_) {
    AddErrorEvent(step, "session_lost", ResultCode::kLeaseLapsed,
                  {{"session", session.id_}, {"writer", writer}});
  }
  session.id_ = NewSessionId(step);
  session.version_ = version;
  session.confirmed_ = false;
  session.lease_end_ = Time{};
  session.unconfirmed_renewals_.clear();
  session.next_renewal_ =
      step.now_ + Jitter(step.random_, Duration(0), std::chrono::milliseconds(100));
  if (!node.assignments_.held_claims_.empty()) step.output_.assignments_changed_ = true;
  node.assignments_.held_claims_.clear();
  node.assignments_.shards_to_release_.clear();
}

// Confirms a renewal of this host whose response was lost. Returns false if another writer wrote
// the object.
bool ConfirmOwnWrite(Step& step, const PlatformObject& object, const SessionBody& body) {
  const auto& session = step.node_.session_;
  if (body.session_ != session.id_) return false;
  const auto attempt = session.unconfirmed_renewals_.find(body.nonce_);
  // A renewal that is no longer recorded is too old to extend the lease.
  ConfirmRenewal(step, object.version_,
                 attempt == session.unconfirmed_renewals_.end() ? Time{} : attempt->second);
  return true;
}

void OnConflict(Step& step, const PlatformReply& reply) {
  auto& node = step.node_;
  if (reply.objects_.empty() || reply.objects_.front().deleted_) {
    ReplaceLostSession(step, 0, "deleted");
    return;
  }
  const auto& object = reply.objects_.front();
  const auto body = ParseSession(object.body_);
  if (body && ConfirmOwnWrite(step, object, *body)) return;
  const bool replaced =
      body && body->fenced_session_.empty() && body->incarnation_ > node.settings_.incarnation_;
  ReplaceLostSession(step, object.version_,
                     body ? body->session_ + body->fenced_session_ : "unknown");
  if (!replaced) return;
  // A newer process runs under this name. This older process must not make it lose its lease.
  AddErrorEvent(step, "duplicate_name", ResultCode::kDuplicateName,
                {{"incarnation", std::to_string(body->incarnation_)}});
  node.session_.version_ = 0;
  node.session_.next_renewal_ = step.now_ + kDuplicateNameRetryDelay;
}

void OnPutReply(Step& step, const PendingRequest& request, const PlatformReply& reply) {
  auto& session = step.node_.session_;
  if (reply.code_ == ResultCode::kOk && !reply.objects_.empty()) {
    const auto attempt = session.unconfirmed_renewals_.find(request.nonce_);
    const Time sent =
        attempt == session.unconfirmed_renewals_.end() ? request.sent_at_ : attempt->second;
    ConfirmRenewal(step, reply.objects_.front().version_, sent);
  } else if (reply.code_ == ResultCode::kPlatformConflict ||
             reply.code_ == ResultCode::kPlatformNotFound) {
    OnConflict(step, reply);
  } else {
    // The write may have taken effect.
    ReadSession(step);
  }
}

void OnReadReply(Step& step, const PlatformReply& reply) {
  auto& session = step.node_.session_;
  if (reply.code_ == ResultCode::kOk && !reply.objects_.empty() &&
      reply.objects_.front().version_ > session.version_) {
    const auto body = ParseSession(reply.objects_.front().body_);
    if (body && ConfirmOwnWrite(step, reply.objects_.front(), *body)) return;
  }
  // The read may be stale. A conflict of the next conditional write returns the present object.
  session.next_renewal_ = step.now_ + session.backoff_.Next(step.random_);
}

bool HoldsNoAssignments(const Node& node) {
  const auto& assignments = node.assignments_;
  return assignments.held_claims_.empty() &&
         std::none_of(assignments.zones_.begin(), assignments.zones_.end(),
                      [](const auto& zone) { return zone.second.request_pending_; });
}

}  // namespace

std::string FormatSession(const SessionBody& body) {
  json text{{"host", body.host_}, {"incarnation", body.incarnation_}, {"nonce", body.nonce_}};
  if (!body.session_.empty()) text["session"] = body.session_;
  if (!body.fenced_session_.empty()) text["fenced"] = body.fenced_session_;
  return text.dump();
}

std::optional<SessionBody> ParseSession(const std::string& text) {
  const json parsed = json::parse(text, nullptr, false);
  if (!parsed.is_object()) return std::nullopt;
  const auto string_at = [&](const char* key) {
    const auto found = parsed.find(key);
    return found != parsed.end() && found->is_string() ? found->get<std::string>() : std::string();
  };
  SessionBody body;
  body.host_ = string_at("host");
  body.session_ = string_at("session");
  body.fenced_session_ = string_at("fenced");
  body.nonce_ = string_at("nonce");
  const auto incarnation = parsed.find("incarnation");
  if (incarnation != parsed.end() && incarnation->is_number_unsigned()) {
    body.incarnation_ = incarnation->get<Incarnation>();
  }
  if (body.session_.empty() && body.fenced_session_.empty()) return std::nullopt;
  return body;
}

Duration MaxLeaseDuration(const NodeSettings& settings) {
  return settings.session_duration_ + settings.session_duration_ / 12;
}

void StartSession(Step& step) {
  auto& session = step.node_.session_;
  session.id_ = NewSessionId(step);
  session.next_renewal_ =
      step.now_ + Jitter(step.random_, Duration(0), std::chrono::milliseconds(500));
}

void RenewDueSession(Step& step) {
  auto& node = step.node_;
  auto& session = node.session_;
  if (!session.lapse_reported_ && step.now_ >= session.lease_end_) {
    session.lapse_reported_ = true;
    step.output_.assignments_changed_ = true;
    AddErrorEvent(step, "lease_lapsed", ResultCode::kLeaseLapsed, {{"session", session.id_}});
  }
  if (session.request_pending_ || session.ended_ || step.now_ < session.next_renewal_) return;
  const bool leaving = node.membership_.self_.state_ == MemberState::kLeaving;
  if (!leaving || !HoldsNoAssignments(node)) {
    PutSession(step);
    return;
  }
  if (!session.confirmed_) {
    session.ended_ = true;
    return;
  }
  PlatformRequest request;
  request.operation_ = PlatformOperation::kDelete;
  request.kinds_ = {kSessions};
  request.name_ = node.settings_.name_;
  request.version_ = session.version_;
  session.request_pending_ = true;
  AddPlatformRequest(step, RequestPurpose::kSessionDelete, std::move(request), {});
}

Time NextSessionTime(const Node& node) {
  const auto& session = node.session_;
  Time next = session.request_pending_ || session.ended_ ? kNever : session.next_renewal_;
  if (!session.lapse_reported_) next = std::min(next, session.lease_end_);
  return next;
}

void OnSessionReply(Step& step, const PendingRequest& request, const PlatformReply& reply) {
  auto& session = step.node_.session_;
  session.request_pending_ = false;
  switch (request.purpose_) {
    case RequestPurpose::kSessionPut:
      OnPutReply(step, request, reply);
      break;
    case RequestPurpose::kSessionRead:
      OnReadReply(step, reply);
      break;
    default:
      // A failed deletion is not retried because the session expires without renewals.
      session.ended_ = true;
      session.lease_end_ = Time{};
  }
}

bool HasLease(const Node& node, Time now) {
  return node.session_.confirmed_ && now < node.session_.lease_end_;
}

}  // namespace monsoonshelf::coordination::internal
