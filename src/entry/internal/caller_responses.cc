// Responses of the caller side.
#include <sys/socket.h>

#include <utility>

#include "base/clock.h"
#include "entry/internal/call_headers.h"
#include "entry/internal/caller_side.h"
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

void CallerSide::ServeEntryHosts(const CallPtr& call) {
  GUri* uri = soup_server_message_get_uri(call->message_.get());
  if (std::string_view(soup_server_message_get_method(call->message_.get())) != "GET") {
    Refuse(call->handle_, {405, CallOutcome::kNotRun, ResultCode::kRequestMalformed,
                           "entry hosts are read with GET"});
    return;
  }
  if (!view_->has_configuration_) {
    Refuse(call->handle_, *CheckHost());
    return;
  }
  WholeResponse response;
  response.head_.status_ = 200;
  response.head_.outcome_ = CallOutcome::kAnswered;
  response.head_.headers_.emplace_back("Content-Type", "application/json");
  response.body_ =
      EntryHostsJson(*view_, settings_, QueryValue(uri, "service"), QueryValue(uri, "zone"),
                     WallMicroseconds() / kMicrosecondsPerMinute);
  response.head_.body_length_ = static_cast<std::int64_t>(response.body_.size());
  Respond(call, std::move(response));
}

void CallerSide::StartResponse(CallerCall& call, const ResponseHead& head) {
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
    // No level above a failure sends the whole call again. Between entry hosts the call goes on.
    const bool failed = head.status_ >= 500 && call.head_->hops_.empty();
    const int budget = failed ? 0 : head.retry_budget_.value_or(call.head_->retry_budget_);
    soup_message_headers_append(headers, kRetryBudgetHeader, std::to_string(budget).c_str());
  }
  if (mode_ == ServingMode::kLeaving || mode_ == ServingMode::kDraining) {
    soup_message_headers_append(headers, "Connection", "close");
  }
  if (head.body_length_ >= 0) {
    soup_message_headers_set_content_length(headers, head.body_length_);
  } else {
    const bool http10 = soup_server_message_get_http_version(message) == SOUP_HTTP_1_0;
    soup_message_headers_set_encoding(headers, http10 ? SOUP_ENCODING_EOF : SOUP_ENCODING_CHUNKED);
  }
}

void CallerSide::Respond(const CallPtr& call, WholeResponse response) {
  if (call->message_ == nullptr) {
    // The caller went away before its response was there.
    call->end_.outcome_ = response.head_.outcome_;
    call->end_.code_ = response.head_.code_;
    ReportEnd(*call, Now());
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

void CallerSide::Whole(CallHandle handle, WholeResponse response) {
  if (const CallPtr call = Find(handle)) Respond(call, std::move(response));
}

void CallerSide::Refuse(CallHandle handle, const Refusal& refusal) {
  const CallPtr call = Find(handle);
  if (call == nullptr) return;
  WholeResponse response;
  response.head_.status_ = refusal.status_;
  response.head_.outcome_ = refusal.outcome_;
  response.head_.code_ = refusal.code_;
  if (call->gone_code_ != ResultCode::kOk && refusal.code_ == ResultCode::kCallCancelled) {
    response.head_.code_ = call->gone_code_;
    if (call->gone_code_ == ResultCode::kBodyTooLarge) response.head_.status_ = 413;
  }
  response.head_.headers_.emplace_back("Content-Type", "text/plain; charset=utf-8");
  if (!refusal.shard_load_.empty()) {
    response.head_.headers_.emplace_back(kShardLoadHeader, refusal.shard_load_);
  }
  response.body_ = refusal.reason_ + "\n";
  response.head_.body_length_ = static_cast<std::int64_t>(response.body_.size());
  Respond(call, std::move(response));
}

void CallerSide::Head(CallHandle handle, std::size_t sender, SendId send,
                      const ResponseHead& head) {
  const CallPtr call = Find(handle);
  if (call == nullptr) return;
  call->sender_ = sender;
  call->send_ = send;
  if (call->message_ == nullptr) return;
  StartResponse(*call, head);
  // The bound on a call holds even where the cap over all calls is already used up: refusing a
  // response that has begun would break it.
  if (!Reserve(*call, 2 * kChunkBytes)) {
    reserved_ += 2 * kChunkBytes;
    call->reserved_ += 2 * kChunkBytes;
  }
  Unpause(*call);
}

void CallerSide::Chunk(CallHandle handle, const std::string& bytes) {
  const CallPtr call = Find(handle);
  if (call == nullptr || call->message_ == nullptr) return;
  SoupMessageBody* body = soup_server_message_get_response_body(call->message_.get());
  soup_message_body_append(body, SOUP_MEMORY_COPY, bytes.data(), bytes.size());
  // libsoup pauses a message whose body has no piece to write.
  soup_server_message_unpause(call->message_.get());
}

void CallerSide::OnWroteChunk(SoupServerMessage* message, gpointer data) {
  auto* side = static_cast<CallerSide*>(data);
  const CallPtr call = side->FindMessage(message);
  if (call == nullptr || call->send_ == 0 || call->response_complete_) return;
  side->port_.ReadMore(call->sender_, call->send_);
}

void CallerSide::End(CallHandle handle, bool complete) {
  const CallPtr call = Find(handle);
  if (call == nullptr) return;
  if (call->message_ == nullptr) {
    if (!call->wrote_body_ || !complete) {
      call->end_.outcome_ = CallOutcome::kUnknown;
      call->end_.code_ = ResultCode::kCallCancelled;
    }
    ReportEnd(*call, Now());
    calls_.erase(handle);
    return;
  }
  call->response_complete_ = true;
  if (!complete) {
    call->end_.outcome_ = CallOutcome::kUnknown;
    call->end_.code_ = ResultCode::kTargetAnswerInvalid;
    Abort(*call);
    return;
  }
  soup_message_body_complete(soup_server_message_get_response_body(call->message_.get()));
  soup_server_message_unpause(call->message_.get());
}

void CallerSide::Abort(CallerCall& call) {
  if (call.message_ == nullptr) return;
  GSocket* socket = SocketOf(call);
  if (socket == nullptr) return;
  // A reset, because a plain close would look like the end of a body that has no length.
  const linger reset{1, 0};
  setsockopt(g_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  g_socket_shutdown(socket, TRUE, TRUE, nullptr);
  // The next write fails, so that libsoup closes the connection.
  SoupMessageBody* body = soup_server_message_get_response_body(call.message_.get());
  if (call.responded_) soup_message_body_append(body, SOUP_MEMORY_STATIC, " ", 1);
  call.paused_ = false;
  soup_server_message_unpause(call.message_.get());
}

void CallerSide::OnWroteBody(SoupServerMessage* message, gpointer data) {
  if (const CallPtr call = static_cast<CallerSide*>(data)->FindMessage(message)) {
    call->wrote_body_ = true;
  }
}

void CallerSide::OnFinished(SoupServerMessage* message, gpointer data) {
  auto* side = static_cast<CallerSide*>(data);
  if (const CallPtr call = side->FindMessage(message)) side->HandleFinished(call);
}

void CallerSide::HandleFinished(const CallPtr& call) {
  by_message_.erase(call->message_.get());
  g_signal_handlers_disconnect_by_data(call->message_.get(), this);
  call->message_.reset();
  const bool ends_elsewhere = call->routed_ && !call->response_complete_;
  if (ends_elsewhere) {
    // The router still has to end the call. libsoup finishes a message with the last byte that its
    // length announces, which can be before the end of the response arrives here.
    if (!call->wrote_body_) TellGone(*call, ResultCode::kCallCancelled);
    return;
  }
  if (call->end_.status_ == 0) {
    call->end_.outcome_ = CallOutcome::kNotRun;
    call->end_.code_ = ResultCode::kCallCancelled;
    call->end_.caller_gone_ = true;
  }
  ReportEnd(*call, Now());
  calls_.erase(call->handle_);
}

void CallerSide::ReportEnd(CallerCall& call, Time now) {
  ClosePipe(call);
  reserved_ -= call.reserved_;
  call.reserved_ = 0;
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
