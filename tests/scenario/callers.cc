#include <algorithm>

#include "tests/scenario/world.h"

namespace monsoonshelf::scenario {

namespace {

constexpr Duration kHostListTtl = std::chrono::seconds(2);
constexpr Duration kRetryDelay = std::chrono::milliseconds(200);
constexpr Duration kMinDeadline = std::chrono::milliseconds(500);
// Two retries take at most 1.05 s each, so a call ends within the 5 s for which World::Finish runs
// the simulation on.
constexpr Duration kMaxDeadline = std::chrono::seconds(2);
constexpr int kMaxRetries = 2;
constexpr std::size_t kMaxEntryHosts = 4;
// Delay between a caller and the network of its zone.
constexpr Duration kCallerLatency = std::chrono::milliseconds(1);

}  // namespace

void World::SetCallRate(double calls_per_second) {
  call_rate_ = calls_per_second;
  ++call_rate_generation_;
  if (call_rate_ > 0) ScheduleNextCall();
}

void World::ScheduleNextCall() {
  const auto generation = call_rate_generation_;
  simulation_.ScheduleAfter(
      simulation_.Exponential(Duration(static_cast<Duration::rep>(1e6 / call_rate_))), [=, this] {
        if (generation != call_rate_generation_) return;
        StartCall();
        ScheduleNextCall();
      });
}

std::string World::MakeCallId(const coordination::MemberUpdate& home) {
  std::string number = std::to_string(next_call_number_++);
  number.insert(0, 8 - std::min<std::size_t>(8, number.size()), '0');
  return outcomes::FormatTicket(home.name_, home.incarnation_, Minute()) + "." + number;
}

// Returns the entry hosts for a caller. The answer is cached for kHostListTtl, even if hosts in it
// have stopped. If no running host returns a list, the expired list stays in use.
std::vector<coordination::MemberUpdate> World::LookUpEntryHosts(const std::string& service,
                                                                const std::string& zone) {
  auto& cached = caller_host_lists_[{service, zone}];
  if (simulation_.Now() < cached.expires_at_) return cached.hosts_;
  std::vector<Host*> running;
  for (auto& [name, host] : hosts_) {
    if (host->IsRunning() && network_.AreConnected(zone, host->Zone()))
      running.push_back(host.get());
  }
  if (running.empty()) return cached.hosts_;
  Host& host = *running[simulation_.RandomSource()() % running.size()];
  auto members = coordination::EntryHostsFor(host.Node(), service, zone, kMaxEntryHosts);
  if (!members.empty()) cached = {simulation_.Now() + kHostListTtl, std::move(members)};
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
  const auto hosts = LookUpEntryHosts(request.service_, request.zone_);
  if (!hosts.empty()) AttemptCall(request, hosts, 0, 0);
}

// Sends the call to one host. Each attempt gets a new identifier, except the retries of a
// non-idempotent call with an unknown outcome: they keep it, so that the home host recognizes them.
void World::AttemptCall(CallRequest request, std::vector<coordination::MemberUpdate> hosts,
                        std::size_t index, int retries) {
  const auto& host = hosts[index % hosts.size()];
  if (retries == 0 || request.idempotent_) {
    request.id_ = MakeCallId(host);
    checks_.OnCallStarted(request.id_, request.idempotent_);
  }
  simulation_.ScheduleAfter(kCallerLatency, [=, this] {
    SendCallToHost(
        request.zone_, host.name_, request,
        [=, this](const CallResponse& response) {
          OnAttemptFinished(request, hosts, index, retries, response);
        },
        "");
  });
}

void World::OnAttemptFinished(const CallRequest& request,
                              const std::vector<coordination::MemberUpdate>& hosts,
                              std::size_t index, int retries, const CallResponse& response) {
  checks_.OnCallEnded(request.id_);
  const bool has_response = response.connected_ && response.complete_;
  if (has_response) checks_.OnResponse(request.id_, response.outcome_, response.body_);
  const bool is_answered = has_response && response.outcome_ == CallOutcome::kAnswered;
  if (is_answered || index + 1 >= hosts.size() || retries >= kMaxRetries) return;
  if (!response.connected_ && retries == 0) {
    // No byte of the call was sent, so another host can be tried with a new identifier.
    if (simulation_.Now() < request.deadline_) AttemptCall(request, hosts, index + 1, 0);
    return;
  }
  if (has_response && response.outcome_ == CallOutcome::kNotRun) return;
  // The outcome is unknown: the caller retries the call through another host.
  CallRequest retry = request;
  simulation_.ScheduleAfter(kRetryDelay, [=, this]() mutable {
    retry.deadline_ = simulation_.Now() + std::chrono::milliseconds(800);
    AttemptCall(retry, hosts, index + 1, retries + 1);
  });
}

}  // namespace monsoonshelf::scenario
