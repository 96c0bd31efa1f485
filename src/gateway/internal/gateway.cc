#include "gateway/gateway.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "eventloop/timer.h"
#include "gateway/directory.h"
#include "gateway/internal/call.h"
#include "gateway/internal/gateway_state.h"
#include "gateway/internal/peer_socket.h"
#include "gateway/internal/query_server.h"
#include "gateway/internal/quota_control.h"
#include "gateway/internal/rollout_control.h"
#include "gateway/internal/store_sync.h"
#include "gateway/zone_peers.h"
#include "http/listener.h"
#include "http/server_connection.h"
#include "lifecycle/lifecycle.h"
#include "logging/logging.h"

namespace monsoonshelf::gateway {

namespace {

using lifecycle::LifecycleEvent;
using lifecycle::LifecycleState;

// Interval of timeout checks, peer liveness checks and connection pool maintenance.
constexpr Duration kTickInterval = std::chrono::milliseconds(250);
// The same while the host waits for its last calls and connections, so that it ends soon after
// them.
constexpr Duration kDrainTickInterval = std::chrono::milliseconds(50);
// Time from the first list of hosts until those of the zone have answered a ping: two ticks, as the
// hosts may have started at the same time.
constexpr Duration kPeerDiscoveryTime = std::chrono::milliseconds(500);
// Ticks between two updates of the metrics gauges.
constexpr int kTicksPerMetricsUpdate = 8;
// Share of the stop time during which requests are still accepted. In this phase most callers learn
// about other hosts, because they query the directory again when the time to live of its response
// ends. Later requests are rejected because they might not finish in time.
constexpr double kLeavingPhaseShare = 0.45;
// In a long stop, requests are accepted for longer than this only if they must end before the calls
// are ended by force.
constexpr Duration kMaxLongRequestPhase = std::chrono::milliseconds(2700);
// Calls are waited for until this share of the stop time, and until the margin before its end. The
// rest is for their responses.
constexpr double kMinCallStopShare = 5.0 / 6;
constexpr Duration kCallStopMargin = std::chrono::milliseconds(900);
// Connections are waited for until this time before the end of the stop time, so that the process
// ends in time even on a slow host.
constexpr Duration kConnectionStopMargin = std::chrono::milliseconds(300);
// Upper limit of this margin as a share of the stop time, so that responses have time also if the
// stop time is short.
constexpr double kMaxConnectionMarginShare = 1.0 / 12;
// Maximum number of entry hosts that are notified about a failed target.
constexpr std::size_t kMaxFailureRecipients = 16;
// Request bodies that were not started may use the memory limit divided by this number.
constexpr int kBodyMemoryShare = 4;
// All that caller connections hold may use the memory limit divided by this number. The body of a
// started request exists a second time while it is sent to its target; the rest is for the process.
constexpr int kHeldMemoryShare = 3;
// Interval between two log lines about rejected requests with the same reason.
constexpr Duration kRejectionLogInterval = std::chrono::seconds(10);

Duration CallStopTime(Duration stop_time) {
  return std::max(std::chrono::duration_cast<Duration>(stop_time * kMinCallStopShare),
                  stop_time - kCallStopMargin);
}

Duration ConnectionStopTime(Duration stop_time) {
  return stop_time - std::min(kConnectionStopMargin, std::chrono::duration_cast<Duration>(
                                                         stop_time * kMaxConnectionMarginShare));
}

// Fields of a log line.
KeyValues FormatCounts(const http::ConnectionCounts& counts) {
  return {{"connections", std::to_string(counts.open_)},
          {"reading", std::to_string(counts.reading_)},
          {"busy", std::to_string(counts.busy_)},
          {"closing", std::to_string(counts.closing_)},
          {"unsent_bytes", std::to_string(counts.unsent_bytes_)}};
}

class GatewayImpl : public Gateway, private http::IServerHandler, private ICallOwner {
 public:
  GatewayImpl(const GatewaySettings& settings, const ICallFormat& format,
              const IRecordFormat& record_format, IRecordStore& store, Incarnation incarnation,
              std::uint64_t seed)
      : settings_(settings),
        state_(settings_, format, seed),
        memory_account_(std::make_shared<http::MemoryAccount>(
            static_cast<std::size_t>(settings_.memory_bytes_ / kHeldMemoryShare))),
        caller_connections_(*this, memory_account_),
        directory_server_(settings_, memory_account_,
                          [this](const auto& exchange, const auto& request) {
                            RespondToDirectoryQuery(exchange, request);
                          }),
        readiness_server_(settings_, memory_account_,
                          [this](const auto& exchange, const auto& request) {
                            RespondToReadinessQuery(exchange, request);
                          }),
        metrics_server_(settings_, memory_account_,
                        [this](const auto& exchange, const auto& /*request*/) {
                          exchange->Respond(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                                            state_.metrics_.Format());
                        }),
        record_server_(settings_, memory_account_,
                       [this](const auto& exchange, const auto& request) {
                         store_sync_.Server().OnRequest(exchange, request);
                       }),
        self_{settings_.name_,
              settings_.zone_,
              settings_.front_address_,
              settings_.peer_address_,
              settings_.control_address_,
              incarnation,
              settings_.capacity_},
        store_sync_(
            store, record_format, state_, self_, [this] { OnStateChanged(); },
            [this](const HostRecord& host) {
              AddOrUpdatePeer(peers_, host);
              quota_control_.AddHost(host);
              rollout_control_.AddHost(host);
            },
            // An acknowledgement without a ping: it needs no response.
            [this] { Broadcast(PeerMessageType::kAck, {}); }),
        quota_control_(state_, self_,
                       [this](const std::string& address, const std::string& bytes) {
                         peer_socket_->Send(address, bytes);
                       }),
        rollout_control_(
            state_, self_,
            [this](const std::string& address, const std::string& bytes) {
              peer_socket_->Send(address, bytes);
            },
            [this](const RolloutOrder& order, RolloutState state,
                   IRecordStore::WriteCallback callback) {
              store_sync_.WriteRolloutState(order, state, std::move(callback));
            }),
        tick_timer_(g_main_context_get_thread_default(), [this] { OnTick(); }) {
    state_.quota_gate_ = &quota_control_;
    if (settings_.bounds_.has_rollouts_) state_.rollout_gate_ = &rollout_control_;
    peers_.self_ = self_;
    state_.zone_hosts_ = {settings_.name_};
    state_.on_target_failed_ = [this](const TargetId& target) { BroadcastTargetFailure(target); };
    record_server_.on_caller_gone_ = [this](const auto& exchange) {
      store_sync_.Server().OnCallerDisconnected(exchange);
    };
    caller_connections_.SetMaxBufferedBytes(
        static_cast<std::size_t>(settings_.memory_bytes_ / kBodyMemoryShare));
    caller_connections_.SetLimits(WithSettings({}, settings_));
    caller_connections_.SetMaxConnections(MaxCallerConnections(settings_));
  }

  // A response that is still being sent, or a request that is still being read, is lost here.
  ~GatewayImpl() override {
    const http::ConnectionCounts counts = caller_connections_.CountByState();
    const bool is_loss = counts.reading_ + counts.busy_ + counts.unsent_bytes_ > 0;
    logging::LogEvent(is_loss ? logging::LogLevel::kWarning : logging::LogLevel::kInfo,
                      "connections_aborted", FormatCounts(counts));
  }

  Result<void> Open() {
    BOOST_LEAF_ASSIGN(machine_, lifecycle::LoadLifecycle());
    lifecycle_state_ = machine_.Initial();
    BOOST_LEAF_ASSIGN(caller_listener_,
                      http::Listener::Open(settings_.front_address_, [this](int descriptor) {
                        caller_connections_.Accept(descriptor);
                      }));
    caller_listener_->SetMayAccept([this] { return caller_connections_.MakeRoom(); });
    BOOST_LEAF_CHECK(directory_server_.Listen(settings_.directory_address_));
    BOOST_LEAF_CHECK(readiness_server_.Listen(settings_.readiness_address_));
    BOOST_LEAF_CHECK(metrics_server_.Listen(settings_.metrics_address_));
    BOOST_LEAF_CHECK(record_server_.Listen(settings_.control_address_));
    BOOST_LEAF_ASSIGN(peer_socket_,
                      PeerSocket::Open(settings_.peer_address_,
                                       [this](std::string_view bytes) { OnDatagram(bytes); }));
    store_sync_.Start();
    tick_timer_.Set(Now() + kTickInterval);
    return {};
  }

  void Stop() override { HandleLifecycleEvent(LifecycleEvent::kStop); }

  void Reload(const GatewaySettings& settings) override {
    // Whether the orders are read is decided at the start.
    const bool has_rollouts = settings_.bounds_.has_rollouts_;
    settings_.bounds_ = settings.bounds_;
    settings_.bounds_.has_rollouts_ = has_rollouts;
  }
  bool IsStopped() const override { return lifecycle_state_ == LifecycleState::kStopped; }

 private:
  // Requests that a connection rejected for one reason.
  struct Rejections {
    std::uint64_t count_ = 0;
    Time logged_at_{};
  };

  bool IsServing() const { return lifecycle_state_ == LifecycleState::kServing; }

  void HandleLifecycleEvent(LifecycleEvent event) {
    const LifecycleState next = machine_.Next(lifecycle_state_, event);
    if (next == lifecycle_state_) return;
    KeyValues fields = {
        {"from", std::string(NameOf(lifecycle::kLifecycleStateNames, lifecycle_state_))},
        {"to", std::string(NameOf(lifecycle::kLifecycleStateNames, next))},
        {"cause", std::string(NameOf(lifecycle::kLifecycleEventNames, event))},
        {"calls", std::to_string(calls_.size())},
        {"sends_in_flight", std::to_string(CountCallsInFlight())}};
    const KeyValues connections = FormatCounts(caller_connections_.CountByState());
    fields.insert(fields.end(), connections.begin(), connections.end());
    logging::LogEvent(logging::LogLevel::kInfo, "lifecycle", fields);
    lifecycle_state_ = next;
    const Time now = Now();
    switch (next) {
      case LifecycleState::kStarting:
      case LifecycleState::kServing:
        break;
      case LifecycleState::kLeaving:
        BeginStop(now);
        caller_connections_.SetCloseAfterResponse(true);
        Broadcast(PeerMessageType::kLeaving, {});
        break;
      case LifecycleState::kDraining:
        if (stop_started_ == Time{}) BeginStop(now);
        state_.stopping_ = true;
        caller_connections_.SetCloseAfterResponse(true);
        caller_connections_.CloseIdle();
        break;
      case LifecycleState::kClosing:
        state_.stopping_ = true;
        caller_connections_.SetCloseAfterResponse(true);
        EndCalls(now);
        break;
      case LifecycleState::kStopped:
        // A caller that connects from now on is refused at once and can use another host.
        caller_listener_.reset();
        for (QueryServer* server : QueryServers()) server->listener_.reset();
        break;
    }
  }

  void BeginStop(Time now) {
    stop_started_ = now;
    stop_time_ = settings_.bounds_.stop_time_;
    state_.calls_end_at_ = now + CallStopTime(stop_time_);
    state_.accepts_long_until_ = now + kMaxLongRequestPhase;
  }

  // Ends the calls that are left when the time allowed for them has ended.
  void EndCalls(Time now) {
    if (calls_.empty()) return;
    logging::LogEvent(logging::LogLevel::kError, "stop_cut_calls",
                      {{"calls", std::to_string(calls_.size())},
                       {"sends_in_flight", std::to_string(CountCallsInFlight())},
                       {"code", std::to_string(static_cast<int>(ResultCode::kStopCutCalls))}});
    std::vector<CallPtr> calls;
    for (const auto& [key, call] : calls_) calls.push_back(call);
    for (const CallPtr& call : calls) call->OnForcedStop(now);
  }

  std::size_t CountCallsInFlight() const {
    return static_cast<std::size_t>(
        std::count_if(calls_.begin(), calls_.end(),
                      [](const auto& item) { return item.second->HasSendInFlight(); }));
  }

  void OnStateChanged() {
    const Time now = Now();
    if (state_.rollout_gate_ != nullptr) rollout_control_.OnRecords(now);
    if (state_.configuration_ != nullptr) {
      caller_connections_.SetLimits(
          WithSettings(state_.configuration_->configuration_.limits_, settings_));
      const bool knows_orders = state_.rollout_gate_ == nullptr || rollout_control_.IsReady(now);
      if (state_.has_target_list_ && knows_orders) {
        HandleLifecycleEvent(LifecycleEvent::kConfigured);
      }
    }
  }

  void OnTick() {
    const Time now = Now();
    finished_calls_.clear();
    logging::FlushLog();
    ExpireProbes(now);
    caller_connections_.CheckTimeouts(now);
    for (QueryServer* server : QueryServers()) server->connections_.CheckTimeouts(now);
    memory_account_->ShedIfShort(now);
    memory_account_->ReleaseFreedMemory(now);
    state_.pool_.CloseExpired(now);
    RemoveExpiredTargets(state_, now);
    EndTargetPauses(state_, now);
    UpdatePeers(now);
    if (state_.rollout_gate_ != nullptr) {
      rollout_control_.Update(now);
      if (lifecycle_state_ == LifecycleState::kStarting) OnStateChanged();
    }
    store_sync_.OnTick(FindReaders(peers_, now), now);
    if (++tick_count_ % kTicksPerMetricsUpdate == 0) UpdateGauges(now);
    AdvanceStop(now);
    if (IsStopped()) return;
    const bool is_ending = lifecycle_state_ == LifecycleState::kDraining ||
                           lifecycle_state_ == LifecycleState::kClosing;
    tick_timer_.Set(now + (is_ending ? kDrainTickInterval : kTickInterval));
  }

  void AdvanceStop(Time now) {
    if (stop_started_ == Time{}) return;
    const Duration elapsed = now - stop_started_;
    if (elapsed >= CallStopTime(stop_time_)) {
      HandleLifecycleEvent(LifecycleEvent::kForced);
    } else if (elapsed >= std::chrono::duration_cast<Duration>(stop_time_ * kLeavingPhaseShare)) {
      HandleLifecycleEvent(LifecycleEvent::kKeepTimeEnded);
    }
    if (lifecycle_state_ == LifecycleState::kDraining) {
      caller_connections_.CloseIdle();
      if (calls_.empty()) HandleLifecycleEvent(LifecycleEvent::kDrained);
    }
    if (lifecycle_state_ == LifecycleState::kClosing &&
        (CloseConnections() || elapsed >= ConnectionStopTime(stop_time_))) {
      HandleLifecycleEvent(LifecycleEvent::kClosed);
    }
  }

  // Returns whether no connection is left. A call ends when its response is in the output buffer of
  // its connection; the connection is gone when the caller has closed it, or some time after its
  // output was sent.
  bool CloseConnections() {
    caller_connections_.CloseIdle();
    caller_listener_->AcceptAll();
    store_sync_.Server().EndWaits();
    bool all_closed = caller_connections_.Count() == 0;
    for (QueryServer* server : QueryServers())
      all_closed = server->CloseConnections() && all_closed;
    return all_closed;
  }

  std::array<QueryServer*, 4> QueryServers() {
    return {&directory_server_, &readiness_server_, &metrics_server_, &record_server_};
  }

  void UpdatePeers(Time now) {
    for (const HostRecord& peer : SelectPeersToPing(peers_, now)) {
      SendToPeer(peer.peer_address_, PeerMessageType::kPing, {});
    }
    state_.zone_hosts_ = {settings_.name_};
    for (const Peer* peer : ServingPeers(peers_, now)) {
      state_.zone_hosts_.push_back(peer->record_.name_);
    }
    state_.fleet_size_ = std::max(store_sync_.KnownHostCount(), peers_.peers_.size() + 1);
    if (zone_hosts_listed_at_ == Time{} && store_sync_.KnownHostCount() > 0) {
      zone_hosts_listed_at_ = now;
    }
    state_.knows_zone_hosts_ =
        zone_hosts_listed_at_ != Time{} &&
        (peers_.peers_.empty() || now - zone_hosts_listed_at_ >= kPeerDiscoveryTime);
  }

  void UpdateGauges(Time now) {
    state_.metrics_.SetGauge("calls", static_cast<double>(calls_.size()));
    state_.metrics_.SetGauge("caller_connections",
                             static_cast<double>(caller_connections_.Count()));
    state_.metrics_.SetGauge("held_bytes", static_cast<double>(memory_account_->HeldBytes()));
    state_.metrics_.SetGauge("connections_shed", static_cast<double>(memory_account_->ShedCount()));
    std::uint64_t replaced = caller_connections_.ReplacedCount();
    std::uint64_t pauses = caller_listener_ != nullptr ? caller_listener_->PauseCount() : 0;
    for (const QueryServer* server : QueryServers()) {
      replaced += server->connections_.ReplacedCount();
      if (server->listener_ != nullptr) pauses += server->listener_->PauseCount();
    }
    state_.metrics_.SetGauge("connections_replaced", static_cast<double>(replaced));
    state_.metrics_.SetGauge("accept_pauses", static_cast<double>(pauses));
    state_.metrics_.SetGauge("target_connections", static_cast<double>(state_.pool_.OpenCount()));
    state_.metrics_.SetGauge("targets", static_cast<double>(state_.targets_.size()));
    state_.metrics_.SetGauge("zone_hosts", static_cast<double>(state_.zone_hosts_.size()));
    state_.metrics_.SetGauge("fleet_hosts", static_cast<double>(state_.fleet_size_));
    state_.metrics_.SetGauge("reads_store", store_sync_.IsReader(now) ? 1 : 0);
    state_.metrics_.SetGauge("store_lost", store_sync_.IsStoreLost() ? 1 : 0);
    state_.metrics_.SetGauge(
        "store_age_seconds",
        std::chrono::duration<double>(now - store_sync_.ConfirmedAt()).count());
    if (state_.configuration_ != nullptr) {
      state_.metrics_.SetGauge("config_version",
                               static_cast<double>(state_.configuration_->configuration_.version_));
    }
  }

  // --- Peer messages.

  PeerMessage MakePeerMessage(PeerMessageType type, const TargetId& target) const {
    const Time now = Now();
    // A host that stops leaves its followers time to find another reader.
    const bool is_reader = stop_started_ == Time{} && store_sync_.IsReader(now);
    PeerMessage message = {type, peers_.self_, IsServing(), is_reader, target, {}};
    message.readers_ = SelectReadersToAnnounce(peers_, now);
    if (is_reader) {
      message.readers_.insert(message.readers_.begin(),
                              {self_.name_, self_.control_address_, self_.capacity_,
                               std::max(store_sync_.ContentAge(now), Duration{})});
    }
    return message;
  }

  void SendToPeer(const std::string& address, PeerMessageType type, const TargetId& target) {
    peer_socket_->Send(address, EncodePeerMessage(MakePeerMessage(type, target)));
  }

  void Broadcast(PeerMessageType type, const TargetId& target) {
    const std::string bytes = EncodePeerMessage(MakePeerMessage(type, target));
    std::size_t count = 0;
    for (const auto& [name, peer] : peers_.peers_) {
      if (type == PeerMessageType::kTargetFailed && ++count > kMaxFailureRecipients) break;
      peer_socket_->Send(peer.record_.peer_address_, bytes);
    }
  }

  void BroadcastTargetFailure(const TargetId& target) {
    Broadcast(PeerMessageType::kTargetFailed, target);
  }

  void OnDatagram(std::string_view bytes) {
    if (IsQuotaMessage(bytes)) return quota_control_.OnMessage(bytes, Now());
    if (IsRolloutMessage(bytes)) {
      if (state_.rollout_gate_ != nullptr) rollout_control_.OnMessage(bytes, Now());
      return;
    }
    const auto message = DecodePeerMessage(bytes);
    if (!message) {
      logging::LogEvent(logging::LogLevel::kWarning, "peer_message_malformed",
                        {{"bytes", std::to_string(bytes.size())}});
      return;
    }
    const Time now = Now();
    if (ApplyPeerMessage(peers_, *message, now)) {
      store_sync_.OnReaderAnnounced(FindReaders(peers_, now), now);
    }
    switch (message->type_) {
      case PeerMessageType::kPing:
        SendToPeer(message->sender_.peer_address_, PeerMessageType::kAck, {});
        break;
      case PeerMessageType::kTargetFailed: {
        const auto found = state_.targets_.find(message->target_);
        if (found != state_.targets_.end()) RecordFailure(found->second->health_, now);
        break;
      }
      case PeerMessageType::kAck:
      case PeerMessageType::kLeaving:
        break;
    }
  }

  // --- Queries.

  void RespondToDirectoryQuery(const http::ServerExchangePtr& exchange,
                               const http::Request& request) {
    state_.metrics_.CountDirectoryQuery();
    const auto query = state_.format_.ReadDirectoryQuery(request.head_);
    if (!query) {
      return exchange->Respond(404, {{"Content-Type", "text/plain"}}, "no such resource");
    }
    const std::vector<std::string> addresses = DirectoryAddresses(peers_, IsServing(), Now());
    if (addresses.empty()) {
      return exchange->Respond(503, {{"Content-Type", "text/plain"}}, "no entry host is ready");
    }
    exchange->Respond(
        200, {{"Content-Type", "application/json"}},
        state_.format_.FormatDirectoryResponse(
            addresses, std::min(kDirectoryTimeToLive, settings_.bounds_.max_directory_ttl_)));
  }

  void RespondToReadinessQuery(const http::ServerExchangePtr& exchange,
                               const http::Request& request) {
    if (!state_.format_.IsReadinessQuery(request.head_)) {
      return exchange->Respond(404, {{"Content-Type", "text/plain"}}, "no such resource");
    }
    exchange->Respond(IsServing() ? 200 : 503, {{"Content-Type", "text/plain"}},
                      NameOf(lifecycle::kLifecycleStateNames, lifecycle_state_));
  }

  // --- Requests of callers.

  void OnRequest(const http::ServerExchangePtr& exchange, http::Request request) override {
    const Time now = Now();
    // The timer may be late on a host that lacks processor time.
    if (lifecycle_state_ == LifecycleState::kLeaving) AdvanceStop(now);
    auto call = std::make_shared<Call>(state_, static_cast<ICallOwner&>(*this), exchange,
                                       std::move(request));
    calls_[call.get()] = call;
    calls_by_exchange_[exchange.get()] = call.get();
    call->Start(now);
    // A call that ended at once is not on the stack any more. One read may hold thousands of such
    // requests, so they are not kept until the next tick.
    if (!finished_calls_.empty() && finished_calls_.back() == call) finished_calls_.pop_back();
  }

  bool MayOverlap(const http::RequestHead& head) const override {
    if (state_.configuration_ == nullptr) return false;
    const std::string* host = http::FindHeader(head.headers_, "Host");
    const Route* route =
        FindRoute(state_.configuration_->configuration_, state_.configuration_->routes_,
                  host != nullptr ? *host : "", head.target_);
    return route != nullptr && IsIdempotent(route->kind_);
  }

  void OnCallerDisconnected(const http::ServerExchangePtr& exchange) override {
    const auto found = calls_by_exchange_.find(exchange.get());
    if (found == calls_by_exchange_.end()) return;
    const CallPtr call = calls_[found->second];
    calls_by_exchange_.erase(found);
    call->OnCallerDisconnected();
  }

  void OnResponseFlushed(const http::ServerExchangePtr& exchange) override {
    const auto found = calls_by_exchange_.find(exchange.get());
    if (found != calls_by_exchange_.end()) found->second->OnResponseFlushed();
  }

  void OnRejected(int status, std::string_view reason) override {
    state_.metrics_.CountRequest("", "failed", reason);
    Rejections& rejections = rejections_[std::string(reason)];
    ++rejections.count_;
    const Time now = Now();
    if (rejections.logged_at_ != Time{} && now - rejections.logged_at_ < kRejectionLogInterval) {
      return;
    }
    rejections.logged_at_ = now;
    logging::LogEvent(logging::LogLevel::kWarning, "request_rejected",
                      {{"status", std::to_string(status)},
                       {"reason", std::string(reason)},
                       {"total", std::to_string(rejections.count_)}});
  }

  void OnCallFinished(Call& call) override {
    const auto found = calls_.find(&call);
    if (found == calls_.end()) return;
    calls_by_exchange_.erase(call.Exchange());
    finished_calls_.push_back(std::move(found->second));
    calls_.erase(found);
  }

  void AdoptProbe(ProbePtr probe) override { detached_probes_.push_back(std::move(probe)); }

  void ExpireProbes(Time now) {
    std::erase_if(detached_probes_, [](const ProbePtr& probe) { return !probe->IsRunning(); });
    for (const ProbePtr& probe : detached_probes_) {
      if (now - probe->Started() > kProbeTimeout) probe->Expire(now);
    }
  }

  GatewaySettings settings_;
  GatewayState state_;
  std::shared_ptr<http::MemoryAccount> memory_account_;
  http::ServerConnections caller_connections_;
  std::unique_ptr<http::Listener> caller_listener_;
  QueryServer directory_server_;
  QueryServer readiness_server_;
  QueryServer metrics_server_;
  QueryServer record_server_;
  HostRecord self_;
  std::unique_ptr<PeerSocket> peer_socket_;
  ZonePeers peers_;
  StoreSync store_sync_;
  QuotaControl quota_control_;
  RolloutControl rollout_control_;
  eventloop::Timer tick_timer_;
  int tick_count_ = 0;
  Time zone_hosts_listed_at_{};
  lifecycle::LifecycleMachine machine_;
  LifecycleState lifecycle_state_ = LifecycleState::kStarting;
  Time stop_started_{};
  // Of the settings at the stop signal: a reload must not shorten a stop that has begun.
  Duration stop_time_{};
  std::map<Call*, CallPtr> calls_;
  std::map<http::ServerExchange*, Call*> calls_by_exchange_;
  std::vector<CallPtr> finished_calls_;
  std::vector<ProbePtr> detached_probes_;
  std::map<std::string, Rejections> rejections_;  // By reason.
};

}  // namespace

Result<std::unique_ptr<Gateway>> StartGateway(const GatewaySettings& settings,
                                              const ICallFormat& format,
                                              const IRecordFormat& record_format,
                                              IRecordStore& store, Incarnation incarnation,
                                              std::uint64_t seed) {
  auto gateway =
      std::make_unique<GatewayImpl>(settings, format, record_format, store, incarnation, seed);
  BOOST_LEAF_CHECK(gateway->Open());
  return std::unique_ptr<Gateway>(std::move(gateway));
}

}  // namespace monsoonshelf::gateway
