#pragma once

#include <algorithm>
#include <memory>
#include <string>

#include "gateway/gateway.h"
#include "gateway/tests/mocks/fake_format.h"
#include "gateway/tests/mocks/mock_record_store.h"
#include "http/http_client.h"
#include "http/listener.h"
#include "http/tests/mocks/loop.h"

namespace monsoonshelf::gateway::tests {

// A gateway with a mock store and routes to one service "s", and a client of it.
// The routes are /safe/ (idempotent), /single/ (idempotent, sent to one target only), /once/
// (non-idempotent) and /brief/ (non-idempotent, with a timeout of 700 ms).
class GatewayHost {
 public:
  struct Response {
    bool done_ = false;
    int status_ = 0;
    std::string body_;
    http::Failure failure_ = http::Failure::kNone;
    http::Headers headers_;
  };

  GatewayHost() {
    settings_.name_ = "host";
    settings_.zone_ = "z";
    settings_.is_bootstrap_ = true;
    settings_.bounds_.extra_retries_per_window_ = 1000;
    Configuration configuration;
    configuration.version_ = 3;
    configuration.routes_ = {MakeRoute("/safe/", RequestKind::kSafe, 5000),
                             MakeRoute("/single/", RequestKind::kSafe, 5000),
                             MakeRoute("/once/", RequestKind::kNonIdempotent, 5000),
                             MakeRoute("/brief/", RequestKind::kNonIdempotent, 700)};
    configuration.routes_[1].max_attempts_ = 1;
    configuration.services_["s"].name_ = "s";
    configuration.services_["s"].health_path_ = "/health";
    store_.Put(RecordKind::kConfiguration, {"main", 0, configuration, {}, {}});
  }

  void AddTarget(const std::string& name, const std::string& address) {
    TargetRecord record;
    record.id_ = name;
    record.service_ = "s";
    record.zone_ = "z";
    record.address_ = address;
    record.slots_ = 2;
    store_.Put(RecordKind::kTarget, {name, 0, record, {}, {}});
  }

  // Returns whether the gateway serves. Another program may take a port before it listens.
  bool Start() {
    for (int i = 0; i < 5 && gateway_ == nullptr; ++i) {
      for (std::string* address :
           {&settings_.front_address_, &settings_.readiness_address_, &settings_.metrics_address_,
            &settings_.directory_address_, &settings_.control_address_, &settings_.peer_address_}) {
        *address =
            http::Listener::Open("127.0.0.1:0", [](int /*descriptor*/) {}).value()->LocalAddress();
      }
      auto started = StartGateway(settings_, format_, record_format_, store_, 1, 42);
      if (started) gateway_ = std::move(started.value());
    }
    if (gateway_ == nullptr) return false;
    client_ = std::make_unique<http::HttpClient>(*ParseAddress(settings_.front_address_),
                                                 http::StreamOptions{}, 8);
    return loop_.RunUntil(
        [this] { return Query(settings_.readiness_address_, "/ready").status_ == 200; });
  }

  static std::string FormatRequest(const std::string& path, const std::string& body = {},
                                   const std::string& id = "1") {
    return (body.empty() ? "GET " : "POST ") + path + " HTTP/1.1\r\nHost: h\r\nId: " + id +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  void Send(const std::string& path, const std::string& body, Response& response) {
    last_call_ = client_->Call(
        FormatRequest(path, body, std::to_string(++next_id_)), false, std::chrono::seconds(20),
        [&response](const http::CallResult& result) {
          response = {true, result.status_, result.body_, result.failure_, result.headers_};
        });
  }

  Response Call(const std::string& path, const std::string& body = {}) {
    Response response;
    Send(path, body, response);
    loop_.RunUntil([&response] { return response.done_; });
    return response;
  }

  Response Query(const std::string& address, const std::string& path) {
    http::HttpClient client(*ParseAddress(address), {}, 2);
    Response response;
    client.Call("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n", true, std::chrono::seconds(20),
                [&response](const http::CallResult& result) {
                  response = {true, result.status_, result.body_, result.failure_, result.headers_};
                });
    loop_.RunUntil([&response] { return response.done_; });
    return response;
  }

  // Returns whether the metrics contain a line with all of these texts and a value above 0.
  bool HasMetric(const std::string& name, const std::string& label) {
    const std::string metrics = Query(settings_.metrics_address_, "/metrics").body_;
    std::size_t begin = 0;
    while (begin < metrics.size()) {
      const std::size_t end = std::min(metrics.find('\n', begin), metrics.size());
      const std::string line = metrics.substr(begin, end - begin);
      if (line.starts_with("monsoonshelf_gateway_" + name) && line.find(label) != line.npos &&
          !line.ends_with(" 0")) {
        return true;
      }
      begin = end + 1;
    }
    return false;
  }

  // The mock store returns parsed records, so there is no text to read.
  struct NoRecordFormat : IRecordFormat {
    StoredRecord ReadRecord(RecordKind /*kind*/, const std::string& /*text*/) const override {
      return {};
    }
  };

  http::tests::Loop loop_;
  GatewaySettings settings_;
  FakeFormat format_;
  NoRecordFormat record_format_;
  MockRecordStore store_;
  std::unique_ptr<Gateway> gateway_;
  std::unique_ptr<http::HttpClient> client_;
  http::HttpClient::CallId last_call_ = 0;

 private:
  static Route MakeRoute(const std::string& prefix, RequestKind kind, int timeout_ms) {
    Route route;
    route.name_ = prefix;
    route.host_ = "h";
    route.path_prefix_ = prefix;
    route.kind_ = kind;
    route.services_ = {{"s", 1}};
    route.timeout_ = std::chrono::milliseconds(timeout_ms);
    route.latency_objective_ = std::chrono::milliseconds(300);
    route.max_attempts_ = 2;
    return route;
  }

  int next_id_ = 0;
};

}  // namespace monsoonshelf::gateway::tests
