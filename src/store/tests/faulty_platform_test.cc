#include <cppunit/extensions/HelperMacros.h>
#include <gio/gio.h>

#include <functional>
#include <optional>
#include <string>

#include "store/internal/platform_http.h"
#include "store/platform_client.h"

namespace monsoonshelf::store {

using coordination::PlatformOperation;
using coordination::PlatformReply;
using coordination::PlatformRequest;

// Tests the client with a server that violates HTTP or the platform API.
class FaultyPlatformTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FaultyPlatformTest);
  CPPUNIT_TEST(RejectsMalformedAndOversizeResponses);
  CPPUNIT_TEST(SendsEachWriteOnce);
  CPPUNIT_TEST(RefusedConnectionReportsUnreachable);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    context_ = g_main_context_new();
    g_main_context_push_thread_default(context_);
    service_ = g_socket_service_new();
    port_ = g_socket_listener_add_any_inet_port(G_SOCKET_LISTENER(service_), nullptr, nullptr);
    g_signal_connect(service_, "incoming", G_CALLBACK(&FaultyPlatformTest::OnIncoming), this);
    requests_ = 0;
    auto client = MakePlatformClient({"127.0.0.1:" + std::to_string(port_), 1000, 1000});
    CPPUNIT_ASSERT(client);
    client_ = std::move(*client);
  }

  void tearDown() override {
    client_.reset();
    CloseService();
    while (g_main_context_iteration(context_, FALSE) == TRUE) {
    }
    g_main_context_pop_thread_default(context_);
    g_main_context_unref(context_);
  }

  // Guards against the use of an incomplete response, and against a server that makes the client
  // buffer a response of unlimited size.
  void RejectsMalformedAndOversizeResponses() {
    const std::string object = R"({"kind":"zone","name":"z","version":5,"body":"{}"})";
    const std::string size = "HTTP/1.1 200 OK\r\nContent-Length: ";
    const auto length = std::to_string(object.size());
    CPPUNIT_ASSERT(Get(size + length + "\r\n\r\n" + object) == ResultCode::kOk);
    CPPUNIT_ASSERT(Get(size + length + "\r\n\r\n" + object.substr(1)) != ResultCode::kOk);
    CPPUNIT_ASSERT(Get(size + "99999999999\r\n\r\n{") == ResultCode::kPlatformInvalidAnswer);
    CPPUNIT_ASSERT(Get("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" +
                       std::string(detail::kMaxResponseBytes + 1, ' ')) ==
                   ResultCode::kPlatformInvalidAnswer);
    CPPUNIT_ASSERT(Get("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{}") ==
                   ResultCode::kPlatformInvalidAnswer);
    CPPUNIT_ASSERT(Get("HTTP/1.1 302 Found\r\nLocation: /hosts\r\nContent-Length: 0\r\n\r\n") ==
                   ResultCode::kPlatformInvalidAnswer);
    CPPUNIT_ASSERT(Get("no HTTP\r\n\r\n") == ResultCode::kPlatformUnreachable);
    CPPUNIT_ASSERT(Get("") == ResultCode::kPlatformUnreachable);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, client_->Counters().invalid_responses_);
  }

  // Guards against a write that is sent twice: the second copy would fail with a version conflict.
  void SendsEachWriteOnce() {
    // The connection of the read stays in the client's pool. The server closes it on the second
    // request.
    keep_open_ = true;
    CPPUNIT_ASSERT(Get("HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\n{}") ==
                   ResultCode::kPlatformNotFound);
    keep_open_ = false;
    response_ = "";
    CPPUNIT_ASSERT(Run(PlatformOperation::kPut) == ResultCode::kPlatformTimeout);
    CPPUNIT_ASSERT_EQUAL(2, requests_);
    response_ = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
    CPPUNIT_ASSERT(Run(PlatformOperation::kPut) == ResultCode::kPlatformTimeout);
  }

  // Guards against reading an object back after each write that was never sent, which would add
  // load in an outage.
  void RefusedConnectionReportsUnreachable() {
    CloseService();
    CPPUNIT_ASSERT(Run(PlatformOperation::kPut) == ResultCode::kPlatformUnreachable);
  }

 private:
  // An accepted connection, which reads requests and writes the response.
  struct Connection {
    FaultyPlatformTest* test_;
    std::shared_ptr<GSocketConnection> socket_;
    char request_[4096];

    GIOStream* Stream() const { return G_IO_STREAM(socket_.get()); }
  };

  static gboolean OnIncoming(GSocketService* /*service*/, GSocketConnection* socket,
                             GObject* /*source*/, gpointer data) {
    auto* self = static_cast<FaultyPlatformTest*>(data);
    g_object_ref(socket);
    auto* connection =
        new Connection{self, std::shared_ptr<GSocketConnection>(socket, &g_object_unref), {}};
    ReadRequest(connection);
    return TRUE;
  }

  static void ReadRequest(Connection* connection) {
    g_input_stream_read_async(g_io_stream_get_input_stream(connection->Stream()),
                              connection->request_, sizeof(connection->request_),
                              G_PRIORITY_DEFAULT, nullptr, &FaultyPlatformTest::OnRequest,
                              connection);
  }

  static void OnRequest(GObject* stream, GAsyncResult* result, gpointer data) {
    auto* connection = static_cast<Connection*>(data);
    if (g_input_stream_read_finish(G_INPUT_STREAM(stream), result, nullptr) <= 0) {
      delete connection;  // The client closed the connection.
      return;
    }
    connection->test_->requests_++;
    const auto& response = connection->test_->response_;
    g_output_stream_write_all_async(g_io_stream_get_output_stream(connection->Stream()),
                                    response.data(), response.size(), G_PRIORITY_DEFAULT, nullptr,
                                    &FaultyPlatformTest::OnWritten, connection);
  }

  static void OnWritten(GObject* stream, GAsyncResult* result, gpointer data) {
    auto* connection = static_cast<Connection*>(data);
    g_output_stream_write_all_finish(G_OUTPUT_STREAM(stream), result, nullptr, nullptr);
    if (connection->test_->keep_open_) return ReadRequest(connection);
    g_io_stream_close(connection->Stream(), nullptr, nullptr);
    delete connection;
  }

  ResultCode Get(const std::string& response) {
    response_ = response;
    return Run(PlatformOperation::kGet);
  }

  ResultCode Run(PlatformOperation operation) {
    PlatformRequest request;
    request.operation_ = operation;
    request.kinds_ = {"zone"};
    request.name_ = "z";
    request.timeout_ = std::chrono::seconds(20);
    std::optional<PlatformReply> reply;
    client_->Send(request, [&reply](const PlatformReply& received) { reply = received; });
    while (!reply) g_main_context_iteration(context_, TRUE);
    return reply->code_;
  }

  void CloseService() {
    if (service_ == nullptr) return;
    g_socket_service_stop(service_);
    g_socket_listener_close(G_SOCKET_LISTENER(service_));
    g_object_unref(service_);
    service_ = nullptr;
  }

  GMainContext* context_ = nullptr;
  GSocketService* service_ = nullptr;
  int port_ = 0;
  int requests_ = 0;
  bool keep_open_ = false;
  std::string response_;
  std::unique_ptr<IPlatformClient> client_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FaultyPlatformTest);

}  // namespace monsoonshelf::store
