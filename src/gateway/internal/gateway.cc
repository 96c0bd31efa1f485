#include "gateway/gateway.h"

#include <algorithm>
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

// Interval of time limits, liveness of peers and pool maintenance.
constexpr Duration kTickInterval = std::chrono::milliseconds(250);
// Ticks between two updates of the gauges.
constexpr int kMetricsTicks = 8;
// A stop first lets callers learn of other hosts: most ask again after the time to live of a
// directory answer. Later requests are refused, since their work might not end in time.
constexpr double kLeavingShare = 0.45;  // Of the stop time.
// Left before the stop time ends, so that the process ends by itself also on a slow host.
constexpr Duration kStopMargin = std::chrono::milliseconds(900);
// Entry hosts that are told of a failed target.
constexpr std::size_t kFailureListeners = 16;
// Part of the memory limit that bodies of requests may take.
constexpr int kBodyMemoryShare = 4;

// Serves one kind of short query from memory: directory, readiness, metrics.
class QueryServer : public http::IServerHandler {
 public:
  using Answer = std::function<void(const http::ServerConnectionPtr&, const http::Request&)>;
  explicit QueryServer(Answer answer) : answer_(std::move(answer)), connections_(*this) {}

  Result<void> Listen(const std::string& address) {
    if (address.empty()) return {};
    BOOST_LEAF_ASSIGN(listener_, http::Listener::Open(address, [this](int descriptor) {
                        connections_.Accept(descriptor);
                      }));
    return {};
  }
  void OnRequest(const http::ServerConnectionPtr& connection, http::Request request) override {
    answer_(connection, request);
  }
  void OnCallerGone(const http::ServerConnectionPtr& connection) override {
    if (on_gone_ != nullptr) on_gone_(connection);
  }
  void OnDrained(const http::ServerConnectionPtr& /*connection*/) override {}
  void OnRejected(int /*status*/, std::string_view /*reason*/) override {}

  Answer answer_;
  std::function<void(const http::ServerConnectionPtr&)> on_gone_;
  http::ServerConnections connections_;
  std::unique_ptr<http::Listener> listener_;
};

class GatewayHost : public Gateway, private http::IServerHandler, private ICallOwner {
 public:
  GatewayHost(const GatewaySettings& settings, const ICallFormat& format,
              const IRecordFormat& record_format, IRecordStore& store, Incarnation incarnation,
              std::uint64_t seed)
      : settings_(settings),
        state_(settings_, format, seed),
        front_(*this),
        directory_([this](const auto& connection, const auto& request) {
          AnswerDirectory(connection, request);
        }),
        readiness_([this](const auto& connection, const auto& request) {
          AnswerReadiness(connection, request);
        }),
        metrics_([this](const auto& connection, const auto& /*request*/) {
          connection->Respond(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                              state_.metrics_.Format());
        }),
        records_([this](const auto& connection, const auto& request) {
          sync_.Server().OnRequest(connection, request);
        }),
        self_{settings_.name_,
              settings_.zone_,
              settings_.front_address_,
              settings_.peer_address_,
              settings_.control_address_,
              incarnation,
              settings_.capacity_},
        sync_(
            store, record_format, state_, self_, [this] { OnStateChanged(); },
            [this](const HostRecord& host) { AddOrUpdatePeer(peers_, host); }),
        tick_(g_main_context_get_thread_default(), [this] { OnTick(); }) {
    peers_.self_ = self_;
    state_.zone_hosts_ = {settings_.name_};
    state_.on_target_failed_ = [this](const TargetId& target) { TellFailure(target); };
    records_.on_gone_ = [this](const auto& connection) { sync_.Server().OnCallerGone(connection); };
    front_.SetMaxBufferedBytes(
        static_cast<std::size_t>(settings_.memory_bytes_ / kBodyMemoryShare));
  }

  Result<void> Open() {
    BOOST_LEAF_ASSIGN(machine_, lifecycle::LoadLifecycle());
    lifecycle_ = machine_.Initial();
    BOOST_LEAF_ASSIGN(front_listener_,
                      http::Listener::Open(settings_.front_address_,
                                           [this](int descriptor) { front_.Accept(descriptor); }));
    BOOST_LEAF_CHECK(directory_.Listen(settings_.directory_address_));
    BOOST_LEAF_CHECK(readiness_.Listen(settings_.readiness_address_));
    BOOST_LEAF_CHECK(metrics_.Listen(settings_.metrics_address_));
    BOOST_LEAF_CHECK(records_.Listen(settings_.control_address_));
    BOOST_LEAF_ASSIGN(peer_socket_,
                      PeerSocket::Open(settings_.peer_address_,
                                       [this](std::string_view bytes) { OnDatagram(bytes); }));
    sync_.Start();
    tick_.Set(Now() + kTickInterval);
    return {};
  }

  void Stop() override {
    Handle(lifecycle_ == LifecycleState::kStarting || lifecycle_ == LifecycleState::kServing
               ? LifecycleEvent::kStop
               : LifecycleEvent::kForced);
  }

  void Reload(const GatewaySettings& settings) override { settings_.bounds_ = settings.bounds_; }
  bool IsStopped() const override { return lifecycle_ == LifecycleState::kStopped; }

 private:
  bool IsServing() const { return lifecycle_ == LifecycleState::kServing; }

  void Handle(LifecycleEvent event) {
    const LifecycleState next = machine_.Next(lifecycle_, event);
    if (next == lifecycle_) return;
    logging::LogEvent(logging::LogLevel::kInfo, "lifecycle",
                      {{"from", std::string(NameOf(lifecycle::kLifecycleStateNames, lifecycle_))},
                       {"to", std::string(NameOf(lifecycle::kLifecycleStateNames, next))},
                       {"cause", std::string(NameOf(lifecycle::kLifecycleEventNames, event))},
                       {"calls", std::to_string(calls_.size())}});
    lifecycle_ = next;
    const Time now = Now();
    switch (next) {
      case LifecycleState::kStarting:
      case LifecycleState::kServing:
        break;
      case LifecycleState::kLeaving:
        stop_began_ = now;
        front_.SetClosing(true);
        Broadcast(PeerMessageType::kLeaving, {});
        break;
      case LifecycleState::kDraining:
        if (stop_began_ == Time{}) stop_began_ = now;
        state_.stopping_ = true;
        front_.SetClosing(true);
        front_.CloseIdle();
        CheckDrained();
        break;
      case LifecycleState::kStopped:
        if (AtTargets() > 0) {
          logging::LogEvent(
              logging::LogLevel::kError, "stop_cut_calls",
              {{"calls", std::to_string(AtTargets())},
               {"code", std::to_string(static_cast<int>(ResultCode::kStopCutCalls))}});
        }
        break;
    }
  }

  std::size_t AtTargets() const {
    return static_cast<std::size_t>(std::count_if(
        calls_.begin(), calls_.end(), [](const auto& item) { return item.second->IsAtTarget(); }));
  }

  void CheckDrained() {
    if (lifecycle_ == LifecycleState::kDraining && calls_.empty()) {
      Handle(LifecycleEvent::kDrained);
    }
  }

  void OnStateChanged() {
    if (state_.configuration_ != nullptr) {
      front_.SetLimits(state_.configuration_->configuration_.limits_);
      if (state_.has_targets_) Handle(LifecycleEvent::kConfigured);
    }
  }

  void OnTick() {
    const Time now = Now();
    retired_.clear();
    logging::FlushLog();
    ExpireProbes(now);
    front_.Check(now);
    directory_.connections_.Check(now);
    readiness_.connections_.Check(now);
    metrics_.connections_.Check(now);
    records_.connections_.Check(now);
    state_.pool_.Sweep(now);
    RemoveDueTargets(state_, now);
    UpdatePeers(now);
    sync_.OnTick(ReaderCandidates(now), now);
    if (++ticks_ % kMetricsTicks == 0) UpdateGauges(now);
    AdvanceStop(now);
    if (!IsStopped()) tick_.Set(now + kTickInterval);
  }

  void AdvanceStop(Time now) {
    if (stop_began_ == Time{}) return;
    const Duration elapsed = now - stop_began_;
    const Duration stop_time = settings_.bounds_.stop_time_;
    if (elapsed >= stop_time - kStopMargin) {
      Handle(LifecycleEvent::kForced);
    } else if (elapsed >= std::chrono::duration_cast<Duration>(stop_time * kLeavingShare)) {
      Handle(LifecycleEvent::kKeepTimeEnded);
      if (lifecycle_ == LifecycleState::kDraining) front_.CloseIdle();
    }
    CheckDrained();
  }

  void UpdatePeers(Time now) {
    for (const HostRecord& peer : SelectPeersToPing(peers_, now)) {
      SendTo(peer.peer_address_, PeerMessageType::kPing, {});
    }
    state_.zone_hosts_ = {settings_.name_};
    for (const Peer* peer : ServingPeers(peers_, now)) {
      state_.zone_hosts_.push_back(peer->record_.name_);
    }
    state_.fleet_size_ = std::max(sync_.KnownHostCount(), peers_.peers_.size() + 1);
  }

  std::vector<ReaderCandidate> ReaderCandidates(Time now) const {
    std::vector<ReaderCandidate> candidates;
    for (const auto& [name, peer] : peers_.peers_) {
      if (!IsAlive(peer, now) || !peer.serving_) continue;
      candidates.push_back(
          {name, peer.record_.control_address_, peer.reaches_store_, peer.record_.capacity_});
    }
    return candidates;
  }

  void UpdateGauges(Time now) {
    state_.metrics_.SetGauge("calls", static_cast<double>(calls_.size()));
    state_.metrics_.SetGauge("caller_connections", static_cast<double>(front_.Count()));
    state_.metrics_.SetGauge("target_connections", static_cast<double>(state_.pool_.OpenCount()));
    state_.metrics_.SetGauge("targets", static_cast<double>(state_.targets_.size()));
    state_.metrics_.SetGauge("zone_hosts", static_cast<double>(state_.zone_hosts_.size()));
    state_.metrics_.SetGauge("fleet_hosts", static_cast<double>(state_.fleet_size_));
    state_.metrics_.SetGauge("store_lost", sync_.IsStoreLost() ? 1 : 0);
    state_.metrics_.SetGauge("store_age_seconds",
                             std::chrono::duration<double>(now - sync_.ConfirmedAt()).count());
    if (state_.configuration_ != nullptr) {
      state_.metrics_.SetGauge("config_version",
                               static_cast<double>(state_.configuration_->configuration_.version_));
    }
  }

  // --- Peers.

  PeerMessage MessageOf(PeerMessageType type, const TargetId& target) const {
    return {type, peers_.self_, IsServing(), sync_.ReachesStore(), target};
  }

  void SendTo(const std::string& address, PeerMessageType type, const TargetId& target) {
    peer_socket_->Send(address, EncodePeerMessage(MessageOf(type, target)));
  }

  void Broadcast(PeerMessageType type, const TargetId& target) {
    const std::string bytes = EncodePeerMessage(MessageOf(type, target));
    std::size_t count = 0;
    for (const auto& [name, peer] : peers_.peers_) {
      if (type == PeerMessageType::kTargetFailed && ++count > kFailureListeners) break;
      peer_socket_->Send(peer.record_.peer_address_, bytes);
    }
  }

  void TellFailure(const TargetId& target) { Broadcast(PeerMessageType::kTargetFailed, target); }

  void OnDatagram(std::string_view bytes) {
    const auto message = DecodePeerMessage(bytes);
    if (!message) {
      logging::LogEvent(logging::LogLevel::kWarning, "peer_message_malformed",
                        {{"bytes", std::to_string(bytes.size())}});
      return;
    }
    const Time now = Now();
    ApplyPeerMessage(peers_, *message, now);
    switch (message->type_) {
      case PeerMessageType::kPing:
        SendTo(message->sender_.peer_address_, PeerMessageType::kAck, {});
        break;
      case PeerMessageType::kTargetFailed: {
        const auto found = state_.targets_.find(message->target_);
        if (found != state_.targets_.end()) CountFailure(found->second->health_, now);
        break;
      }
      case PeerMessageType::kAck:
      case PeerMessageType::kLeaving:
        break;
    }
  }

  // --- Queries.

  void AnswerDirectory(const http::ServerConnectionPtr& connection, const http::Request& request) {
    state_.metrics_.CountDirectoryQuery();
    const auto query = state_.format_.ReadDirectoryQuery(request.head_);
    if (!query) {
      return connection->Respond(404, {{"Content-Type", "text/plain"}}, "no such resource");
    }
    const std::vector<std::string> addresses = DirectoryAddresses(peers_, IsServing(), Now());
    if (addresses.empty()) {
      return connection->Respond(503, {{"Content-Type", "text/plain"}}, "no entry host is ready");
    }
    connection->Respond(
        200, {{"Content-Type", "application/json"}},
        state_.format_.WriteDirectory(
            addresses, std::min(kDirectoryTimeToLive, settings_.bounds_.max_directory_ttl_)));
  }

  void AnswerReadiness(const http::ServerConnectionPtr& connection, const http::Request& request) {
    if (!state_.format_.IsReadinessQuery(request.head_)) {
      return connection->Respond(404, {{"Content-Type", "text/plain"}}, "no such resource");
    }
    connection->Respond(IsServing() ? 200 : 503, {{"Content-Type", "text/plain"}},
                        NameOf(lifecycle::kLifecycleStateNames, lifecycle_));
  }

  // --- Requests of callers.

  void OnRequest(const http::ServerConnectionPtr& connection, http::Request request) override {
    auto call = std::make_shared<Call>(state_, static_cast<ICallOwner&>(*this), connection,
                                       std::move(request));
    calls_[call.get()] = call;
    by_connection_[connection.get()] = call.get();
    call->Start(Now());
  }

  void OnCallerGone(const http::ServerConnectionPtr& connection) override {
    const auto found = by_connection_.find(connection.get());
    if (found == by_connection_.end()) return;
    const CallPtr call = calls_[found->second];
    by_connection_.erase(found);
    call->OnCallerGone();
  }

  void OnDrained(const http::ServerConnectionPtr& connection) override {
    const auto found = by_connection_.find(connection.get());
    if (found != by_connection_.end()) found->second->OnDrained();
  }

  void OnRejected(int status, std::string_view reason) override {
    state_.metrics_.CountRequest("", "failed", reason);
    logging::LogEvent(logging::LogLevel::kWarning, "request_rejected",
                      {{"status", std::to_string(status)}, {"reason", std::string(reason)}});
  }

  void OnCallOver(Call& call) override {
    const auto found = calls_.find(&call);
    if (found == calls_.end()) return;
    by_connection_.erase(call.Connection());
    retired_.push_back(std::move(found->second));
    calls_.erase(found);
    CheckDrained();
  }

  void KeepProbe(ProbePtr probe) override { running_probes_.push_back(std::move(probe)); }

  void ExpireProbes(Time now) {
    std::erase_if(running_probes_, [](const ProbePtr& probe) { return !probe->IsRunning(); });
    for (const ProbePtr& probe : running_probes_) {
      if (now - probe->Started() > kProbeTimeout) probe->Expire(now);
    }
  }

  GatewaySettings settings_;
  GatewayState state_;
  http::ServerConnections front_;
  std::unique_ptr<http::Listener> front_listener_;
  QueryServer directory_;
  QueryServer readiness_;
  QueryServer metrics_;
  QueryServer records_;
  HostRecord self_;
  std::unique_ptr<PeerSocket> peer_socket_;
  ZonePeers peers_;
  StoreSync sync_;
  eventloop::Timer tick_;
  int ticks_ = 0;
  lifecycle::LifecycleMachine machine_;
  LifecycleState lifecycle_ = LifecycleState::kStarting;
  Time stop_began_{};
  std::map<Call*, CallPtr> calls_;
  std::map<http::ServerConnection*, Call*> by_connection_;
  std::vector<CallPtr> retired_;
  std::vector<ProbePtr> running_probes_;
};

}  // namespace

Result<std::unique_ptr<Gateway>> StartGateway(const GatewaySettings& settings,
                                              const ICallFormat& format,
                                              const IRecordFormat& record_format,
                                              IRecordStore& store, Incarnation incarnation,
                                              std::uint64_t seed) {
  auto host =
      std::make_unique<GatewayHost>(settings, format, record_format, store, incarnation, seed);
  BOOST_LEAF_CHECK(host->Open());
  return std::unique_ptr<Gateway>(std::move(host));
}

}  // namespace monsoonshelf::gateway
