#pragma once

#include <cppunit/TestAssert.h>

#include <string>
#include <vector>

#include "coordination/node.h"

namespace monsoonshelf::coordination {

// A node with the requests and events that it produced. Tests answer the requests explicitly.
struct NodeHarness {
  explicit NodeHarness(const std::string& name = "a") {
    NodeSettings settings;
    settings.name_ = name;
    settings.incarnation_ = 7;
    settings.zone_ = "z";
    settings.region_ = "r";
    settings.peer_address_ = "10.0.0.1:1";
    settings.call_address_ = "10.0.0.1:2";
    node_ = MakeNode(settings, now_);
    RecordOutput(OnStart(*node_, now_, random_));
  }

  void RecordOutput(const NodeOutput& output) {
    for (const auto& request : output.platform_requests_) requests_.push_back(request);
    for (const auto& message : output.peer_sends_) sent_.push_back(message);
    for (const auto& event : output.events_) events_.push_back(FormatKeyValues(event));
  }
  void RunFor(Duration duration) {
    for (const Time end = now_ + duration; now_ < end;) {
      now_ = std::min(end, std::max(NextTick(*node_, now_), now_ + std::chrono::milliseconds(1)));
      RecordOutput(OnTick(*node_, now_, random_));
    }
  }
  // Removes and returns the oldest unanswered request of an operation on a kind.
  PlatformRequest TakeRequest(PlatformOperation operation, const std::string& kind) {
    for (auto request = requests_.begin(); request != requests_.end(); ++request) {
      if (request->operation_ != operation || request->kinds_.empty()) continue;
      if (request->kinds_.front() != kind) continue;
      PlatformRequest found = *request;
      requests_.erase(request);
      return found;
    }
    CPPUNIT_FAIL("no unanswered request of this operation on the kind " + kind);
    return {};
  }
  void Answer(const PlatformRequest& request, ResultCode code, std::vector<PlatformObject> objects,
              Version version = 0) {
    PlatformReply reply;
    reply.id_ = request.id_;
    reply.operation_ = request.operation_;
    reply.code_ = code;
    reply.objects_ = std::move(objects);
    reply.version_ = version;
    RecordOutput(OnPlatformReply(*node_, reply, now_, random_));
  }
  // Answers a write with success. The written object gets the given version.
  void ConfirmWrite(const PlatformRequest& put, Version version) {
    Answer(put, ResultCode::kOk, {{put.kinds_.front(), put.name_, version, false, put.body_}});
  }
  void ReceiveMessage(const HostName& sender, const std::string& address, PeerBody body) {
    RecordOutput(OnPeerMessage(*node_, {sender, 1, address, std::move(body)}, now_, random_));
  }

  Time now_ = Time(std::chrono::hours(1));
  Random random_{1};
  NodePtr node_;
  std::vector<PlatformRequest> requests_;
  std::vector<std::string> events_;
  std::vector<OutgoingPeerMessage> sent_;
};

}  // namespace monsoonshelf::coordination
