// Part of CallerServer that writes responses.
#include <sys/socket.h>

#include <utility>

#include "base/clock.h"
#include "entry/internal/call_headers.h"
#include "entry/internal/caller_server.h"
#include "entry/internal/entry_hosts.h"

namespace monsoonshelf::entry {

namespace {

constexpr std::int64_t kMicrosecondsPerMinute = 60'000'000;

std::string QueryValue(GUri* uri, const char* key) {
  const char* query = g_uri_get_query(uri);
  if (query == nullptr) return "";
  GHashTable* values = g_uri_parse_params(query, -1, "&", G_URI_PARAMS_WWW_FORM, nullptr);
  if (values == nullptr) return "";
  const auto* value = static_cast<const char*>(g_hash_table_lookup(values, key));
  std::string text = value != nullptr ? value : "";
  g_hash_table_unref(values);
  return text;
}

}  // namespace

void CallerServer::ServeEntryHostList(const CallPtr& call) {
  GUri* uri = soup_server_message_get_uri(call->message_.get());
  if (std::string_view(soup_server_message_get_method(call->message_.get())) != "GET") {
    DeliverError(call->handle_, {405, CallOutcome::kNotRun, ResultCode::kRequestMalformed,
                                 "entry hosts are read with GET"});
    return;
  }
  if (!view_->has_configuration_) {
    DeliverError(call->handle_, *CheckServing());
    return;
  }
  BufferedResponse response;
  response.head_.status_ = 200;
  response.head_.outcome_ = CallOutcome::kAnswered;
  response.head_.headers_.emplace_back("Content-Type", "application/json");
  response.body_ =
      EntryHostsJson(*view_, settings_, QueryValue(uri, "service"), QueryValue(uri, "zone"),
                     WallMicroseconds() / kMicrosecondsPerMinute);
  response.head_.body_length_ = static_cast<std::int64_t>(response.body_.size());
  WriteResponse(call, std::move(response));
}

void CallerServer::StartResponse(IncomingCall& call, const ResponseHead& head) {
  SoupServerMessage* message = call.message_.get();
  call.responded_ = true;
  call.discards_body_ = true;
  call.end_.status_ = head.status_;
  call.end_.outcome_ = head.outcome_;
  call.end_.code_ = head.code_;
  call.end_.in_target_ = head.target_time_;
  soup_server_message_set_status(message, static_cast<guint>(head.status_), nullptr);
  SoupMessageHeaders* headers = soup_server_message_get_response_headers(message);
  for (const auto& [name, value] : head.headers_) {
    soup_message_headers_append(headers, name.c_str(), value.c_str());
  }
  const std::string outcome(NameOf(kCallOutcomeNames, head.outcome_));
  soup_message_headers_append(headers, kOutcomeHeader, outcome.c_str());
  soup_message_headers_append(headers, kResultCodeHeader,
                              std::to_string(static_cast<int>(head.code_)).c_str());
  if (call.head_ != nullptr) {
    soup_message_headers_append(headers, kCallIdHeader, call.head_->call_id_.c_str());
    // A failure returns a retry budget of 0 so that no level above repeats the whole call tree.
    // Between entry hosts the budget is kept because the call may continue.
    const bool failed = head.status_ >= 500 && call.head_->hops_.empty();
    const int budget = failed ? 0 : head.retry_budget_.value_or(call.head_->retry_budget_);
    soup_message_headers_append(headers, kRetryBudgetHeader, std::to_string(budget).c_str());
  }
  if (mode_ == ServingMode::kLeaving || mode_ == ServingMode::kDraining) {
    soup_message_headers_append(headers, "Connection", "close");
    call.closes_connection_ = true;
  }
  if (head.body_length_ >= 0) {
    soup_message_headers_set_content_length(headers, head.body_length_);
  } else {
    const bool http10 = soup_server_message_get_http_version(message) == SOUP_HTTP_1_0;
    soup_message_headers_set_encoding(headers, http10 ? SOUP_ENCODING_EOF : SOUP_ENCODING_CHUNKED);
  }
}

void CallerServer::WriteResponse(const CallPtr& call, BufferedResponse response) {
  if (call->message_ == nullptr) {
    // The caller disconnected before the response arrived.
    call->end_.outcome_ = response.head_.outcome_;
    call->end_.code_ = response.head_.code_;
    ReportCallEnd(*call, Now());
    calls_.erase(call->handle_);
    return;
  }
  if (call->responded_) return;
  StartResponse(*call, response.head_);
  call->response_complete_ = true;
  SoupMessageBody* body = soup_server_message_get_response_body(call->message_.get());
  if (!response.body_.empty()) {
    soup_message_body_append(body, SOUP_MEMORY_COPY, response.body_.data(), response.body_.size());
  }
  soup_message_body_complete(body);
  Unpause(*call);
}

void CallerServer::DeliverResponse(CallHandle handle, BufferedResponse response) {
  if (const CallPtr call = FindCall(handle)) WriteResponse(call, std::move(response));
}

void CallerServer::DeliverError(CallHandle handle, const ErrorResponse& reason) {
  const CallPtr call = FindCall(handle);
  if (call == nullptr) return;
  const ErrorResponse error = cutting_ ? CutResponse(reason) : reason;
  if (cutting_ && call->message_ != nullptr && !call->responded_ && !call->body_complete_) {
    RejectPartialRequest(call, error);
    return;
  }
  BufferedResponse response;
  response.head_.status_ = error.status_;
  response.head_.outcome_ = error.outcome_;
  response.head_.code_ = error.code_;
  if (call->cancel_code_ != ResultCode::kOk && error.code_ == ResultCode::kCallCancelled) {
    response.head_.code_ = call->cancel_code_;
    if (call->cancel_code_ == ResultCode::kBodyTooLarge) response.head_.status_ = 413;
  }
  response.head_.headers_.emplace_back("Content-Type", "text/plain; charset=utf-8");
  if (!error.shard_load_.empty()) {
    response.head_.headers_.emplace_back(kShardLoadHeader, error.shard_load_);
  }
  response.body_ = error.reason_ + "\n";
  response.head_.body_length_ = static_cast<std::int64_t>(response.body_.size());
  WriteResponse(call, std::move(response));
}

void CallerServer::DeliverHead(CallHandle handle, std::size_t sending_task, SendId send,
                               const ResponseHead& head) {
  const CallPtr call = FindCall(handle);
  if (call == nullptr) return;
  call->sending_task_ = sending_task;
  call->send_id_ = send;
  if (call->message_ == nullptr) return;
  StartResponse(*call, head);
  // The response has begun and can no longer be rejected. Its chunks are therefore counted even if
  // this exceeds the limit for all calls; the limit per call still holds.
  if (!ReserveBytes(*call, 2 * kChunkBytes)) {
    reserved_bytes_ += 2 * kChunkBytes;
    call->reserved_bytes_ += 2 * kChunkBytes;
  }
  Unpause(*call);
}

void CallerServer::DeliverChunk(CallHandle handle, const std::string& bytes) {
  const CallPtr call = FindCall(handle);
  if (call == nullptr || call->message_ == nullptr) return;
  SoupMessageBody* body = soup_server_message_get_response_body(call->message_.get());
  soup_message_body_append(body, SOUP_MEMORY_COPY, bytes.data(), bytes.size());
  // libsoup pauses a message when there is no body chunk to write.
  soup_server_message_unpause(call->message_.get());
}

void CallerServer::OnWroteChunk(SoupServerMessage* message, gpointer data) {
  auto* server = static_cast<CallerServer*>(data);
  const CallPtr call = server->FindCallByMessage(message);
  if (call == nullptr || call->send_id_ == 0 || call->response_complete_) return;
  server->delegate_.RequestChunk(call->sending_task_, call->send_id_);
}

void CallerServer::DeliverEnd(CallHandle handle, bool complete) {
  const CallPtr call = FindCall(handle);
  if (call == nullptr) return;
  if (call->message_ == nullptr) {
    if (!call->body_written_ || !complete) {
      call->end_.outcome_ = CallOutcome::kUnknown;
      call->end_.code_ = ResultCode::kCallCancelled;
    }
    ReportCallEnd(*call, Now());
    calls_.erase(handle);
    return;
  }
  call->response_complete_ = true;
  if (!complete) {
    call->end_.outcome_ = CallOutcome::kUnknown;
    call->end_.code_ = ResultCode::kTargetAnswerInvalid;
    ResetConnection(*call);
    return;
  }
  soup_message_body_complete(soup_server_message_get_response_body(call->message_.get()));
  soup_server_message_unpause(call->message_.get());
}

void CallerServer::ResetConnection(IncomingCall& call) {
  if (call.message_ == nullptr) return;
  GSocket* socket = SocketOf(call);
  if (socket == nullptr) return;
  // Reset the connection: a normal close would look like the end of a body without a length.
  const linger reset{1, 0};
  setsockopt(g_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  g_socket_shutdown(socket, TRUE, TRUE, nullptr);
  // Queue a write that fails, which makes libsoup close the connection.
  SoupMessageBody* body = soup_server_message_get_response_body(call.message_.get());
  if (call.responded_) soup_message_body_append(body, SOUP_MEMORY_STATIC, " ", 1);
  call.paused_ = false;
  soup_server_message_unpause(call.message_.get());
}

void CallerServer::OnWroteBody(SoupServerMessage* message, gpointer data) {
  if (const CallPtr call = static_cast<CallerServer*>(data)->FindCallByMessage(message)) {
    call->body_written_ = true;
  }
}

void CallerServer::OnFinished(SoupServerMessage* message, gpointer data) {
  auto* server = static_cast<CallerServer*>(data);
  if (const CallPtr call = server->FindCallByMessage(message)) server->FinishMessage(call);
}

void CallerServer::FinishMessage(const CallPtr& call) {
  GSocket* socket = SocketOf(*call);
  if (call->closes_connection_ && call->body_written_ && socket != nullptr) {
    connections_.Linger(socket, Now());
    delegate_.ConnectionLingers();
  }
  calls_by_message_.erase(call->message_.get());
  g_signal_handlers_disconnect_by_data(call->message_.get(), this);
  call->message_.reset();
  const bool ends_elsewhere = call->routed_ && !call->response_complete_;
  if (ends_elsewhere) {
    // The router still has to end the call. libsoup finishes a message as soon as Content-Length
    // bytes are written, which can be before DeliverEnd() is called; such a call is not cancelled.
    if (!call->body_written_) CancelCall(*call, ResultCode::kCallCancelled);
    return;
  }
  if (call->end_.status_ == 0) {
    call->end_.outcome_ = CallOutcome::kNotRun;
    call->end_.code_ = ResultCode::kCallCancelled;
    call->end_.caller_gone_ = true;
  }
  ReportCallEnd(*call, Now());
  calls_.erase(call->handle_);
}

void CallerServer::ReportCallEnd(IncomingCall& call, Time now) {
  ClosePipe(call);
  reserved_bytes_ -= call.reserved_bytes_;
  call.reserved_bytes_ = 0;
  call.end_.total_ = now.time_since_epoch() - call.end_.total_;
  if (call.head_ != nullptr) {
    call.end_.call_id_ = call.head_->call_id_;
    call.end_.service_ = call.head_->service_;
    call.end_.shard_zone_ = call.head_->shard_zone_;
    call.end_.hops_ = FormatHops(call.head_->hops_);
  }
  if (callbacks_.call_end_) callbacks_.call_end_(call.end_);
}

}  // namespace monsoonshelf::entry
