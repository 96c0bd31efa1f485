#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/result.h"
#include "gateway/gateway_types.h"
#include "http/listener.h"
#include "http/memory_account.h"
#include "http/server_connection.h"

namespace monsoonshelf::gateway {

// Returns the maximum number of connections to the caller port; 0 if the number of descriptors of
// the process is unknown.
std::size_t MaxCallerConnections(const GatewaySettings& settings);
// Returns the limits with those that the settings hold.
http::ServerLimits WithSettings(http::ServerLimits limits, const GatewaySettings& settings);

// HTTP server for one kind of short query: directory, readiness, metrics or records.
class QueryServer : public http::IServerHandler {
 public:
  using Handler = std::function<void(const http::ServerExchangePtr&, const http::Request&)>;
  QueryServer(const GatewaySettings& settings, std::shared_ptr<http::MemoryAccount> account,
              Handler handler);

  // Does nothing if the address is empty.
  Result<void> Listen(const std::string& address);
  void OnRequest(const http::ServerExchangePtr& exchange, http::Request request) override;
  void OnCallerDisconnected(const http::ServerExchangePtr& exchange) override;
  void OnResponseFlushed(const http::ServerExchangePtr& /*exchange*/) override {}
  void OnRejected(int /*status*/, std::string_view /*reason*/) override {}

  // Closes every connection after its next response, and those that are idle at once. Returns
  // whether none is left.
  bool CloseConnections();

  Handler handler_;
  std::function<void(const http::ServerExchangePtr&)> on_caller_gone_;
  http::ServerConnections connections_;
  std::unique_ptr<http::Listener> listener_;
};

}  // namespace monsoonshelf::gateway
