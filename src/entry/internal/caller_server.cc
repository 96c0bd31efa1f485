#include "entry/internal/caller_server.h"

#include <fcntl.h>
#include <gio/gio.h>
#include <glib-unix.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/un.h>

#include <algorithm>
#include <utility>

#include "base/clock.h"
#include "entry/internal/call_headers.h"
#include "entry/internal/entry_hosts.h"

namespace monsoonshelf::entry {

namespace {

// Younger calls are not checked for a disconnected caller because most calls end earlier.
constexpr Duration kDisconnectCheckAge = std::chrono::milliseconds(20);
constexpr char kSocketKey[] = "monsoonshelf-socket";
// Additional time after the deadline for the router to end the call.
constexpr Duration kRequestDeadlineMargin = std::chrono::seconds(1);

bool PeerClosed(GSocket* socket) {
  char byte = 0;
  const auto count = recv(g_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

RawRequest ReadRequest(SoupServerMessage* message) {
  RawRequest request;
  request.method_ = soup_server_message_get_method(message);
  GUri* uri = soup_server_message_get_uri(message);
  request.path_ = g_uri_get_path(uri);
  if (const char* query = g_uri_get_query(uri)) request.path_ += std::string("?") + query;
  SoupMessageHeaders* headers = soup_server_message_get_request_headers(message);
  SoupMessageHeadersIter iterator;
  soup_message_headers_iter_init(&iterator, headers);
  const char* name = nullptr;
  const char* value = nullptr;
  while (soup_message_headers_iter_next(&iterator, &name, &value)) {
    request.headers_.emplace_back(name, value);
  }
  const SoupEncoding encoding = soup_message_headers_get_encoding(headers);
  if (encoding == SOUP_ENCODING_CONTENT_LENGTH) {
    request.body_length_ = soup_message_headers_get_content_length(headers);
  } else if (encoding == SOUP_ENCODING_CHUNKED) {
    request.body_length_ = -1;
  }
  return request;
}

}  // namespace

namespace {

// libsoup keeps a connection open after a response only while its server has a listener, but the
// real listener belongs to another task. This placeholder listens on an abstract Unix socket that
// is not used.
void AddPlaceholderListener(SoupServer* server) {
  const int descriptor = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  // With an address that contains no path, the kernel assigns an abstract name.
  const int bound = bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(sa_family_t));
  if (bound != 0 || listen(descriptor, 1) != 0) {
    close(descriptor);
    return;
  }
  const GObjectPtr<GSocket> socket(g_socket_new_from_fd(descriptor, nullptr));
  GError* error = nullptr;
  soup_server_listen_socket(server, socket.get(), static_cast<SoupServerListenOptions>(0), &error);
  const GErrorPtr owner(error);
}

}  // namespace

CallerServer::CallerServer(const EntrySettings& settings, std::size_t task_index,
                           ICallerServerDelegate& delegate, const EntryCallbacks& callbacks)
    : settings_(settings),
      task_index_(task_index),
      delegate_(delegate),
      callbacks_(callbacks),
      server_(soup_server_new("raw-paths", TRUE, nullptr)),
      view_(std::make_shared<EntryView>()) {
  g_signal_connect(server_.get(), "request-started", G_CALLBACK(&CallerServer::OnRequestStarted),
                   this);
  for (const char* signal : {"request-finished", "request-aborted"}) {
    g_signal_connect(server_.get(), signal, G_CALLBACK(&CallerServer::OnRequestEnded), this);
  }
  soup_server_add_early_handler(server_.get(), nullptr, &CallerServer::OnHeaders, this, nullptr);
  soup_server_add_handler(server_.get(), nullptr, &CallerServer::OnRequest, this, nullptr);
  AddPlaceholderListener(server_.get());
}

CallerServer::~CallerServer() {
  for (auto& [message, call] : calls_by_message_) {
    g_signal_handlers_disconnect_by_data(message, this);
    ResetConnection(*call);
    ClosePipe(*call);
  }
  g_signal_handlers_disconnect_by_data(server_.get(), this);
  soup_server_disconnect(server_.get());
  for (auto& [handle, call] : calls_) {
    if (!call->body_written_) {
      call->end_.outcome_ = call->routed_ ? CallOutcome::kUnknown : CallOutcome::kNotRun;
      call->end_.code_ = ResultCode::kStopCutCalls;
    }
    ReportCallEnd(*call, Now());
  }
}

void CallerServer::AcceptConnection(GSocketConnection* connection) {
  GSocket* socket = g_socket_connection_get_socket(connection);
  g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
  GObjectPtr<GSocketAddress> local(g_socket_get_local_address(socket, nullptr));
  GObjectPtr<GSocketAddress> remote(g_socket_get_remote_address(socket, nullptr));
  if (local == nullptr || remote == nullptr) return;
  // libsoup does not provide the socket of a connection that it did not accept itself. It does
  // return this address object for each message, so the socket is attached to the address.
  g_object_set_data_full(G_OBJECT(remote.get()), kSocketKey, g_object_ref(socket), g_object_unref);
  connections_.Add(socket, Now());
  soup_server_accept_iostream(server_.get(), G_IO_STREAM(connection), local.get(), remote.get(),
                              nullptr);
}

GSocket* CallerServer::SocketOf(const IncomingCall& call) {
  return call.message_ != nullptr ? SocketOfMessage(call.message_.get()) : nullptr;
}

GSocket* CallerServer::SocketOfMessage(SoupServerMessage* message) {
  GSocketAddress* remote = soup_server_message_get_remote_address(message);
  if (remote == nullptr) return nullptr;
  auto* socket = static_cast<GSocket*>(g_object_get_data(G_OBJECT(remote), kSocketKey));
  return socket != nullptr && !g_socket_is_closed(socket) ? socket : nullptr;
}

CallerServer::CallPtr CallerServer::FindCall(CallHandle handle) {
  const auto found = calls_.find(handle);
  return found == calls_.end() ? nullptr : found->second;
}

CallerServer::CallPtr CallerServer::FindCallByMessage(SoupServerMessage* message) {
  const auto found = calls_by_message_.find(message);
  return found == calls_by_message_.end() ? nullptr : found->second;
}

void CallerServer::OnHeaders(SoupServer*, SoupServerMessage* message, const char* path, GHashTable*,
                             gpointer data) {
  static_cast<CallerServer*>(data)->BeginRequest(message, path);
}

void CallerServer::BeginRequest(SoupServerMessage* message, const char* path) {
  auto call = std::make_shared<IncomingCall>();
  call->handle_ = (static_cast<CallHandle>(task_index_) << kTaskIndexShift) | next_handle_++;
  call->message_ = Ref(message);
  calls_[call->handle_] = call;
  calls_by_message_[message] = call;
  g_signal_connect(message, "got-chunk", G_CALLBACK(&CallerServer::OnGotChunk), this);
  g_signal_connect(message, "wrote-chunk", G_CALLBACK(&CallerServer::OnWroteChunk), this);
  g_signal_connect(message, "wrote-body", G_CALLBACK(&CallerServer::OnWroteBody), this);
  g_signal_connect(message, "finished", G_CALLBACK(&CallerServer::OnFinished), this);
  soup_message_body_set_accumulate(soup_server_message_get_request_body(message), FALSE);
  soup_message_body_set_accumulate(soup_server_message_get_response_body(message), FALSE);
  call->end_.total_ = Now().time_since_epoch();
  if (std::string_view(path) == kEntryHostsPath) {
    ServeEntryHostList(call);
    return;
  }
  auto error = CheckServing();
  if (!error) error = AcceptCall(call);
  if (error) DeliverError(call->handle_, *error);
}

std::optional<ErrorResponse> CallerServer::CheckServing() const {
  if (mode_ == ServingMode::kDraining) {
    return ErrorResponse{503, CallOutcome::kNotRun, ResultCode::kHostStopping,
                         "the entry host is stopping"};
  }
  if (mode_ == ServingMode::kStarting || !view_->has_configuration_ ||
      view_->snapshot_ == nullptr) {
    return ErrorResponse{503, CallOutcome::kNotRun, ResultCode::kNotReady,
                         "the entry host has no configuration yet"};
  }
  if (view_->isolated_) {
    return ErrorResponse{503, CallOutcome::kNotRun, ResultCode::kHostIsolated,
                         "the entry host reaches neither the platform nor a peer"};
  }
  return std::nullopt;
}

std::optional<ErrorResponse> CallerServer::AcceptCall(const CallPtr& call) {
  SoupMessageHeaders* headers = soup_server_message_get_request_headers(call->message_.get());
  const char* length = soup_message_headers_get_list(headers, "Content-Length");
  const char* encoding = soup_message_headers_get_list(headers, "Transfer-Encoding");
  // With an ambiguous length, the next hop could read one request as two (request smuggling).
  if (length != nullptr &&
      (encoding != nullptr || std::string_view(length).find(',') != std::string_view::npos)) {
    return ErrorResponse{400, CallOutcome::kNotRun, ResultCode::kRequestMalformed,
                         "the length of the request body is ambiguous"};
  }
  auto parsed = ParseCall(ReadRequest(call->message_.get()), *view_, settings_, Now());
  if (auto* error = std::get_if<ErrorResponse>(&parsed)) return std::move(*error);
  auto head = std::make_shared<CallHead>(std::move(std::get<CallHead>(parsed)));
  if (head->call_id_.empty()) {
    // Every call needs an identifier because targets echo it in the response.
    head->call_id_ = "auto-" + settings_.name_ + "-" + std::to_string(settings_.incarnation_) +
                     "-" + std::to_string(call->handle_);
  }
  call->head_ = head;
  return PrepareBody(call);
}

bool CallerServer::ReserveBytes(IncomingCall& call, std::size_t bytes) {
  const std::size_t cap =
      settings_.max_buffered_bytes_ / static_cast<std::size_t>(settings_.data_tasks_);
  if (reserved_bytes_ + bytes > cap) return false;
  reserved_bytes_ += bytes;
  call.reserved_bytes_ += bytes;
  return true;
}

std::optional<ErrorResponse> CallerServer::PrepareBody(const CallPtr& call) {
  const auto length = call->head_->body_length_;
  const bool streamed = length < 0 || length > static_cast<std::int64_t>(kSmallBodyBytes);
  // A streamed call buffers one chunk in the pipe and one before the pipe, in each direction.
  const std::size_t bytes = streamed ? 4 * kChunkBytes : static_cast<std::size_t>(length);
  if (!ReserveBytes(*call, bytes)) {
    return ErrorResponse{503, CallOutcome::kNotRun, ResultCode::kMemoryLimit,
                         "the memory for bodies of calls is used up"};
  }
  if (!streamed) {
    call->body_.reserve(bytes);
    return std::nullopt;
  }
  int ends[2];
  if (pipe2(ends, O_CLOEXEC | O_NONBLOCK) != 0) {
    return ErrorResponse{503, CallOutcome::kNotRun, ResultCode::kMemoryLimit,
                         "no pipe for the request body could be opened"};
  }
  call->pipe_ = std::make_shared<FileDescriptor>(ends[1]);
  call->routed_ = true;
  delegate_.RouteCall(
      {call->handle_, call->head_, {nullptr, std::make_shared<FileDescriptor>(ends[0])}});
  return std::nullopt;
}

void CallerServer::OnGotChunk(SoupServerMessage* message, GBytes* bytes, gpointer data) {
  auto* server = static_cast<CallerServer*>(data);
  const CallPtr call = server->FindCallByMessage(message);
  if (call == nullptr) return;
  gsize size = 0;
  const auto* start = static_cast<const char*>(g_bytes_get_data(bytes, &size));
  server->AddRequestChunk(call, start, size);
}

void CallerServer::AddRequestChunk(const CallPtr& call, const char* data, std::size_t size) {
  call->body_received_ += static_cast<std::int64_t>(size);
  const std::int64_t limit = call->head_ != nullptr ? call->head_->max_request_body_bytes_ : 0;
  if (call->responded_ || call->discards_body_) {
    // The rest of an unused body is read so that the caller receives the response, up to a limit.
    if (call->body_received_ > limit + static_cast<std::int64_t>(16 * kChunkBytes))
      ResetConnection(*call);
    return;
  }
  if (call->body_received_ > limit) {
    CancelCall(*call, ResultCode::kBodyTooLarge);
    return;
  }
  if (call->pipe_ == nullptr) {
    call->body_.append(data, size);
    return;
  }
  call->pipe_pending_.append(data, size);
  WriteToPipe(call);
}

void CallerServer::WriteToPipe(const CallPtr& call) {
  std::size_t done = 0;
  while (done < call->pipe_pending_.size()) {
    const auto count = write(call->pipe_->Get(), call->pipe_pending_.data() + done,
                             call->pipe_pending_.size() - done);
    if (count > 0) {
      done += static_cast<std::size_t>(count);
    } else if (errno == EAGAIN) {
      break;
    } else if (errno != EINTR) {
      // The reader has closed the pipe because the send has ended; the rest is not needed.
      call->discards_body_ = true;
      call->pipe_pending_.clear();
      Unpause(*call);
      return;
    }
  }
  call->pipe_pending_.erase(0, done);
  if (call->pipe_pending_.empty()) {
    if (call->body_complete_) {
      ClosePipe(*call);
    } else {
      Unpause(*call);
    }
    return;
  }
  Pause(*call);
  if (call->pipe_source_ == nullptr) {
    call->pipe_source_ = g_unix_fd_source_new(call->pipe_->Get(), G_IO_OUT);
    auto* data = new std::pair<CallerServer*, CallHandle>(this, call->handle_);
    g_source_set_callback(
        call->pipe_source_, G_SOURCE_FUNC(&CallerServer::OnPipeReady), data,
        [](gpointer pair) { delete static_cast<std::pair<CallerServer*, CallHandle>*>(pair); });
    g_source_attach(call->pipe_source_, g_main_context_get_thread_default());
  }
}

gboolean CallerServer::OnPipeReady(gint, GIOCondition, gpointer data) {
  const auto [server, handle] = *static_cast<std::pair<CallerServer*, CallHandle>*>(data);
  const CallPtr call = server->FindCall(handle);
  if (call == nullptr) return G_SOURCE_REMOVE;
  g_source_unref(std::exchange(call->pipe_source_, nullptr));
  if (call->pipe_ != nullptr) server->WriteToPipe(call);
  return G_SOURCE_REMOVE;
}

void CallerServer::ClosePipe(IncomingCall& call) {
  if (call.pipe_source_ != nullptr) {
    g_source_destroy(call.pipe_source_);
    g_source_unref(std::exchange(call.pipe_source_, nullptr));
  }
  call.pipe_.reset();
}

void CallerServer::OnRequest(SoupServer*, SoupServerMessage* message, const char*, GHashTable*,
                             gpointer data) {
  auto* server = static_cast<CallerServer*>(data);
  const CallPtr call = server->FindCallByMessage(message);
  if (call == nullptr) return;
  call->body_complete_ = true;
  if (call->responded_) return;
  server->Pause(*call);
  if (call->pipe_ != nullptr) {
    server->WriteToPipe(call);
  } else if (!call->routed_) {
    server->RouteCall(call);
  }
}

void CallerServer::RouteCall(const CallPtr& call) {
  call->routed_ = true;
  delegate_.RouteCall({call->handle_,
                       call->head_,
                       {std::make_shared<const std::string>(std::move(call->body_)), nullptr}});
}

void CallerServer::Pause(IncomingCall& call) {
  if (call.paused_ || call.message_ == nullptr) return;
  call.paused_ = true;
  soup_server_message_pause(call.message_.get());
}

void CallerServer::Unpause(IncomingCall& call) {
  if (!call.paused_ || call.message_ == nullptr) return;
  call.paused_ = false;
  soup_server_message_unpause(call.message_.get());
}

void CallerServer::CancelCall(IncomingCall& call, ResultCode code) {
  if (call.cancelled_) return;
  call.cancelled_ = true;
  call.cancel_code_ = code;
  call.discards_body_ = true;
  call.end_.caller_gone_ = code == ResultCode::kCallCancelled;
  if (call.routed_) {
    delegate_.CancelCall(call.handle_);
  } else {
    DeliverError(call.handle_, {code == ResultCode::kBodyTooLarge ? 413 : 504, CallOutcome::kNotRun,
                                code, std::string(ResultCodeName(code))});
  }
}

void CallerServer::CancelAbandonedCalls(Time now) {
  std::vector<CallPtr> old;
  for (const auto& [handle, call] : calls_) {
    if (call->message_ == nullptr || call->cancelled_ || call->head_ == nullptr) continue;
    if (now - call->head_->received_ >= kDisconnectCheckAge) old.push_back(call);
  }
  for (const auto& call : old) {
    GSocket* socket = SocketOf(*call);
    if (socket != nullptr && PeerClosed(socket)) {
      CancelCall(*call, ResultCode::kCallCancelled);
    } else if (!call->responded_ && !call->body_complete_ &&
               now > call->head_->deadline_ + kRequestDeadlineMargin) {
      CancelCall(*call, ResultCode::kDeadlinePassed);
    }
  }
}

}  // namespace monsoonshelf::entry
