#include <algorithm>

#include "tests/scenario/world.h"

namespace monsoonshelf::scenario {

namespace {

constexpr Duration kCacheTime = std::chrono::seconds(2);
constexpr Duration kRepeatDelay = std::chrono::milliseconds(200);
constexpr Duration kMinDeadline = std::chrono::milliseconds(500);
// With two repeats of 1.05 s at most, a call ends within the 5 s that World::Finish waits.
constexpr Duration kMaxDeadline = std::chrono::seconds(2);
constexpr int kRepeats = 2;
constexpr std::size_t kMaxHosts = 4;
// A caller is near its zone.
constexpr Duration kCallerDelay = std::chrono::milliseconds(1);

}  // namespace

void World::SetCallRate(double calls_per_second) {
  load_ = calls_per_second;
  ++load_generation_;
  if (load_ > 0) ArriveCalls();
}

void World::ArriveCalls() {
  const auto generation = load_generation_;
  simulation_.After(simulation_.Exponential(Duration(static_cast<Duration::rep>(1e6 / load_))),
                    [=, this] {
                      if (generation != load_generation_) return;
                      StartCall();
                      ArriveCalls();
                    });
}

std::string World::NewId(const coordination::MemberUpdate& home) {
  std::string number = std::to_string(next_call_++);
  number.insert(0, 8 - std::min<std::size_t>(8, number.size()), '0');
  return outcomes::FormatTicket(home.name_, home.incarnation_, Minute()) + "." + number;
}

// Callers keep the answer for a while, also when the hosts on it are gone.
std::vector<coordination::MemberUpdate> World::AskForHosts(const std::string& service,
                                                           const std::string& zone) {
  auto& cached = caller_cache_[{service, zone}];
  if (simulation_.Now() < cached.until_) return cached.hosts_;
  std::vector<Host*> running;
  for (auto& [name, host] : hosts_) {
    if (host->IsRunning() && network_.Connects(zone, host->Zone())) running.push_back(host.get());
  }
  if (running.empty()) return cached.hosts_;
  Host& host = *running[simulation_.RandomSource()() % running.size()];
  auto members = coordination::EntryHostsFor(host.Node(), service, zone, kMaxHosts);
  if (!members.empty()) cached = {simulation_.Now() + kCacheTime, std::move(members)};
  return cached.hosts_;
}

void World::StartCall() {
  CallRequest request;
  request.service_ =
      "service" + std::to_string(1 + simulation_.RandomSource()() % settings_.services_);
  request.zone_ = settings_.zones_[simulation_.RandomSource()() % settings_.zones_.size()];
  request.idempotent_ = simulation_.Uniform() < 0.5;
  request.class_ =
      request.idempotent_ ? records::CallClass::kInteractive : records::CallClass::kTransactional;
  request.deadline_ = simulation_.Now() +
                      std::min(kMaxDeadline, kMinDeadline + simulation_.Exponential(kMinDeadline));
  const auto hosts = AskForHosts(request.service_, request.zone_);
  if (!hosts.empty()) Attempt(request, hosts, 0, 0);
}

// Tries a host. A new identifier is built for each host, unless this repeats a call whose outcome
// is not known.
void World::Attempt(CallRequest request, std::vector<coordination::MemberUpdate> hosts,
                    std::size_t index, int repeats) {
  const auto& host = hosts[index % hosts.size()];
  if (repeats == 0 || request.idempotent_) {
    request.id_ = NewId(host);
    checks_.OnCallStarted(request.id_, request.idempotent_);
  }
  simulation_.After(kCallerDelay, [=, this] {
    ConnectHost(
        request.zone_, host.name_, request,
        [=, this](const CallResponse& response) {
          OnAttemptEnd(request, hosts, index, repeats, response);
        },
        "");
  });
}

void World::OnAttemptEnd(const CallRequest& request,
                         const std::vector<coordination::MemberUpdate>& hosts, std::size_t index,
                         int repeats, const CallResponse& response) {
  checks_.OnCallEnded(request.id_);
  const bool has_response = response.connected_ && response.complete_;
  if (has_response) checks_.OnResponse(request.id_, response.outcome_, response.body_);
  const bool settled = has_response && response.outcome_ == CallOutcome::kAnswered;
  if (settled || index + 1 >= hosts.size() || repeats >= kRepeats) return;
  if (!response.connected_ && repeats == 0) {
    // No byte of the call was sent: a new identifier at another host.
    if (simulation_.Now() < request.deadline_) Attempt(request, hosts, index + 1, 0);
    return;
  }
  if (has_response && response.outcome_ == CallOutcome::kNotRun) return;
  // The outcome is unknown: the caller repeats the call through another host.
  CallRequest repeat = request;
  simulation_.After(kRepeatDelay, [=, this]() mutable {
    repeat.deadline_ = simulation_.Now() + std::chrono::milliseconds(800);
    Attempt(repeat, hosts, index + 1, repeats + 1);
  });
}

}  // namespace monsoonshelf::scenario
