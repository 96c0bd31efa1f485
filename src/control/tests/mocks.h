#pragma once

#include <string>
#include <utility>
#include <vector>

#include "peer/ipeer_transport.h"
#include "store/iplatform_client.h"

namespace monsoonshelf::control {

// Platform client that keeps requests until the test answers them.
class MockPlatformClient : public store::IPlatformClient {
 public:
  void Send(const coordination::PlatformRequest& request, Callback callback) override {
    requests_.emplace_back(request, std::move(callback));
  }
  void Close() override { requests_.clear(); }
  const store::ClientCounters& Counters() const override { return counters_; }

  // Answers the oldest request of an operation. Returns false if there is none.
  bool Answer(coordination::PlatformOperation operation, coordination::PlatformReply reply) {
    for (auto i = requests_.begin(); i != requests_.end(); ++i) {
      if (i->first.operation_ != operation) continue;
      const auto [request, callback] = std::move(*i);
      requests_.erase(i);
      reply.id_ = request.id_;
      reply.operation_ = operation;
      callback(reply);
      return true;
    }
    return false;
  }

  std::vector<std::pair<coordination::PlatformRequest, Callback>> requests_;
  store::ClientCounters counters_;
};

// Peer transport that records the messages that are sent.
class MockPeerTransport : public peer::IPeerTransport {
 public:
  Result<void> Start(Handler handler) override {
    handler_ = std::move(handler);
    return {};
  }
  void Send(const coordination::OutgoingPeerMessage& send) override { sends_.push_back(send); }
  void Stop() override {}
  std::string ListenAddress() const override { return "127.0.0.1:7000"; }
  void SetKeys(std::vector<peer::Key> /*keys*/) override {}
  const peer::PeerCounters& Counters() const override { return counters_; }

  Handler handler_;
  std::vector<coordination::OutgoingPeerMessage> sends_;
  peer::PeerCounters counters_;
};

}  // namespace monsoonshelf::control
