#include "gateway/internal/query_server.h"

#include <algorithm>
#include <utility>

namespace monsoonshelf::gateway {

namespace {

// Descriptors that the platform reserves for files.
constexpr int kFileDescriptors = 200;
// The other descriptors divided by these numbers are the maximum number of connections to the
// caller port, and to each of the four other ports. A quarter is left for targets, the store and
// other hosts.
constexpr int kCallerDescriptorShare = 2;
constexpr int kQueryDescriptorShare = 16;
// Minimum of these numbers.
constexpr int kMinConnections = 8;
// Maximum size of the body of a query; none has a body.
constexpr std::uint64_t kMaxQueryBodyBytes = std::uint64_t{64} * 1024;
// Returns 0 if the number of descriptors is unknown.
std::size_t MaxConnections(const GatewaySettings& settings, int share) {
  if (settings.max_descriptors_ == 0) return 0;
  const int count = (settings.max_descriptors_ - kFileDescriptors) / share;
  return static_cast<std::size_t>(std::max(count, kMinConnections));
}

}  // namespace

std::size_t MaxCallerConnections(const GatewaySettings& settings) {
  return MaxConnections(settings, kCallerDescriptorShare);
}

http::ServerLimits WithSettings(http::ServerLimits limits, const GatewaySettings& settings) {
  limits.body_timeout_ = settings.body_timeout_;
  limits.response_timeout_ = settings.response_timeout_;
  limits.max_fields_ = settings.max_fields_;
  return limits;
}

QueryServer::QueryServer(const GatewaySettings& settings,
                         std::shared_ptr<http::MemoryAccount> account, Handler handler)
    : handler_(std::move(handler)), connections_(*this, std::move(account)) {
  http::ServerLimits limits = WithSettings({}, settings);
  limits.max_body_bytes_ = kMaxQueryBodyBytes;
  connections_.SetLimits(limits);
  connections_.SetMaxConnections(MaxConnections(settings, kQueryDescriptorShare));
}

Result<void> QueryServer::Listen(const std::string& address) {
  if (address.empty()) return {};
  BOOST_LEAF_ASSIGN(listener_, http::Listener::Open(address, [this](int descriptor) {
                      connections_.Accept(descriptor);
                    }));
  listener_->SetMayAccept([this] { return connections_.MakeRoom(); });
  return {};
}

void QueryServer::OnRequest(const http::ServerExchangePtr& exchange, http::Request request) {
  handler_(exchange, request);
}

void QueryServer::OnCallerDisconnected(const http::ServerExchangePtr& exchange) {
  if (on_caller_gone_ != nullptr) on_caller_gone_(exchange);
}

bool QueryServer::CloseConnections() {
  connections_.SetCloseAfterResponse(true);
  connections_.CloseIdle();
  if (listener_ != nullptr) listener_->AcceptAll();
  return connections_.Count() == 0;
}

}  // namespace monsoonshelf::gateway
