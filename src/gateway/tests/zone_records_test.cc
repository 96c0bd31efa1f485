#include <cppunit/extensions/HelperMacros.h>

#include <map>
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

namespace monsoonshelf::gateway {

namespace {

using http::tests::Loop;
using std::chrono::milliseconds;
using tests::FakeFormat;
using tests::SharedStore;
using Access = SharedStore::Access;

// A change must be in effect this long after its acknowledgement.
constexpr Duration kMaxChangeDelay = std::chrono::seconds(2);

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

}  // namespace

// Tests how the entry hosts of one zone get changes of the records, on real sockets, with a store
// that serves each of them differently.
class ZoneRecordsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ZoneRecordsTest);
  CPPUNIT_TEST(ChangeIsInEffectInTimeIfTheStoreRejectsAllHostsButOne);
  CPPUNIT_TEST(ChangeIsInEffectInTimeIfTheLastOwnCallFailedLongAgo);
  CPPUNIT_TEST(ChangeIsInEffectInTimeIfTheReaderGetsNoResponses);
  CPPUNIT_TEST(ChangeIsInEffectInTimeIfTheFirstCallToTheStoreIsLost);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    loop_ = std::make_unique<Loop>();
    store_ = std::make_unique<SharedStore>();
  }
  void tearDown() override {
    hosts_.clear();
    store_.reset();
    loop_.reset();
  }

  // Guards against a chain of candidates that the store rejects one after the other: each of them
  // got its own time to reach the store, while the last host could have read it all the time.
  void ChangeIsInEffectInTimeIfTheStoreRejectsAllHostsButOne() {
    StartZone(10);
    for (std::size_t i = 0; i < 9; ++i) hosts_[i]->view_.SetAccess(Access::kReset);
    ExpectChangeInTime(*hosts_[9]);
  }

  // Guards against a host that waits for its next probe because its last call to the store failed,
  // although the store serves it again.
  void ChangeIsInEffectInTimeIfTheLastOwnCallFailedLongAgo() {
    StartZone(2);
    for (const auto& host : hosts_) host->view_.SetAccess(Access::kRefused);
    loop_->RunFor(milliseconds(4000));
    hosts_[0]->view_.SetAccess(Access::kServed);
    WaitForChange(*hosts_[1]);
    // The host follows its reader again and probes the store at long intervals.
    loop_->RunFor(milliseconds(1500));
    hosts_[1]->view_.SetAccess(Access::kServed);
    hosts_[0]->view_.SetAccess(Access::kSilent);
    ExpectChangeInTime(*hosts_[1]);
  }

  void ChangeIsInEffectInTimeIfTheReaderGetsNoResponses() {
    StartZone(3);
    hosts_[0]->view_.SetAccess(Access::kSilent);
    ExpectChangeInTime(*hosts_[1]);
    ExpectChangeInTime(*hosts_[2]);
  }

  // Guards against timeouts that add up: a reader without responses, and then a connection to the
  // store that is not established.
  void ChangeIsInEffectInTimeIfTheFirstCallToTheStoreIsLost() {
    StartZone(2);
    hosts_[0]->view_.SetAccess(Access::kSilent);
    hosts_[1]->view_.calls_to_lose_ = 1;
    ExpectChangeInTime(*hosts_[1]);
  }

 private:
  struct Host {
    GatewaySettings settings_;
    SharedStore::View& view_;
    std::unique_ptr<Gateway> gateway_;
    std::unique_ptr<http::HttpClient> client_;
  };

  // Starts hosts in the order of their rank as readers, and waits until all of them serve and know
  // their reader.
  void StartZone(int count) {
    PutVersion();
    for (int i = 0; i < count; ++i) {
      hosts_.push_back(std::make_unique<Host>(Host{{}, store_->AddView(), {}, {}}));
      Host& host = *hosts_.back();
      host.settings_.name_ = "host-" + std::to_string(i);
      host.settings_.zone_ = "z";
      host.settings_.is_bootstrap_ = true;
      host.settings_.capacity_ = 100 - i;
      StartHost(host);
    }
    for (const auto& host : hosts_) {
      CPPUNIT_ASSERT(loop_->RunUntil([&] { return HasVersion(*host); }));
    }
    // The hosts learn of each other, and all but the first one begin to follow it.
    loop_->RunFor(milliseconds(2000));
    WaitForChange(*hosts_.back());
  }

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
      auto started = Capture<std::unique_ptr<Gateway>>(
          [&] { return StartGateway(host.settings_, format_, record_format_, host.view_, 1, 42); });
      if (started.value_) host.gateway_ = std::move(*started.value_);
      const bool is_port_taken = started.error_.code_ == ResultCode::kListenFailed ||
                                 started.error_.code_ == ResultCode::kPeerSocket;
      CPPUNIT_ASSERT_MESSAGE(started.error_.message_,
                             host.gateway_ != nullptr || (is_port_taken && i < kMaxStarts));
    }
    host.client_ = std::make_unique<http::HttpClient>(*ParseAddress(host.settings_.front_address_),
                                                      http::StreamOptions{}, 8);
  }

  void PutVersion() {
    const std::string text = std::to_string(++version_);
    StoredRecord record = record_format_.ReadRecord(RecordKind::kConfiguration, text);
    store_->Put(RecordKind::kConfiguration, record);
    changed_at_ = Now();
  }

  // Returns whether the host serves the route of the current version, which has no targets.
  bool HasVersion(Host& host) {
    std::optional<std::string> body;
    host.client_->Call(FormatCall(), true, std::chrono::seconds(20),
                       [&body](const http::CallResult& result) {
                         body = std::to_string(result.status_) + " " + result.body_;
                       });
    CPPUNIT_ASSERT(loop_->RunUntil([&] { return body.has_value(); }));
    return *body == "503 no_target";
  }
  std::string FormatCall() {
    return "GET /v" + std::to_string(version_) +
           "/x HTTP/1.1\r\nHost: h\r\nId: " + std::to_string(++next_id_) + "\r\n\r\n";
  }

  void WaitForChange(Host& host) {
    PutVersion();
    CPPUNIT_ASSERT(loop_->RunUntil([&] { return HasVersion(host); }));
  }
  void ExpectChangeInTime(Host& host) {
    WaitForChange(host);
    const auto delay = std::chrono::duration_cast<milliseconds>(Now() - changed_at_);
    CPPUNIT_ASSERT_MESSAGE("in effect after " + std::to_string(delay.count()) + " ms",
                           delay <= kMaxChangeDelay);
  }

  std::unique_ptr<Loop> loop_;
  std::unique_ptr<SharedStore> store_;
  FakeFormat format_;
  VersionFormat record_format_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::int64_t version_ = 0;
  Time changed_at_{};
  int next_id_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZoneRecordsTest);

}  // namespace monsoonshelf::gateway
