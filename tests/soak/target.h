#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "eventloop/timer.h"
#include "http/listener.h"
#include "http/server_connection.h"
#include "tests/soak/store.h"
#include "tests/soak/tcp_proxy.h"

namespace monsoonshelf::soak {

// What all targets and callers of a run saw; the checks read it at the end.
struct Ledger {
  std::map<std::string, int> runs_;   // By identifier of the attempt.
  std::map<std::string, bool> sent_;  // Attempts of callers; true: must not run twice.
  std::vector<std::string> refused_;  // Attempts that were told "not run".
  std::vector<std::string> violations_;
  int answered_ = 0;
  int unknown_ = 0;
  int lost_ = 0;           // No answer: connection lost or no connection.
  int late_answered_ = 0;  // Answered after the faults had ended.
  int late_sent_ = 0;
};

enum class TargetMode { kSound, kHangs, kFails, kResets, kRefuses };

// One target on loopback, behind a proxy, registered in the store.
class Target : private http::IServerHandler {
 public:
  Target(std::string name, std::string zone, Store& store, Ledger& ledger, std::uint64_t seed);

  void Register(bool draining);
  void SetMode(TargetMode mode) { mode_ = mode; }
  TcpProxy& Proxy() { return *proxy_; }
  const std::string& Name() const { return name_; }
  const std::string& Zone() const { return zone_; }
  // Requests that arrive after this time break the promise; Time::max() if none do.
  void SetClosedFrom(Time time) { closed_from_ = time; }

 private:
  struct Work {
    http::ServerConnectionPtr connection_;
    std::string id_;
    std::string body_;
    Time end_{};
  };
  void OnRequest(const http::ServerConnectionPtr& connection, http::Request request) override;
  void OnCallerDisconnected(const http::ServerConnectionPtr& connection) override;
  void OnResponseFlushed(const http::ServerConnectionPtr& /*connection*/) override {}
  void OnRejected(int status, std::string_view reason) override;
  void OnTimer();

  std::string name_;
  std::string zone_;
  Store& store_;
  Ledger& ledger_;
  http::ServerConnections connections_;
  std::unique_ptr<http::Listener> listener_;
  std::unique_ptr<TcpProxy> proxy_;
  TargetMode mode_ = TargetMode::kSound;
  Time closed_from_ = Time::max();
  std::vector<Work> running_;
  std::mt19937_64 random_;
  std::int64_t born_;
  eventloop::Timer timer_;
};

}  // namespace monsoonshelf::soak
