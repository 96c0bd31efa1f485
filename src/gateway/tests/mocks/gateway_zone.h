#pragma once

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/result.h"
#include "gateway/gateway.h"
#include "gateway/tests/mocks/fake_format.h"
#include "gateway/tests/mocks/shared_store.h"
#include "http/http_client.h"
#include "http/listener.h"
#include "http/tests/mocks/loop.h"

namespace monsoonshelf::gateway::tests {

// The text of a configuration is its version; each version has a route of its own.
struct VersionFormat : IRecordFormat {
  StoredRecord ReadRecord(RecordKind kind, const std::string& text) const override {
    StoredRecord record = {"main", 0, {}, {}, text};
    if (kind == RecordKind::kConfiguration) {
      Configuration configuration;
      configuration.version_ = std::stoll(text);
      Route route;
      route.name_ = "r";
      route.host_ = "h";
      route.path_prefix_ = "/v" + text + "/";
      route.services_ = {{"s", 1}};
      configuration.routes_ = {route};
      configuration.services_["s"].name_ = "s";
      record.value_ = configuration;
    }
    return record;
  }
};

// The entry hosts of one availability zone on real sockets, with a store that serves each of them
// differently.
class GatewayZone {
 public:
  struct Host {
    GatewaySettings settings_;
    SharedStore::View& view_;
    std::unique_ptr<Gateway> gateway_;
    std::unique_ptr<http::HttpClient> client_;
    Incarnation incarnation_ = 1;
  };

  // Ends a process without notice.
  static void Kill(Host& host) {
    host.gateway_.reset();
    host.view_.DropPendingCalls();
  }

  void Restart(Host& host) {
    Kill(host);
    ++host.incarnation_;
    OpenGateway(host);
    CPPUNIT_ASSERT(host.gateway_ != nullptr);
  }

  // Starts one host for each capacity, and waits until all of them serve and know their reader.
  // They are in one zone unless `zones` has the zone of each.
  void Start(const std::vector<int>& capacities, const std::vector<std::string>& zones = {}) {
    PutVersion();
    for (std::size_t i = 0; i < capacities.size(); ++i) {
      hosts_.push_back(std::make_unique<Host>(Host{{}, store_.AddView(), {}, {}}));
      Host& host = *hosts_.back();
      host.settings_.name_ = "host-" + std::to_string(i);
      host.settings_.zone_ = zones.empty() ? "z" : zones[i];
      host.settings_.is_bootstrap_ = true;
      host.settings_.capacity_ = capacities[i];
      StartHost(host);
    }
    for (const auto& host : hosts_) {
      CPPUNIT_ASSERT(loop_.RunUntil([&] { return HasVersion(*host); }));
    }
    // The hosts learn of each other, and all but the reader begin to follow it.
    loop_.RunFor(std::chrono::milliseconds(2000));
    WaitForChange(*hosts_.back());
  }

  void PutVersion() {
    const std::string text = std::to_string(++version_);
    StoredRecord record = record_format_.ReadRecord(RecordKind::kConfiguration, text);
    store_.Put(RecordKind::kConfiguration, record);
    changed_at_ = Now();
  }

  // Returns whether the host serves the route of the current version, which has no targets.
  bool HasVersion(Host& host) {
    std::optional<std::string> body;
    host.client_->Call(FormatCall(), true, std::chrono::seconds(20),
                       [&body](const http::CallResult& result) {
                         body = std::to_string(result.status_) + " " + result.body_;
                       });
    CPPUNIT_ASSERT(loop_.RunUntil([&] { return body.has_value(); }));
    return *body == "503 no_target";
  }

  void WaitForChange(Host& host) {
    PutVersion();
    CPPUNIT_ASSERT(loop_.RunUntil([&] { return HasVersion(host); }));
  }

  http::tests::Loop loop_;
  SharedStore store_;
  std::vector<std::unique_ptr<Host>> hosts_;
  Time changed_at_{};  // Of the current version.

 private:
  // Another program can take a port between the choice of the ports and the start.
  void StartHost(Host& host) {
    constexpr int kMaxStarts = 5;
    for (int i = 1; host.gateway_ == nullptr; ++i) {
      for (std::string* address :
           {&host.settings_.front_address_, &host.settings_.readiness_address_,
            &host.settings_.directory_address_, &host.settings_.control_address_,
            &host.settings_.peer_address_}) {
        *address =
            http::Listener::Open("127.0.0.1:0", [](int /*descriptor*/) {}).value()->LocalAddress();
      }
      const auto started = OpenGateway(host);
      const bool is_port_taken = started.error_.code_ == ResultCode::kListenFailed ||
                                 started.error_.code_ == ResultCode::kPeerSocket;
      CPPUNIT_ASSERT_MESSAGE(started.error_.message_,
                             host.gateway_ != nullptr || (is_port_taken && i < kMaxStarts));
    }
    host.client_ = std::make_unique<http::HttpClient>(*ParseAddress(host.settings_.front_address_),
                                                      http::StreamOptions{}, 8);
  }

  ValueOrError<std::unique_ptr<Gateway>> OpenGateway(Host& host) {
    auto started = Capture<std::unique_ptr<Gateway>>([&] {
      return StartGateway(host.settings_, format_, record_format_, host.view_, host.incarnation_,
                          42);
    });
    if (started.value_) host.gateway_ = std::move(*started.value_);
    return started;
  }

  std::string FormatCall() {
    return "GET /v" + std::to_string(version_) +
           "/x HTTP/1.1\r\nHost: h\r\nId: " + std::to_string(++next_id_) + "\r\n\r\n";
  }

  FakeFormat format_;
  VersionFormat record_format_;
  std::int64_t version_ = 0;
  int next_id_ = 0;
};

}  // namespace monsoonshelf::gateway::tests
