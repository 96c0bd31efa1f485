#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>

#include "eventloop/timer.h"
#include "gateway/internal/gateway_state.h"
#include "http/client_connection.h"

namespace monsoonshelf::gateway {

// Asks one target for its health and load, right before a request may be sent to it. The connection
// that answered carries the request, so that a dead idle connection is found before the request
// depends on it.
class Probe : public std::enable_shared_from_this<Probe>, private http::IExchangeHandler {
 public:
  using OnEnd = std::function<void(Probe&)>;

  Probe(GatewayState& state, TargetPtr target, OnEnd on_end);

  // Returns false if the target has no connection left for this host.
  bool Start(Time now);
  // Nobody waits for the outcome any more; what it says about the target is still learned.
  void Detach() { on_end_ = nullptr; }
  // Gives up an unanswered probe.
  void Expire(Time now);

  const TargetPtr& Target() const { return target_; }
  bool IsRunning() const { return running_; }
  bool IsAnswered() const { return answered_; }
  Time Started() const { return started_; }
  const std::optional<TargetLoad>& Load() const { return load_; }
  // The connection, if it can carry a request; the probe no longer owns it.
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

// Time after which an unanswered probe is given up and counts against the target.
inline constexpr Duration kProbeTimeout = std::chrono::milliseconds(600);

}  // namespace monsoonshelf::gateway
