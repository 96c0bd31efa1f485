#include "entry/internal/soup_target_client.h"

#include <fcntl.h>
#include <gio/gunixinputstream.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <unistd.h>

#include <utility>

#include "entry/internal/call_headers.h"

namespace monsoonshelf::entry {

using dispatch::SendResult;

struct SoupTargetClient::Send {
  Send() = default;
  ~Send() {
    if (message_ != nullptr) g_signal_handlers_disconnect_by_data(message_.get(), this);
  }
  Send(const Send&) = delete;
  Send& operator=(const Send&) = delete;

  SoupTargetClient* client_ = nullptr;  // Null once the send has ended.
  TargetRequest request_;
  std::shared_ptr<ConnectionPool> pool_;
  GObjectPtr<SoupMessage> message_;
  GObjectPtr<GCancellable> cancellable_{g_cancellable_new()};
  GObjectPtr<GInputStream> stream_;
  GObjectPtr<GSocket> new_socket_;  // Set while a connection is opened for this send.
  GObjectPtr<GSocket> socket_;
  std::optional<dispatch::LoadReport> load_report_;
  std::int64_t body_length_ = -1;
  std::int64_t body_received_ = 0;
  int status_ = 0;
  int interim_responses_ = 0;
  bool sent_ = false;
  bool not_run_ = false;
};

namespace {

constexpr guint kIdleSeconds = 30;
// Responses with status 1xx before the final one. libsoup reads them in a loop that does not return
// to the main loop while more bytes have arrived, so without a limit a target that keeps sending
// them would stop the whole data task, including its deadlines.
constexpr int kMaxInterimResponses = 16;

void FreeShared(gpointer data) { delete static_cast<std::shared_ptr<const std::string>*>(data); }

void CloseSocket(GSocket* socket) {
  if (socket != nullptr) g_socket_shutdown(socket, TRUE, TRUE, nullptr);
}

void SetBody(SoupMessage* message, const TargetRequest& request) {
  if (request.body_.bytes_ != nullptr) {
    if (request.body_.bytes_->empty() && request.body_length_ == 0) return;
    auto* owner = new std::shared_ptr<const std::string>(request.body_.bytes_);
    GBytes* bytes =
        g_bytes_new_with_free_func((*owner)->data(), (*owner)->size(), FreeShared, owner);
    soup_message_set_request_body_from_bytes(message, nullptr, bytes);
    g_bytes_unref(bytes);
  } else if (request.body_.pipe_ != nullptr) {
    // Duplicate the descriptor: if this send gets no connection, another send may read the pipe.
    const int descriptor = fcntl(request.body_.pipe_->Get(), F_DUPFD_CLOEXEC, 0);
    GObjectPtr<GInputStream> stream(g_unix_input_stream_new(descriptor, TRUE));
    soup_message_set_request_body(message, nullptr, stream.get(), request.body_length_);
  }
}

ResponseHead ReadHead(SoupMessage* message) {
  ResponseHead head;
  head.status_ = static_cast<int>(soup_message_get_status(message));
  SoupMessageHeaders* headers = soup_message_get_response_headers(message);
  SoupMessageHeadersIter iterator;
  soup_message_headers_iter_init(&iterator, headers);
  const char* name = nullptr;
  const char* value = nullptr;
  while (soup_message_headers_iter_next(&iterator, &name, &value)) {
    if (!IsHopByHopHeader(name)) head.headers_.emplace_back(name, value);
  }
  if (soup_message_headers_get_encoding(headers) == SOUP_ENCODING_CONTENT_LENGTH) {
    head.body_length_ = soup_message_headers_get_content_length(headers);
  } else if (soup_message_headers_get_encoding(headers) == SOUP_ENCODING_NONE) {
    head.body_length_ = 0;
  }
  return head;
}

const char* GetResponseHeader(SoupMessage* message, const char* name) {
  return soup_message_headers_get_one(soup_message_get_response_headers(message), name);
}

}  // namespace

SoupTargetClient::SoupTargetClient(ITargetObserver& observer) : observer_(observer) {}

SoupTargetClient::~SoupTargetClient() {
  for (auto& [id, send] : sends_) {
    send->client_ = nullptr;
    CloseSocket(send->socket_.get());
    g_cancellable_cancel(send->cancellable_.get());
  }
  for (auto& [address, pool] : pools_) soup_session_abort(pool->session_.get());
}

SoupTargetClient::ConnectionPool& SoupTargetClient::GetOrCreatePool(const std::string& address,
                                                                    int max_connections) {
  auto& pool = pools_[address];
  if (pool != nullptr && pool->max_connections_ == max_connections) return *pool;
  // libsoup accepts the limit only at construction, so the pool is replaced. Idle connections of
  // the old pool are closed now, those in use when their send ends.
  if (pool != nullptr) soup_session_abort(pool->session_.get());
  pool = std::make_shared<ConnectionPool>();
  pool->max_connections_ = max_connections;
  pool->session_.reset(soup_session_new_with_options(
      "max-conns", max_connections, "max-conns-per-host", max_connections, "timeout", 0U,
      "idle-timeout", kIdleSeconds, "proxy-resolver", nullptr, nullptr));
  // Bodies must be passed on unchanged, without decoding Content-Encoding.
  soup_session_remove_feature_by_type(pool->session_.get(), SOUP_TYPE_CONTENT_DECODER);
  return *pool;
}

GObjectPtr<SoupMessage> SoupTargetClient::MakeMessage(const TargetRequest& request) {
  const std::string text = "http://" + request.address_ + request.path_;
  GUri* uri = g_uri_parse(text.c_str(), static_cast<GUriFlags>(SOUP_HTTP_URI_FLAGS), nullptr);
  if (uri == nullptr) return nullptr;
  GObjectPtr<SoupMessage> message(soup_message_new_from_uri(request.method_.c_str(), uri));
  g_uri_unref(uri);
  // Without SOUP_MESSAGE_IDEMPOTENT libsoup opens a new connection for each POST.
  const int connection_flag =
      request.new_connection_ ? SOUP_MESSAGE_NEW_CONNECTION : SOUP_MESSAGE_IDEMPOTENT;
  soup_message_set_flags(message.get(),
                         static_cast<SoupMessageFlags>(SOUP_MESSAGE_NO_REDIRECT | connection_flag));
  SoupMessageHeaders* headers = soup_message_get_request_headers(message.get());
  for (const auto& [name, value] : request.headers_) {
    soup_message_headers_append(headers, name.c_str(), value.c_str());
  }
  SetBody(message.get(), request);
  return message;
}

void SoupTargetClient::Start(TargetRequest request) {
  auto send = std::make_shared<Send>();
  send->client_ = this;
  send->message_ = MakeMessage(request);
  GetOrCreatePool(request.address_, request.max_connections_);
  send->pool_ = pools_[request.address_];
  send->request_ = std::move(request);
  sends_[send->request_.id_] = send;
  if (send->message_ == nullptr) {
    FinishSend(send, SendResult::kUnreachable);
    return;
  }
  SoupMessage* message = send->message_.get();
  g_signal_connect(message, "network-event", G_CALLBACK(&SoupTargetClient::OnNetworkEvent),
                   send.get());
  g_signal_connect(message, "starting", G_CALLBACK(&SoupTargetClient::OnStarting), send.get());
  g_signal_connect(message, "restarted", G_CALLBACK(&SoupTargetClient::OnRestarted), send.get());
  g_signal_connect(message, "got-informational", G_CALLBACK(&SoupTargetClient::OnInterimResponse),
                   send.get());
  soup_session_send_async(send->pool_->session_.get(), message, G_PRIORITY_DEFAULT,
                          send->cancellable_.get(), &SoupTargetClient::OnResponse,
                          new SendPtr(send));
}

void SoupTargetClient::OnNetworkEvent(SoupMessage*, GSocketClientEvent event, GIOStream* connection,
                                      Send* send) {
  if (event != G_SOCKET_CLIENT_CONNECTED || !G_IS_SOCKET_CONNECTION(connection)) return;
  GSocket* socket = g_socket_connection_get_socket(G_SOCKET_CONNECTION(connection));
  g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
  send->new_socket_ = Ref(socket);
}

void SoupTargetClient::OnStarting(SoupMessage* message, Send* send) {
  auto& sockets = send->pool_->sockets_;
  const guint64 id = soup_message_get_connection_id(message);
  if (send->new_socket_ != nullptr) {
    std::erase_if(sockets, [](const auto& item) { return g_socket_is_closed(item.second.get()); });
    sockets[id] = std::move(send->new_socket_);
  }
  const auto socket = sockets.find(id);
  if (socket != sockets.end()) send->socket_ = Ref(socket->second.get());
  // libsoup retries a request when a keep-alive connection closes. The first attempt may have been
  // executed, and a second one would exceed a cold limit, so the new connection is closed before
  // use.
  if (send->sent_ || send->client_ == nullptr) {
    CloseSocket(send->socket_.get());
    return;
  }
  send->sent_ = true;
}

void SoupTargetClient::OnRestarted(SoupMessage*, Send* send) {
  if (send->sent_) g_cancellable_cancel(send->cancellable_.get());
}

void SoupTargetClient::OnInterimResponse(SoupMessage*, Send* send) {
  if (++send->interim_responses_ <= kMaxInterimResponses) return;
  // Ends the loop of libsoup; HandleResponse() gets the error.
  g_cancellable_cancel(send->cancellable_.get());
  CloseSocket(send->socket_.get());
}

void SoupTargetClient::OnResponse(GObject* source, GAsyncResult* result, gpointer data) {
  const std::unique_ptr<SendPtr> send(static_cast<SendPtr*>(data));
  GError* error = nullptr;
  GInputStream* stream = soup_session_send_finish(SOUP_SESSION(source), result, &error);
  GErrorPtr error_owner(error);
  if ((*send)->client_ == nullptr) {
    if (stream != nullptr) g_object_unref(stream);
    return;
  }
  (*send)->client_->HandleResponse(*send, stream, std::move(error_owner));
}

void SoupTargetClient::HandleResponse(const SendPtr& send, GInputStream* stream, GErrorPtr error) {
  if (stream == nullptr) {
    AbortSend(send, ResultForError(*send, error.get()));
    return;
  }
  send->stream_.reset(stream);
  SoupMessage* message = send->message_.get();
  const char* echo = GetResponseHeader(message, kCallIdHeader);
  if (!send->request_.call_id_.empty() && (echo == nullptr || send->request_.call_id_ != echo)) {
    AbortSend(send, SendResult::kInvalid);
    return;
  }
  ResponseHead head = ReadHead(message);
  if (const char* load = GetResponseHeader(message, kLoadHeader))
    send->load_report_ = ParseLoadReport(load);
  const char* outcome = GetResponseHeader(message, kOutcomeHeader);
  if (outcome != nullptr) {
    head.outcome_ = ValueOf(kCallOutcomeNames, outcome).value_or(CallOutcome::kUnknown);
    send->not_run_ = head.outcome_ == CallOutcome::kNotRun;
  } else {
    head.outcome_ = CallOutcome::kAnswered;
  }
  if (const char* code = GetResponseHeader(message, kResultCodeHeader)) {
    head.code_ = static_cast<ResultCode>(std::atoi(code));
  }
  if (const char* load = GetResponseHeader(message, kShardLoadHeader)) head.shard_load_ = load;
  if (const char* budget = GetResponseHeader(message, kRetryBudgetHeader)) {
    head.retry_budget_ = std::atoi(budget);
  }
  send->status_ = head.status_;
  send->body_length_ = send->request_.method_ == "HEAD" ? 0 : head.body_length_;
  observer_.OnHead(send->request_.id_, std::move(head));
}

void SoupTargetClient::ReadChunk(SendId id) {
  const auto found = sends_.find(id);
  if (found == sends_.end() || found->second->stream_ == nullptr) return;
  const SendPtr send = found->second;
  GInputStream* stream = send->stream_.get();
  // Most bodies are already buffered; reading them directly saves a main loop iteration.
  if (G_IS_POLLABLE_INPUT_STREAM(stream) &&
      g_pollable_input_stream_can_poll(G_POLLABLE_INPUT_STREAM(stream)) != FALSE) {
    // On the stack because a new heap block for each read causes page faults.
    char buffer[kChunkBytes];
    GError* error = nullptr;
    const gssize count = g_pollable_input_stream_read_nonblocking(
        G_POLLABLE_INPUT_STREAM(stream), buffer, sizeof buffer, nullptr, &error);
    if (count >= 0) {
      GBytes* bytes = g_bytes_new(buffer, static_cast<gsize>(count));
      HandleBytes(send, bytes, nullptr);
      g_bytes_unref(bytes);
      return;
    }
    GErrorPtr owner(error);
    if (!g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
      HandleBytes(send, nullptr, std::move(owner));
      return;
    }
  }
  g_input_stream_read_bytes_async(stream, kChunkBytes, G_PRIORITY_DEFAULT, send->cancellable_.get(),
                                  &SoupTargetClient::OnBytes, new SendPtr(send));
}

void SoupTargetClient::OnBytes(GObject* source, GAsyncResult* result, gpointer data) {
  const std::unique_ptr<SendPtr> send(static_cast<SendPtr*>(data));
  GError* error = nullptr;
  GBytes* bytes = g_input_stream_read_bytes_finish(G_INPUT_STREAM(source), result, &error);
  GErrorPtr error_owner(error);
  if ((*send)->client_ != nullptr) {
    (*send)->client_->HandleBytes(*send, bytes, std::move(error_owner));
  }
  if (bytes != nullptr) g_bytes_unref(bytes);
}

void SoupTargetClient::HandleBytes(const SendPtr& send, GBytes* bytes, GErrorPtr) {
  if (bytes == nullptr) {
    // The response headers have arrived, so the call was executed; only the body is lost.
    AbortSend(send, SendResult::kInvalid);
    return;
  }
  gsize size = 0;
  const auto* data = static_cast<const char*>(g_bytes_get_data(bytes, &size));
  if (size == 0) {
    HandleEndOfBody(send);
    return;
  }
  send->body_received_ += static_cast<std::int64_t>(size);
  observer_.OnChunk(send->request_.id_, std::string(data, size));
}

void SoupTargetClient::HandleEndOfBody(const SendPtr& send) {
  if (send->body_length_ >= 0 && send->body_received_ != send->body_length_) {
    AbortSend(send, SendResult::kInvalid);
    return;
  }
  if (send->not_run_) {
    FinishSend(send, SendResult::kRefused);
  } else {
    FinishSend(send, send->status_ >= 500 ? SendResult::kFailed : SendResult::kAnswered);
  }
}

SendResult SoupTargetClient::ResultForError(const Send& send, const GError* error) {
  if (!send.sent_) return SendResult::kUnreachable;
  if (send.interim_responses_ > kMaxInterimResponses) return SendResult::kInvalid;
  if (error != nullptr && error->domain == SOUP_SESSION_ERROR &&
      error->code == SOUP_SESSION_ERROR_PARSING) {
    return SendResult::kInvalid;
  }
  return SendResult::kLost;
}

void SoupTargetClient::Cancel(SendId id) {
  const auto found = sends_.find(id);
  if (found != sends_.end()) AbortSend(SendPtr(found->second), SendResult::kCancelled);
}

void SoupTargetClient::CheckDeadlines(Time now) {
  std::vector<SendPtr> late;
  for (const auto& [id, send] : sends_) {
    if (now >= send->request_.deadline_) late.push_back(send);
  }
  for (const auto& send : late) {
    AbortSend(send, send->sent_ ? SendResult::kTimedOut : SendResult::kUnreachable);
  }
}

void SoupTargetClient::AbortSend(const SendPtr& send, SendResult result) {
  // A late response may still arrive on this connection, so it must not be reused.
  CloseSocket(send->socket_.get());
  g_cancellable_cancel(send->cancellable_.get());
  FinishSend(send, result);
}

void SoupTargetClient::FinishSend(const SendPtr& send, SendResult result) {
  if (send->client_ == nullptr) return;
  send->client_ = nullptr;
  SendEnd end{result, send->load_report_, send->sent_};
  if (result != SendResult::kAnswered && result != SendResult::kFailed &&
      result != SendResult::kRefused) {
    end.load_report_.reset();
  }
  const SendId id = send->request_.id_;
  sends_.erase(id);
  observer_.OnEnd(id, end);
}

void SoupTargetClient::RemoveAddress(const std::string& address) { pools_.erase(address); }

}  // namespace monsoonshelf::entry
