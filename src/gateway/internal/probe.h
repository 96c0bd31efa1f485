#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>

#include "eventloop/timer.h"
#include "gateway/internal/gateway_state.h"
#include "http/client_connection.h"

namespace monsoonshelf::gateway {

// Queries one target for its health and load just before a request may be sent to it. The request
// then uses the same connection, so that a stale idle connection is detected before the request is
// sent.
class Probe : public std::enable_shared_from_this<Probe>, private http::IExchangeHandler {
 public:
  using OnEnd = std::function<void(Probe&)>;

  Probe(GatewayState& state, TargetPtr target, OnEnd on_end);

  // Returns false if this host has reached its connection limit for the target.
  bool Start(Time now);
  // Stops reporting the end of the probe. Its result still updates the state of the target.
  void Detach() { on_end_ = nullptr; }
  // Ends a running probe as timed out and closes its connection.
  void Expire(Time now);

  const TargetPtr& Target() const { return target_; }
  bool IsRunning() const { return running_; }
  bool IsAnswered() const { return answered_; }
  Time Started() const { return started_; }
  const std::optional<TargetLoad>& Load() const { return load_; }
  // Transfers ownership of the connection; returns nullptr if there is none.
  http::ClientConnectionPtr TakeConnection();
  // Returns an unused connection to the pool.
  void ReleaseConnection();

 private:
  bool OnHead(http::ResponseHead& head) override;
  void OnBody(std::string& body) override { body.clear(); }
  void OnDone() override;
  void OnFailed(http::Failure failure, bool sent) override;
  void End();

  GatewayState& state_;
  TargetPtr target_;
  OnEnd on_end_;
  http::ClientConnectionPtr connection_;
  Time started_{};
  bool running_ = false;
  bool answered_ = false;
  bool reused_connection_ = false;
  std::optional<TargetLoad> load_;
};

using ProbePtr = std::shared_ptr<Probe>;

// Time after which an unanswered probe ends and counts as a failure of the target.
inline constexpr Duration kProbeTimeout = std::chrono::milliseconds(600);

}  // namespace monsoonshelf::gateway
