#include "tests/soak/tcp_proxy.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <deque>
#include <utility>

#include "base/clock.h"

namespace monsoonshelf::soak {

namespace {

constexpr Duration kDelay = std::chrono::milliseconds(120);
constexpr Duration kSweepInterval = std::chrono::milliseconds(5);

}  // namespace

// One connection through the proxy.
class TcpProxy::Link {
 public:
  Link(TcpProxy& proxy, int descriptor)
      : proxy_(proxy), descriptor_(descriptor), client_(*this, true), server_(*this, false) {
    client_.stream_ = http::Stream::Adopt(descriptor, client_, {});
    server_.stream_ = http::Stream::Connect(proxy.server_, server_, {});
  }

  // Passes on what is due. Returns false if the link is over.
  bool Advance(Time now) {
    client_.Deliver(now);
    server_.Deliver(now);
    const bool over = client_.ended_ || server_.ended_;
    if (!over || proxy_.state_ == LinkState::kSilent) return true;
    // The rest of an ended side is delivered before the other side ends.
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
    Side(Link& link, bool from_client) : link_(link), from_client_(from_client) {}
    void OnConnected() override {}
    void OnDataReceived() override {
      const LinkState state = link_.proxy_.state_;
      std::string bytes = std::exchange(stream_->InputBuffer(), {});
      if (state == LinkState::kSilent || (state == LinkState::kOneWay && from_client_)) return;
      const Duration delay = state == LinkState::kDelayed ? kDelay : Duration(0);
      pending_.emplace_back(Now() + delay, std::move(bytes));
      Deliver(Now());
    }
    void OnOutputFlushed() override {}
    void OnClosed(http::Failure /*failure*/) override { ended_ = true; }
    void Deliver(Time now) {
      Side& other = from_client_ ? link_.server_ : link_.client_;
      while (!pending_.empty() && pending_.front().first <= now) {
        if (other.stream_ != nullptr) other.stream_->Write(pending_.front().second);
        pending_.pop_front();
      }
    }
    Link& link_;
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
    : server_(std::move(server)), timer_(g_main_context_get_thread_default(), [this] { Sweep(); }) {
  auto listener = http::Listener::Open("127.0.0.1:0", [this](int descriptor) {
    links_.push_back(std::make_shared<Link>(*this, descriptor));
  });
  listener_ = std::move(listener.value());
  timer_.Set(Now() + kSweepInterval);
}

TcpProxy::~TcpProxy() = default;

void TcpProxy::Reset() {
  for (const auto& link : links_) link->Reset();
}

void TcpProxy::Sweep() {
  const Time now = Now();
  links_.remove_if([now](const std::shared_ptr<Link>& link) { return !link->Advance(now); });
  timer_.Set(now + kSweepInterval);
}

}  // namespace monsoonshelf::soak
