// Part of CallerServer that ends connections in a graceful stop.
#include <sys/socket.h>

#include <set>
#include <utility>

#include "base/clock.h"
#include "entry/internal/call_headers.h"
#include "entry/internal/caller_server.h"

namespace monsoonshelf::entry {

namespace {

// Time for the first request of a new connection to arrive: a caller connects and sends in one
// step, but a lost segment is sent again only after 0.2 s to 1 s.
constexpr Duration kFirstRequestGracePeriod = std::chrono::seconds(1);
// Time for the rest of a partly read request.
constexpr Duration kRequestGracePeriod = std::chrono::seconds(5);

std::string FormatResponse(const ErrorResponse& error, const std::string& call_id) {
  const std::string body = error.reason_ + "\n";
  std::string text = "HTTP/1.1 " + std::to_string(error.status_) + " " +
                     soup_status_get_phrase(static_cast<guint>(error.status_)) +
                     "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n";
  text.append(kOutcomeHeader).append(": ").append(NameOf(kCallOutcomeNames, error.outcome_));
  text.append("\r\n").append(kResultCodeHeader).append(": ");
  text.append(std::to_string(static_cast<int>(error.code_)));
  if (!call_id.empty()) text.append("\r\n").append(kCallIdHeader).append(": ").append(call_id);
  text.append("\r\nContent-Length: ").append(std::to_string(body.size()));
  return text.append("\r\n\r\n").append(body);
}

ErrorResponse StoppingResponse() {
  return {503, CallOutcome::kNotRun, ResultCode::kHostStopping, "the entry host is stopping", ""};
}

}  // namespace

void CallerServer::OnRequestStarted(SoupServer*, SoupServerMessage* message, gpointer data) {
  auto* server = static_cast<CallerServer*>(data);
  if (auto* connection = server->connections_.Find(SocketOfMessage(message))) {
    connection->had_request_ = true;
    connection->request_started_ = Now();
    ++connection->open_requests_;
  }
}

void CallerServer::OnRequestEnded(SoupServer*, SoupServerMessage* message, gpointer data) {
  auto* server = static_cast<CallerServer*>(data);
  auto* connection = server->connections_.Find(SocketOfMessage(message));
  if (connection != nullptr && connection->open_requests_ > 0) --connection->open_requests_;
}

OpenWork CallerServer::CloseIdleConnections(Time now) {
  connections_.Sweep(now);
  RejectPartialRequests(now, kRequestGracePeriod);
  OpenWork work;
  work.calls_ = calls_.size();
  work.receiving_ = connections_.LingeringCount();
  std::set<GSocket*> busy;
  for (const auto& [handle, call] : calls_) busy.insert(SocketOf(*call));
  for (auto* connection : connections_.Open()) {
    GSocket* socket = connection->socket_.get();
    if (busy.contains(socket)) continue;
    if (connection->half_closed_) {
      if (IsReceiving(*connection, now)) ++work.receiving_;
      continue;
    }
    const bool may_have_request =
        connection->open_requests_ > 0 || g_socket_get_available_bytes(socket) > 0 ||
        (!connection->had_request_ && now - connection->accepted_ < kFirstRequestGracePeriod);
    if (may_have_request) {
      ++work.expected_requests_;
    } else {
      HalfClose(*connection, now);
      ++work.receiving_;
    }
  }
  return work;
}

void CallerServer::RejectPartialRequests(Time now, Duration age) {
  std::set<GSocket*> busy;
  std::vector<CallPtr> partial;
  for (const auto& [handle, call] : calls_) {
    busy.insert(SocketOf(*call));
    // libsoup writes a rejection only after the end of the request body. A call that was not
    // rejected has until its deadline, unless calls are cut.
    if (call->message_ != nullptr && !call->routed_ && !call->body_complete_ &&
        (call->responded_ || cutting_)) {
      partial.push_back(call);
    }
  }
  for (const auto& call : partial) {
    const auto* connection = connections_.Find(SocketOf(*call));
    if (connection == nullptr || now - connection->request_started_ < age) continue;
    ErrorResponse error = StoppingResponse();
    if (call->responded_) {
      error = {call->end_.status_, call->end_.outcome_, call->end_.code_,
               std::string(ResultCodeName(call->end_.code_)), ""};
    }
    RejectPartialRequest(call, error);
  }
  for (auto* connection : connections_.Open()) {
    if (connection->half_closed_ || connection->open_requests_ == 0 ||
        busy.contains(connection->socket_.get()) || now - connection->request_started_ < age) {
      continue;
    }
    WriteDirectly(connection->socket_.get(), FormatResponse(StoppingResponse(), ""));
    HalfClose(*connection, now);
  }
}

void CallerServer::RejectPartialRequest(const CallPtr& call, const ErrorResponse& error) {
  GSocket* socket = SocketOf(*call);
  if (socket == nullptr) return;
  WriteDirectly(socket, FormatResponse(error, call->head_ != nullptr ? call->head_->call_id_ : ""));
  if (auto* connection = connections_.Find(socket)) HalfClose(*connection, Now());
  call->end_.status_ = error.status_;
  call->end_.outcome_ = error.outcome_;
  call->end_.code_ = error.code_;
  calls_by_message_.erase(call->message_.get());
  g_signal_handlers_disconnect_by_data(call->message_.get(), this);
  call->message_.reset();
  ReportCallEnd(*call, Now());
  calls_.erase(call->handle_);
}

void CallerServer::WriteDirectly(GSocket* socket, const std::string& text) {
  // Fits into the send buffer, because nothing has been written on the connection since the
  // previous response. If it does not, the caller is not reading.
  const auto written =
      send(g_socket_get_fd(socket), text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  (void)written;
}

void CallerServer::CutPartialRequests(Time now) {
  cutting_ = true;
  RejectPartialRequests(now, Duration(0));
}

ErrorResponse CallerServer::CutResponse(const ErrorResponse& error) {
  if (error.code_ != ResultCode::kCallCancelled) return error;
  if (error.outcome_ == CallOutcome::kNotRun) return StoppingResponse();
  return {504, error.outcome_, ResultCode::kStopCutCalls,
          "the stop of the entry host cut the call after it was sent", ""};
}

}  // namespace monsoonshelf::entry
