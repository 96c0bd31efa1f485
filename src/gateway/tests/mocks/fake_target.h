#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway/gateway_types.h"
#include "http/listener.h"
#include "http/server_connection.h"

namespace monsoonshelf::gateway::tests {

// A target on a real socket with configurable faults. Counts probes, requests and executions.
class FakeTarget : public http::IServerHandler {
 public:
  enum class Behaviour {
    kResponds,
    kHoldsRequest,     // Executes the request; responds in RespondToHeld().
    kRejects,          // Reports that it did not execute the request.
    kReturnsError,     // Executes the request and responds with an error.
    kDropsConnection,  // Executes the request and closes the connection.
    kRespondsUnsigned,
    kRespondsEncoded,
    kMisdirected,  // Probes report the id of another target.
  };

  FakeTarget(std::string name, std::string zone)
      : name_(std::move(name)), zone_(std::move(zone)), connections_(*this) {
    auto listener = http::Listener::Open(
        "127.0.0.1:0", [this](int descriptor) { connections_.Accept(descriptor); });
    listener_ = std::move(listener.value());
  }

  TargetRecord MakeRecord(const std::string& service) const {
    TargetRecord record;
    record.id_ = name_;
    record.service_ = service;
    record.zone_ = zone_;
    record.address_ = listener_->LocalAddress();
    record.slots_ = 2;
    return record;
  }

  void OnRequest(const http::ServerExchangePtr& exchange, http::Request request) override {
    if (request.head_.target_ == "/health") {
      ++probes_received_;
      if (ignores_probes_) return;
      http::Headers headers = {{"Target", behaviour_ == Behaviour::kMisdirected ? "other" : name_},
                               {"Running", std::to_string(reported_running_)}};
      headers.insert(headers.end(), probe_headers_.begin(), probe_headers_.end());
      if (cold_time_ms_ > 0) headers.emplace_back("Cold-Ms", std::to_string(cold_time_ms_));
      return exchange->Respond(healthy_ ? 200 : 503, headers, {});
    }
    ++requests_received_;
    last_headers_ = request.head_.headers_;
    if (on_request_ != nullptr) on_request_();
    const std::string id = *http::FindHeader(request.head_.headers_, "Id");
    last_time_left_ms_ = std::stoi(*http::FindHeader(request.head_.headers_, "Left-Ms"));
    http::Headers signed_headers = {{"Id", id}, {"Signed", "yes"}};
    signed_headers.insert(signed_headers.end(), response_headers_.begin(), response_headers_.end());
    if (behaviour_ == Behaviour::kRejects) {
      http::Headers headers = {{"Id", id}, {"Not-Run", "1"}};
      headers.insert(headers.end(), response_headers_.begin(), response_headers_.end());
      return exchange->Respond(503, headers, {});
    }
    ++executions_[id];
    switch (behaviour_) {
      case Behaviour::kHoldsRequest:
        held_[id] = exchange;
        break;
      case Behaviour::kReturnsError:
        exchange->Respond(500, signed_headers, "error");
        break;
      case Behaviour::kDropsConnection:
        exchange->CloseConnection();
        break;
      case Behaviour::kRespondsUnsigned:
        exchange->Respond(200, {{"Id", id}}, "unsigned");
        break;
      case Behaviour::kRespondsEncoded:
        exchange->Respond(200, {{"Id", id}, {"Signed", "yes"}, {"Content-Encoding", "gzip"}},
                          "encoded");
        break;
      default:
        exchange->Respond(200, signed_headers, name_ + request.head_.target_ + request.body_);
    }
  }
  void OnCallerDisconnected(const http::ServerExchangePtr& /*exchange*/) override {
    ++cancellations_;
  }
  void OnResponseFlushed(const http::ServerExchangePtr& /*exchange*/) override {}
  void OnRejected(int /*status*/, std::string_view /*reason*/) override {}

  void RespondToHeld(const std::string& id, const std::string& body = "held") {
    http::Headers headers = {{"Id", id}, {"Signed", "yes"}};
    headers.insert(headers.end(), response_headers_.begin(), response_headers_.end());
    held_.at(id)->Respond(200, headers, body);
    held_.erase(id);
  }
  int Executions() const {
    int total = 0;
    for (const auto& [id, count] : executions_) total += count;
    return total;
  }

  std::string name_;
  std::string zone_;
  http::ServerConnections connections_;
  std::unique_ptr<http::Listener> listener_;
  Behaviour behaviour_ = Behaviour::kResponds;
  bool healthy_ = true;
  bool ignores_probes_ = false;
  http::Headers response_headers_;  // Added to the responses to requests.
  http::Headers probe_headers_;     // Added to the responses to probes.
  http::Headers last_headers_;      // Of the last request.
  std::function<void()> on_request_;
  int reported_running_ = 0;
  int cold_time_ms_ = 0;
  int probes_received_ = 0;
  int requests_received_ = 0;
  int cancellations_ = 0;
  int last_time_left_ms_ = 0;
  std::map<std::string, int> executions_;
  std::map<std::string, http::ServerExchangePtr> held_;
};

}  // namespace monsoonshelf::gateway::tests
