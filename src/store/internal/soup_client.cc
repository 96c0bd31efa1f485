#include "store/internal/soup_client.h"

#include <string>
#include <utility>

#include "base/clock.h"

namespace monsoonshelf::store::detail {

namespace {

using coordination::PlatformOperation;
using coordination::PlatformReply;
using coordination::PlatformRequest;

// The platform responds to a watch without changes only when the watch time ends. The response then
// needs time to arrive.
constexpr Duration kWatchGrace = std::chrono::seconds(1);
constexpr Duration kMinTimeout = std::chrono::milliseconds(1);
constexpr gsize kChunkBytes = 65536;
// The watch and requests for session renewals, status and assignments can be in flight
// concurrently.
constexpr int kMaxConnections = 16;
// Estimated size of the request or status line and headers that libsoup writes, for the byte
// counters.
constexpr std::size_t kHeaderBytes = 180;

}  // namespace

// State of one call. The client and the libsoup callbacks share its ownership, because a callback
// can run after a timeout or after Close.
struct SoupClient::Call {
  SoupClient* client_ = nullptr;  // Null after the result was reported or the client was closed.
  PlatformRequest request_;
  Callback callback_;
  bool is_write_ = false;
  bool sending_started_ = false;  // libsoup has started to send the request.
  int status_ = 0;
  ResultCode rejection_code_ = ResultCode::kOk;
  GObjectPtr<SoupMessage> message_;
  GObjectPtr<GInputStream> stream_;
  GObjectPtr<GCancellable> cancellable_;
  GSource* timer_ = nullptr;
  std::string body_;

  Call() = default;
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;
  ~Call() {
    if (message_) g_signal_handlers_disconnect_by_data(message_.get(), this);
  }

  void StopTimer() {
    if (timer_ == nullptr) return;
    g_source_destroy(timer_);
    g_source_unref(timer_);
    timer_ = nullptr;
  }
};

SoupClient::SoupClient(ClientSettings settings)
    : settings_(std::move(settings)),
      token_bucket_{settings_.calls_per_second_, settings_.call_burst_, settings_.call_burst_,
                    Now()},
      context_(g_main_context_ref_thread_default()),
      // The timeout of the session is off because each call has its own timer.
      session_(soup_session_new_with_options("max-conns", kMaxConnections, "max-conns-per-host",
                                             kMaxConnections, "timeout", 0, "idle-timeout", 60,
                                             nullptr)) {
  // Ignores proxy settings of the environment: the platform is always reached by its IP address.
  soup_session_set_proxy_resolver(session_.get(), nullptr);
}

SoupClient::~SoupClient() {
  Close();
  session_.reset();
  g_main_context_unref(context_);
}

void SoupClient::Close() {
  auto calls = std::exchange(calls_, {});
  for (const auto& call : calls) {
    call->client_ = nullptr;
    call->callback_ = nullptr;
    call->StopTimer();
    if (call->cancellable_) g_cancellable_cancel(call->cancellable_.get());
  }
}

void SoupClient::Send(const PlatformRequest& request, Callback callback) {
  auto call = std::make_shared<Call>();
  call->client_ = this;
  call->request_ = request;
  call->callback_ = std::move(callback);
  calls_.push_back(call);
  const auto http = MakeHttpRequest(request);
  if (!http) return Reject(call, ResultCode::kUsage);
  if (request.body_.size() > kMaxObjectBytes) return Reject(call, ResultCode::kRecordTooLarge);
  if (!TakeToken(token_bucket_, Now())) {
    counters_.refused_by_budget_++;
    return Reject(call, ResultCode::kPlatformBudgetSpent);
  }
  SendHttpRequest(call, *http);
}

// Reports the rejection from a timer because the callback must not run within Send.
void SoupClient::Reject(const CallPtr& call, ResultCode code) {
  call->rejection_code_ = code;
  StartTimer(call, Duration(0), &SoupClient::OnRejected);
}

void SoupClient::StartTimer(const CallPtr& call, Duration delay, GSourceFunc function) {
  const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(delay).count();
  call->timer_ = g_timeout_source_new(static_cast<guint>(milliseconds));
  g_source_set_callback(call->timer_, function, new CallPtr(call),
                        [](gpointer data) { delete static_cast<CallPtr*>(data); });
  g_source_attach(call->timer_, context_);
}

void SoupClient::SendHttpRequest(const CallPtr& call, const HttpRequest& http) {
  const auto& request = call->request_;
  call->is_write_ = http.is_write_;
  call->cancellable_.reset(g_cancellable_new());
  const std::string uri = "http://" + settings_.address_ + http.path_;
  call->message_.reset(soup_message_new(http.method_.c_str(), uri.c_str()));
  auto* message = call->message_.get();
  auto flags = SOUP_MESSAGE_NO_REDIRECT;
  if (http.is_write_) {
    // libsoup resends idempotent methods if the server has closed a reused connection. A new
    // connection ensures that a write is sent only once.
    flags = static_cast<SoupMessageFlags>(flags | SOUP_MESSAGE_NEW_CONNECTION);
    soup_message_headers_replace(soup_message_get_request_headers(message), "If-Match",
                                 std::to_string(request.version_).c_str());
  }
  soup_message_set_flags(message, flags);
  if (request.operation_ == PlatformOperation::kPut) {
    GBytes* bytes = g_bytes_new(request.body_.data(), request.body_.size());
    soup_message_set_request_body_from_bytes(message, "application/json", bytes);
    g_bytes_unref(bytes);
  }
  g_signal_connect(message, "starting", G_CALLBACK(&SoupClient::OnStarting), call.get());
  counters_.calls_++;
  counters_.bytes_out_ += kHeaderBytes + http.path_.size() + request.body_.size();
  Duration timeout = std::max(request.timeout_, kMinTimeout);
  if (request.operation_ == PlatformOperation::kWatch) timeout += kWatchGrace;
  StartTimer(call, timeout, &SoupClient::OnTimeout);
  soup_session_send_async(session_.get(), message, G_PRIORITY_DEFAULT, call->cancellable_.get(),
                          &SoupClient::OnHeaders, new CallPtr(call));
}

void SoupClient::OnStarting(SoupMessage* /*message*/, gpointer data) {
  static_cast<Call*>(data)->sending_started_ = true;
}

void SoupClient::OnHeaders(GObject* session, GAsyncResult* result, gpointer data) {
  const std::unique_ptr<CallPtr> owner(static_cast<CallPtr*>(data));
  const CallPtr call = *owner;
  call->stream_.reset(soup_session_send_finish(SOUP_SESSION(session), result, nullptr));
  if (call->client_ == nullptr) return;
  if (!call->stream_) return call->client_->FinishWithConnectionError(call);
  call->status_ = soup_message_get_status(call->message_.get());
  const auto length = soup_message_headers_get_content_length(
      soup_message_get_response_headers(call->message_.get()));
  if (length > static_cast<goffset>(kMaxResponseBytes)) {
    return call->client_->FinishWithCode(call, ResultCode::kPlatformInvalidAnswer);
  }
  ReadChunk(call);
}

void SoupClient::ReadChunk(CallPtr call) {
  auto* stream = call->stream_.get();
  auto* cancellable = call->cancellable_.get();
  g_input_stream_read_bytes_async(stream, kChunkBytes, G_PRIORITY_DEFAULT, cancellable,
                                  &SoupClient::OnChunk, new CallPtr(std::move(call)));
}

void SoupClient::OnChunk(GObject* stream, GAsyncResult* result, gpointer data) {
  const std::unique_ptr<CallPtr> owner(static_cast<CallPtr*>(data));
  const CallPtr call = *owner;
  GBytes* bytes = g_input_stream_read_bytes_finish(G_INPUT_STREAM(stream), result, nullptr);
  if (call->client_ == nullptr) {
    if (bytes != nullptr) g_bytes_unref(bytes);
    return;
  }
  if (bytes == nullptr) return call->client_->FinishWithConnectionError(call);
  gsize size = 0;
  const auto* text = static_cast<const char*>(g_bytes_get_data(bytes, &size));
  if (size > 0) call->body_.append(text, size);
  g_bytes_unref(bytes);
  if (size == 0) return call->client_->FinishWithResponse(call);
  if (call->body_.size() > kMaxResponseBytes) {
    return call->client_->FinishWithCode(call, ResultCode::kPlatformInvalidAnswer);
  }
  ReadChunk(call);
}

gboolean SoupClient::OnTimeout(gpointer data) {
  const CallPtr call = *static_cast<CallPtr*>(data);
  call->client_->counters_.timeouts_++;
  // A write that was not sent was not applied; finishing the call cancels it before it can be sent.
  const bool unsent_write = call->is_write_ && !call->sending_started_;
  call->client_->FinishWithCode(
      call, unsent_write ? ResultCode::kPlatformUnreachable : ResultCode::kPlatformTimeout);
  return G_SOURCE_REMOVE;
}

gboolean SoupClient::OnRejected(gpointer data) {
  const CallPtr call = *static_cast<CallPtr*>(data);
  call->client_->FinishWithCode(call, call->rejection_code_);
  return G_SOURCE_REMOVE;
}

void SoupClient::FinishWithResponse(const CallPtr& call) {
  const auto reply = ParseHttpResponse(call->request_, call->status_, call->body_);
  if (reply.code_ == ResultCode::kPlatformInvalidAnswer) {
    return FinishWithCode(call, ResultCode::kPlatformInvalidAnswer);
  }
  counters_.bytes_in_ += kHeaderBytes + call->body_.size();
  Finish(call, reply);
}

void SoupClient::FinishWithConnectionError(const CallPtr& call) {
  const bool maybe_applied = call->is_write_ && call->sending_started_;
  FinishWithCode(call,
                 maybe_applied ? ResultCode::kPlatformTimeout : ResultCode::kPlatformUnreachable);
}

void SoupClient::FinishWithCode(const CallPtr& call, ResultCode code) {
  if (code == ResultCode::kPlatformInvalidAnswer) {
    counters_.invalid_responses_++;
    counters_.bytes_in_ += kHeaderBytes + call->body_.size();
    // The write may have been applied, whatever the invalid response says.
    if (call->is_write_) code = ResultCode::kPlatformTimeout;
  }
  Finish(call, {call->request_.id_, call->request_.operation_, code, {}, 0, {}});
}

void SoupClient::Finish(const CallPtr& call, const PlatformReply& reply) {
  calls_.remove(call);
  call->client_ = nullptr;
  call->StopTimer();
  // Cancels the HTTP request if it is still in flight. The connection of a completed request is not
  // affected.
  if (call->cancellable_) g_cancellable_cancel(call->cancellable_.get());
  const auto callback = std::exchange(call->callback_, nullptr);
  callback(reply);  // May destroy the client.
}

}  // namespace monsoonshelf::store::detail
