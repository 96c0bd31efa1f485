#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "eventloop/timer.h"
#include "http/listener.h"
#include "http/server_connection.h"
#include "tests/soak/loss_check.h"
#include "tests/soak/notice_check.h"
#include "tests/soak/store.h"
#include "tests/soak/tcp_proxy.h"

namespace monsoonshelf::soak {

struct SentRequest {
  bool non_idempotent_ = false;
  std::string host_;  // Front address.
  Time sent_at_{};
};

// What the targets and callers of a run observed; evaluated at the end.
struct SoakResults {
  std::map<std::string, int> executions_;    // By attempt identifier.
  std::map<std::string, SentRequest> sent_;  // By attempt identifier.
  // By attempt identifier: the notice in the response of a target. It counts as given when the
  // caller has the response.
  std::map<std::string, GivenNotice> pending_notices_;
  std::vector<GivenNotice> notices_;
  std::vector<Arrival> arrivals_;
  // By attempt identifier: each arrival at a target.
  std::map<std::string, std::vector<TargetWork>> work_;
  std::vector<LostRequest> lost_;
  Time last_poll_{};  // Begin of the previous iteration of the main loop.
  // Time in which the soak itself did not run. It does not count as time without a response.
  Duration stalled_{};
  std::vector<std::string> refused_;  // Attempts answered as not executed.
  std::vector<std::string> violations_;
  // The caller has received the whole response to this attempt.
  void OnNoticeReceived(const std::string& id) {
    const auto found = pending_notices_.find(id);
    if (found == pending_notices_.end()) return;
    notices_.push_back(std::move(found->second));
    notices_.back().given_at_ = Now();
    notices_.back().stalled_before_ = stalled_;
    pending_notices_.erase(found);
  }

  int answered_ = 0;
  int unknown_ = 0;
  int abandoned_ = 0;         // The caller closed the connection in the middle of a response.
  int without_response_ = 0;  // No exchange, connection lost, or deadline passed.
  int answered_after_recovery_ = 0;  // Of sent_after_recovery_.
  int sent_after_recovery_ = 0;      // Requests sent after the faults and the recovery time.
};

enum class TargetMode { kHealthy, kHangs, kFails, kResets, kRefuses };

// Largest N of a path that ends with "/large-N".
inline constexpr std::size_t kMaxLargeBytes = 8'000'000;
// Returns the body of the response to a request: its path, its body and, for a path that ends with
// "/large-N", N further bytes.
std::string ExpectedBody(const std::string& path, const std::string& body);

// A target on loopback, behind a proxy, that registers itself in the store.
class Target : private http::IServerHandler {
 public:
  Target(std::string name, std::string zone, Store& store, SoakResults& results,
         std::uint64_t seed);

  // Writes the registration of the target with the state "draining" or "ready".
  void Register(bool draining);
  // Writes the registration that the store may have lost.
  void RegisterAgain() { Register(draining_); }
  // Unplanned faults, until EndFaults or for a moment.
  void SetMode(TargetMode mode);
  void SetLinkState(LinkState state);
  void ResetConnections();
  void EndFaults();
  const std::string& Name() const { return name_; }
  const std::string& Zone() const { return zone_; }
  const FaultTimes& Faults() const { return faults_; }
  // A request that arrives after `time` is a violation; Time::max() if requests may always arrive.
  void SetNoRequestsAfter(Time time) { no_requests_after_ = time; }

 private:
  struct RunningRequest {
    http::ServerExchangePtr exchange_;
    std::string id_;
    std::string body_;
    Time end_{};
    std::size_t work_ = 0;  // Index in SoakResults::work_.
  };
  void OnRequest(const http::ServerExchangePtr& exchange, http::Request request) override;
  void OnCallerDisconnected(const http::ServerExchangePtr& exchange) override;
  void OnResponseFlushed(const http::ServerExchangePtr& /*exchange*/) override {}
  void OnRejected(int status, std::string_view reason) override;
  void OnTimer();
  void UpdateFaultTimes();
  // Leaves and starts again, or asks for pauses, at random times.
  void ChangeNotice(Time now);
  void StartAgain();
  GivenNotice MakeNotice(const std::string& host, Duration pause) const;

  std::string name_;
  std::string zone_;
  Store& store_;
  SoakResults& results_;
  http::ServerConnections connections_;
  std::unique_ptr<http::Listener> listener_;
  std::unique_ptr<TcpProxy> proxy_;
  TargetMode mode_ = TargetMode::kHealthy;
  LinkState link_state_ = LinkState::kHealthy;
  FaultTimes faults_;
  Time no_requests_after_ = Time::max();
  std::vector<RunningRequest> running_;
  std::mt19937_64 random_;
  std::int64_t start_time_ms_;
  // Apart from random_, so that the schedule of a seed stays the same.
  std::mt19937_64 notice_random_;
  bool draining_ = false;  // In its registration.
  bool gives_notices_ = true;
  bool leaving_ = false;
  bool asks_for_pauses_ = false;
  Time next_notice_change_{};
  int incarnation_ = 1;
  eventloop::Timer timer_;
};

}  // namespace monsoonshelf::soak
