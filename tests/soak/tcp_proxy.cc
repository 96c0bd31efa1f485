#include "tests/soak/tcp_proxy.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <deque>
#include <utility>

#include "base/clock.h"

namespace monsoonshelf::soak {

namespace {

constexpr Duration kForwardDelay = std::chrono::milliseconds(120);
constexpr Duration kForwardInterval = std::chrono::milliseconds(5);

}  // namespace

// One connection through the proxy.
class TcpProxy::ProxiedConnection {
 public:
  ProxiedConnection(TcpProxy& proxy, int descriptor)
      : proxy_(proxy), descriptor_(descriptor), client_(*this, true), server_(*this, false) {
    client_.stream_ = http::Stream::Adopt(descriptor, client_, {});
    server_.stream_ = http::Stream::Connect(proxy.server_, server_, {});
  }

  // Forwards the data whose delay has passed. Returns false if the connection has ended.
  bool Advance(Time now) {
    client_.Deliver(now);
    server_.Deliver(now);
    const bool ended = client_.ended_ || server_.ended_;
    if (!ended || proxy_.state_ == LinkState::kBlackhole) return true;
    // The remaining data of a closed side is delivered before the other side is closed.
    return !(client_.pending_.empty() && server_.pending_.empty());
  }

  void Reset() {
    const linger option = {1, 0};
    setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    client_.stream_.reset();
    server_.stream_.reset();
    client_.ended_ = true;
    client_.pending_.clear();
    server_.pending_.clear();
  }

 private:
  struct Side : http::IStreamHandler {
    Side(ProxiedConnection& connection, bool from_client)
        : connection_(connection), from_client_(from_client) {}
    void OnConnected() override {}
    void OnDataReceived() override {
      const LinkState state = connection_.proxy_.state_;
      std::string bytes = std::exchange(stream_->InputBuffer(), {});
      if (state == LinkState::kBlackhole || (state == LinkState::kDropToServer && from_client_))
        return;
      const Duration delay = state == LinkState::kDelayed ? kForwardDelay : Duration(0);
      pending_.emplace_back(Now() + delay, std::move(bytes));
      Deliver(Now());
    }
    void OnOutputFlushed() override {}
    void OnClosed(http::Failure /*failure*/) override { ended_ = true; }
    void Deliver(Time now) {
      Side& other = from_client_ ? connection_.server_ : connection_.client_;
      while (!pending_.empty() && pending_.front().first <= now) {
        if (other.stream_ != nullptr) other.stream_->Write(pending_.front().second);
        pending_.pop_front();
      }
    }
    ProxiedConnection& connection_;
    bool from_client_;
    std::unique_ptr<http::Stream> stream_;
    std::deque<std::pair<Time, std::string>> pending_;
    bool ended_ = false;
  };

  TcpProxy& proxy_;
  int descriptor_;
  Side client_;
  Side server_;
};

TcpProxy::TcpProxy(Address server)
    : server_(std::move(server)),
      timer_(g_main_context_get_thread_default(), [this] { ForwardDueData(); }) {
  auto listener = http::Listener::Open("127.0.0.1:0", [this](int descriptor) {
    connections_.push_back(std::make_shared<ProxiedConnection>(*this, descriptor));
  });
  listener_ = std::move(listener.value());
  timer_.Set(Now() + kForwardInterval);
}

TcpProxy::~TcpProxy() = default;

void TcpProxy::ResetConnections() {
  for (const auto& connection : connections_) connection->Reset();
}

void TcpProxy::ForwardDueData() {
  const Time now = Now();
  connections_.remove_if([now](const std::shared_ptr<ProxiedConnection>& connection) {
    return !connection->Advance(now);
  });
  timer_.Set(now + kForwardInterval);
}

}  // namespace monsoonshelf::soak
