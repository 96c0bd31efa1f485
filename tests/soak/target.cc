#include "tests/soak/target.h"

#include <algorithm>
#include <cstdlib>
#include <string_view>
#include <utility>

#include "base/clock.h"

namespace monsoonshelf::soak {

namespace {

constexpr std::size_t kSlots = 2;
constexpr std::size_t kMaxQueue = 4;
constexpr Duration kTimerInterval = std::chrono::milliseconds(2);
// A target gives a notice for kNoticeTime, then none for one to three times kNormalTime.
constexpr Duration kNormalTime = std::chrono::seconds(6);
constexpr Duration kNoticeTime = std::chrono::seconds(3);
constexpr int kPauseSeconds = 2;

}  // namespace

std::string ExpectedBody(const std::string& path, const std::string& body) {
  constexpr std::string_view kLarge = "/large-";
  static const std::string large_body = [] {
    std::string text;
    for (std::size_t i = 0; text.size() < kMaxLargeBytes; ++i) text += std::to_string(i) + ",";
    return text;
  }();
  std::string text = "done " + path + body;
  const std::size_t at = path.rfind(kLarge);
  if (at != std::string::npos) {
    text.append(large_body, 0, std::strtoull(&path[at + kLarge.size()], nullptr, 10));
  }
  return text;
}

Target::Target(std::string name, std::string zone, Store& store, SoakResults& results,
               std::uint64_t seed)
    : name_(std::move(name)),
      zone_(std::move(zone)),
      store_(store),
      results_(results),
      connections_(*this),
      random_(seed),
      start_time_ms_(WallMicroseconds() / 1000),
      notice_random_(seed + 1),
      next_notice_change_(Now() + kNormalTime * (seed % 3)),
      timer_(g_main_context_get_thread_default(), [this] { OnTimer(); }) {
  auto listener = http::Listener::Open("127.0.0.1:0",
                                       [this](int descriptor) { connections_.Accept(descriptor); });
  listener_ = std::move(listener.value());
  proxy_ = std::make_unique<TcpProxy>(*ParseAddress(listener_->LocalAddress()));
  timer_.Set(Now() + kTimerInterval);
  Register(false);
}

void Target::Register(bool draining) {
  draining_ = draining;
  store_.Put(
      "servers", name_,
      {{"address", proxy_->GetAddress()},
       {"born", start_time_ms_},
       {"info", {{"service", "s"}, {"zone", zone_}, {"slots", kSlots}}},
       {"status",
        {{"state", draining ? "draining" : "ready"}, {"sequence", 1}, {"warmupLeftMs", 0}}}});
}

void Target::SetMode(TargetMode mode) {
  mode_ = mode;
  UpdateFaultTimes();
}

void Target::SetLinkState(LinkState state) {
  link_state_ = state;
  proxy_->SetState(state);
  UpdateFaultTimes();
}

void Target::ResetConnections() {
  faults_.AddShortFault(Now());
  proxy_->ResetConnections();
}

void Target::EndFaults() {
  gives_notices_ = false;
  asks_for_pauses_ = false;
  if (leaving_) StartAgain();
  SetMode(TargetMode::kHealthy);
  SetLinkState(LinkState::kHealthy);
  ResetConnections();
}

void Target::UpdateFaultTimes() {
  if (mode_ == TargetMode::kHealthy && link_state_ == LinkState::kHealthy) {
    faults_.End(Now());
  } else {
    faults_.Begin(Now());
  }
}

void Target::OnRequest(const http::ServerExchangePtr& exchange, http::Request request) {
  const http::Headers& headers = request.head_.headers_;
  const std::string load = std::to_string(std::min(running_.size(), kSlots)) + "," +
                           std::to_string(running_.size() > kSlots ? running_.size() - kSlots : 0) +
                           "," + std::to_string(kSlots) + ",100";
  if (request.head_.target_ == "/healthz") {
    return exchange->Respond(200, {{"Instance-Id", name_}, {"Server-Load", load}}, {});
  }
  const std::string* id = http::FindHeader(headers, "Attempt-Id");
  const std::string* expected = http::FindHeader(headers, "Expect-Instance");
  if (id == nullptr || !results_.sent_.contains(*id)) {
    results_.violations_.push_back("request that no caller sent at " + name_);
    return exchange->Respond(400, {{"Not-Executed", "1"}}, {});
  }
  if (expected == nullptr || *expected != name_) {
    return exchange->Respond(421, {{"Instance-Id", name_}}, {});
  }
  if (Now() > no_requests_after_)
    results_.violations_.push_back("request at " + name_ + " after it left service: " + *id);
  const SentRequest& sent = results_.sent_[*id];
  results_.arrivals_.push_back(
      {*id, name_, incarnation_, sent.host_, sent.sent_at_, Now(), results_.stalled_});
  std::vector<TargetWork>& work = results_.work_[*id];
  work.push_back({&faults_, Now()});
  if (mode_ == TargetMode::kRefuses || running_.size() >= kSlots + kMaxQueue) {
    return exchange->Respond(503, {{"Not-Executed", "1"}, {"Attempt-Id", *id}}, {});
  }
  if (asks_for_pauses_ && notice_random_() % 2 == 0) {
    // An idempotent request may have been cancelled, so that its host does not read the response.
    if (sent.non_idempotent_) {
      results_.notices_.push_back(MakeNotice(sent.host_, std::chrono::seconds(kPauseSeconds)));
    }
    return exchange->Respond(503,
                             {{"Not-Executed", "1"},
                              {"Attempt-Id", *id},
                              {"Retry-After", std::to_string(kPauseSeconds)}},
                             {});
  }
  const int executions = ++results_.executions_[*id];
  if (executions > 1 && sent.non_idempotent_)
    results_.violations_.push_back("second execution of " + *id);
  if (mode_ == TargetMode::kResets) return exchange->CloseConnection();
  if (mode_ == TargetMode::kFails) {
    return exchange->Respond(500, {{"Attempt-Id", *id}, {"Server-Signature", name_}}, "failed");
  }
  const int work_ms =
      mode_ == TargetMode::kHangs ? 60'000 : std::uniform_int_distribution<int>(10, 60)(random_);
  const std::size_t ahead = running_.size() < kSlots ? 0 : running_.size() - kSlots + 1;
  running_.push_back({exchange, *id, ExpectedBody(request.head_.target_, request.body_),
                      Now() + std::chrono::milliseconds(work_ms * (1 + ahead)), work.size() - 1});
}

void Target::OnCallerDisconnected(const http::ServerExchangePtr& exchange) {
  std::erase_if(running_, [&](const RunningRequest& request) {
    if (request.exchange_ != exchange) return false;
    results_.work_[request.id_][request.work_].end_ = Now();
    return true;
  });
}

void Target::OnRejected(int status, std::string_view reason) {
  results_.violations_.push_back("malformed request at " + name_ + ": " + std::to_string(status) +
                                 " " + std::string(reason));
}

GivenNotice Target::MakeNotice(const std::string& host, Duration pause) const {
  return {name_, incarnation_, host, Now(), pause, results_.stalled_};
}

void Target::ChangeNotice(Time now) {
  const bool had_notice = leaving_ || asks_for_pauses_;
  if (leaving_) StartAgain();
  asks_for_pauses_ = false;
  if (!had_notice) (notice_random_() % 2 == 0 ? leaving_ : asks_for_pauses_) = true;
  next_notice_change_ =
      now + (had_notice ? kNormalTime * std::uniform_int_distribution<int>(1, 3)(notice_random_)
                        : kNoticeTime);
}

void Target::StartAgain() {
  leaving_ = false;
  ++incarnation_;
  ++start_time_ms_;
  Register(draining_);
}

void Target::OnTimer() {
  const Time now = Now();
  std::vector<RunningRequest> due;
  for (auto request = running_.begin(); request != running_.end();) {
    if (request->end_ <= now) {
      due.push_back(std::move(*request));
      request = running_.erase(request);
    } else {
      ++request;
    }
  }
  for (const RunningRequest& request : due) {
    results_.work_[request.id_][request.work_].end_ = now;
    http::Headers headers = {{"Attempt-Id", request.id_}, {"Server-Signature", name_}};
    if (leaving_) {
      headers.emplace_back("Server-Leaving", "1");
      results_.pending_notices_[request.id_] = MakeNotice(results_.sent_[request.id_].host_, {});
    }
    request.exchange_->Respond(200, headers, request.body_);
  }
  if (gives_notices_ && now >= next_notice_change_) ChangeNotice(now);
  timer_.Set(now + kTimerInterval);
}

}  // namespace monsoonshelf::soak
