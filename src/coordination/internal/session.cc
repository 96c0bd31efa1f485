#include "coordination/internal/session.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "coordination/internal/platform_link.h"

namespace monsoonshelf::coordination::internal {

namespace {

using nlohmann::json;

constexpr char kSessions[] = "sessions";
// After another host took over the name of this one.
constexpr Duration kReplacedRetry = std::chrono::seconds(10);

// Random, so that two processes that were given the same name and incarnation by mistake differ.
std::string NewSessionId(Step& step) {
  auto& node = step.node_;
  return node.settings_.name_ + '.' + std::to_string(node.settings_.incarnation_) + '.' +
         std::to_string(++node.session_.sessions_) + '.' +
         std::to_string(step.random_() & 0xffffffff);
}

// The status of the host travels in its session, which is written anyway.
json Status(const Node& node) {
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
  body["status"] = Status(node);
  PlatformRequest request;
  request.operation_ = PlatformOperation::kPut;
  request.kinds_ = {kSessions};
  request.name_ = node.settings_.name_;
  request.version_ = session.version_;
  request.body_ = body.dump();
  session.attempts_[nonce] = step.now_;
  // Attempts this old cannot extend the lease any more.
  std::erase_if(session.attempts_, [&](const auto& attempt) {
    return attempt.second + node.settings_.session_duration_ < step.now_;
  });
  session.waiting_ = true;
  SendRequest(step, Purpose::kSessionPut, std::move(request), nonce);
}

void ReadSession(Step& step) {
  PlatformRequest request;
  request.operation_ = PlatformOperation::kGet;
  request.kinds_ = {kSessions};
  request.name_ = step.node_.settings_.name_;
  step.node_.session_.waiting_ = true;
  SendRequest(step, Purpose::kSessionRead, std::move(request), {});
}

void Confirm(Step& step, Version version, Time sent) {
  auto& node = step.node_;
  auto& session = node.session_;
  session.version_ = version;
  session.confirmed_ = true;
  session.attempts_.clear();
  session.backoff_.Reset();
  session.lease_until_ = std::max(session.lease_until_, sent + node.settings_.session_duration_);
  session.lapse_reported_ = false;
  session.next_send_ = std::max(step.now_, sent + node.settings_.session_renewal_interval_);
  if (!node.assignments_.held_.empty()) step.output_.assignments_changed_ = true;
}

// Another writer changed the session object. The assignments under this session may be gone.
void LoseSession(Step& step, Version version, const std::string& writer) {
  auto& node = step.node_;
  auto& session = node.session_;
  if (session.confirmed_) {
    AddErrorEvent(step, "session_lost", ResultCode::kLeaseLapsed,
                  {{"session", session.id_}, {"writer", writer}});
  }
  session.id_ = NewSessionId(step);
  session.version_ = version;
  session.confirmed_ = false;
  session.lease_until_ = Time{};
  session.attempts_.clear();
  session.next_send_ =
      step.now_ + Jitter(step.random_, Duration(0), std::chrono::milliseconds(100));
  if (!node.assignments_.held_.empty()) step.output_.assignments_changed_ = true;
  node.assignments_.held_.clear();
  node.assignments_.unwanted_.clear();
}

// Adopts an own renewal whose response was lost. False: the object was written by another one.
bool AdoptOwnWrite(Step& step, const PlatformObject& object, const SessionBody& body) {
  const auto& session = step.node_.session_;
  if (body.session_ != session.id_) return false;
  const auto attempt = session.attempts_.find(body.nonce_);
  // A write too old to be remembered extends no lease.
  Confirm(step, object.version_, attempt == session.attempts_.end() ? Time{} : attempt->second);
  return true;
}

void OnConflict(Step& step, const PlatformReply& reply) {
  auto& node = step.node_;
  if (reply.objects_.empty() || reply.objects_.front().deleted_) {
    LoseSession(step, 0, "deleted");
    return;
  }
  const auto& object = reply.objects_.front();
  const auto body = ParseSession(object.body_);
  if (body && AdoptOwnWrite(step, object, *body)) return;
  const bool replaced =
      body && body->fenced_.empty() && body->incarnation_ > node.settings_.incarnation_;
  LoseSession(step, object.version_, body ? body->session_ + body->fenced_ : "unknown");
  if (!replaced) return;
  // Another process runs under this name. It must not lose its lease to this older one.
  AddErrorEvent(step, "duplicate_name", ResultCode::kDuplicateName,
                {{"incarnation", std::to_string(body->incarnation_)}});
  node.session_.version_ = 0;
  node.session_.next_send_ = step.now_ + kReplacedRetry;
}

void OnPutReply(Step& step, const WaitingRequest& request, const PlatformReply& reply) {
  auto& session = step.node_.session_;
  if (reply.code_ == ResultCode::kOk && !reply.objects_.empty()) {
    const auto attempt = session.attempts_.find(request.nonce_);
    const Time sent = attempt == session.attempts_.end() ? request.sent_ : attempt->second;
    Confirm(step, reply.objects_.front().version_, sent);
  } else if (reply.code_ == ResultCode::kPlatformConflict ||
             reply.code_ == ResultCode::kPlatformNotFound) {
    OnConflict(step, reply);
  } else {
    // It may have taken effect.
    ReadSession(step);
  }
}

void OnReadReply(Step& step, const PlatformReply& reply) {
  auto& session = step.node_.session_;
  if (reply.code_ == ResultCode::kOk && !reply.objects_.empty() &&
      reply.objects_.front().version_ > session.version_) {
    const auto body = ParseSession(reply.objects_.front().body_);
    if (body && AdoptOwnWrite(step, reply.objects_.front(), *body)) return;
  }
  // The read may be stale. The next conditional write tells what the object is.
  session.next_send_ = step.now_ + session.backoff_.Next(step.random_);
}

bool HoldsNothing(const Node& node) {
  const auto& assignments = node.assignments_;
  return assignments.held_.empty() &&
         std::none_of(assignments.zones_.begin(), assignments.zones_.end(),
                      [](const auto& zone) { return zone.second.waiting_; });
}

}  // namespace

std::string FormatSession(const SessionBody& body) {
  json text{{"host", body.host_}, {"incarnation", body.incarnation_}, {"nonce", body.nonce_}};
  if (!body.session_.empty()) text["session"] = body.session_;
  if (!body.fenced_.empty()) text["fenced"] = body.fenced_;
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
  body.fenced_ = string_at("fenced");
  body.nonce_ = string_at("nonce");
  const auto incarnation = parsed.find("incarnation");
  if (incarnation != parsed.end() && incarnation->is_number_unsigned()) {
    body.incarnation_ = incarnation->get<Incarnation>();
  }
  if (body.session_.empty() && body.fenced_.empty()) return std::nullopt;
  return body;
}

Duration LeaseSpan(const NodeSettings& settings) {
  return settings.session_duration_ + settings.session_duration_ / 12;
}

void StartSession(Step& step) {
  auto& session = step.node_.session_;
  session.id_ = NewSessionId(step);
  session.next_send_ =
      step.now_ + Jitter(step.random_, Duration(0), std::chrono::milliseconds(500));
}

void ContinueSession(Step& step) {
  auto& node = step.node_;
  auto& session = node.session_;
  if (!session.lapse_reported_ && step.now_ >= session.lease_until_) {
    session.lapse_reported_ = true;
    step.output_.assignments_changed_ = true;
    AddErrorEvent(step, "lease_lapsed", ResultCode::kLeaseLapsed, {{"session", session.id_}});
  }
  if (session.waiting_ || session.ended_ || step.now_ < session.next_send_) return;
  const bool leaving = node.membership_.self_.state_ == MemberState::kLeaving;
  if (!leaving || !HoldsNothing(node)) {
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
  session.waiting_ = true;
  SendRequest(step, Purpose::kSessionDelete, std::move(request), {});
}

Time NextSessionTime(const Node& node) {
  const auto& session = node.session_;
  Time next = session.waiting_ || session.ended_ ? kNever : session.next_send_;
  if (!session.lapse_reported_) next = std::min(next, session.lease_until_);
  return next;
}

void OnSessionReply(Step& step, const WaitingRequest& request, const PlatformReply& reply) {
  auto& session = step.node_.session_;
  session.waiting_ = false;
  switch (request.purpose_) {
    case Purpose::kSessionPut:
      OnPutReply(step, request, reply);
      break;
    case Purpose::kSessionRead:
      OnReadReply(step, reply);
      break;
    default:
      // A failed deletion needs no repetition: the session ends by itself.
      session.ended_ = true;
      session.lease_until_ = Time{};
  }
}

bool HasLease(const Node& node, Time now) {
  return node.session_.confirmed_ && now < node.session_.lease_until_;
}

}  // namespace monsoonshelf::coordination::internal
