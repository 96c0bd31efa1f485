#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway/gateway_types.h"
#include "http/listener.h"
#include "http/server_connection.h"

namespace monsoonshelf::gateway::tests {

// A target on a real socket that misbehaves as told, and counts what it ran.
class FakeTarget : public http::IServerHandler {
 public:
  enum class Behaviour {
    kAnswers,
    kHolds,        // Runs and answers only when told.
    kRefuses,      // Says that it didn't run the request.
    kFails,        // Runs and answers with an error.
    kLosesAnswer,  // Runs and closes the connection.
    kAnswersUnsigned,
    kAnswersEncoded,
    kIsAnother,  // Another target has its address.
  };

  FakeTarget(std::string name, std::string zone)
      : name_(std::move(name)), zone_(std::move(zone)), connections_(*this) {
    auto listener = http::Listener::Open(
        "127.0.0.1:0", [this](int descriptor) { connections_.Accept(descriptor); });
    listener_ = std::move(listener.value());
  }

  TargetRecord Record(const std::string& service) const {
    TargetRecord record;
    record.id_ = name_;
    record.service_ = service;
    record.zone_ = zone_;
    record.address_ = listener_->LocalAddress();
    record.slots_ = 2;
    return record;
  }

  void OnRequest(const http::ServerConnectionPtr& connection, http::Request request) override {
    if (request.head_.target_ == "/health") {
      ++probes_;
      if (silent_probes_) return;
      http::Headers headers = {{"Target", behaviour_ == Behaviour::kIsAnother ? "other" : name_},
                               {"Running", std::to_string(running_)}};
      if (cold_ms_ > 0) headers.emplace_back("Cold-Ms", std::to_string(cold_ms_));
      return connection->Respond(healthy_ ? 200 : 503, headers, {});
    }
    ++arrivals_;
    const std::string id = *http::FindHeader(request.head_.headers_, "Id");
    left_ms_ = std::stoi(*http::FindHeader(request.head_.headers_, "Left-Ms"));
    const http::Headers signed_headers = {{"Id", id}, {"Signed", "yes"}};
    if (behaviour_ == Behaviour::kRefuses) {
      return connection->Respond(503, {{"Id", id}, {"Not-Run", "1"}}, {});
    }
    ++runs_[id];
    switch (behaviour_) {
      case Behaviour::kHolds:
        held_[id] = connection;
        break;
      case Behaviour::kFails:
        connection->Respond(500, signed_headers, "error");
        break;
      case Behaviour::kLosesAnswer:
        connection->Abort();
        break;
      case Behaviour::kAnswersUnsigned:
        connection->Respond(200, {{"Id", id}}, "unsigned");
        break;
      case Behaviour::kAnswersEncoded:
        connection->Respond(200, {{"Id", id}, {"Signed", "yes"}, {"Content-Encoding", "gzip"}},
                            "encoded");
        break;
      default:
        connection->Respond(200, signed_headers, name_ + request.head_.target_ + request.body_);
    }
  }
  void OnCallerGone(const http::ServerConnectionPtr& /*connection*/) override { ++cancelled_; }
  void OnDrained(const http::ServerConnectionPtr& /*connection*/) override {}
  void OnRejected(int /*status*/, std::string_view /*reason*/) override {}

  void AnswerHeld(const std::string& id) {
    held_.at(id)->Respond(200, {{"Id", id}, {"Signed", "yes"}}, "held");
    held_.erase(id);
  }
  int Runs() const {
    int total = 0;
    for (const auto& [id, count] : runs_) total += count;
    return total;
  }

  std::string name_;
  std::string zone_;
  http::ServerConnections connections_;
  std::unique_ptr<http::Listener> listener_;
  Behaviour behaviour_ = Behaviour::kAnswers;
  bool healthy_ = true;
  bool silent_probes_ = false;
  int running_ = 0;
  int cold_ms_ = 0;
  int probes_ = 0;
  int arrivals_ = 0;
  int cancelled_ = 0;
  int left_ms_ = 0;
  std::map<std::string, int> runs_;
  std::map<std::string, http::ServerConnectionPtr> held_;
};

}  // namespace monsoonshelf::gateway::tests
