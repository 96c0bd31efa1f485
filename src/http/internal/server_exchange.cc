#include "http/server_exchange.h"

#include <utility>

#include "base/clock.h"
#include "http/message_writer.h"
#include "http/server_connection.h"

namespace monsoonshelf::http {

void ServerExchange::AllowOverlap() {
  allows_overlap_ = true;
  if (connection_ != nullptr) connection_->ReadRequests();
}

void ServerExchange::Respond(int status, const Headers& headers, std::string_view body,
                             bool close) {
  if (connection_ == nullptr || state_ != State::kWaiting) return;
  state_ = State::kComplete;
  responded_at_ = Now();
  status_ = status;
  headers_ = headers;
  body_bytes_ = body.size();
  if (!is_head_) {
    held_body_ = body;
    connection_->AddHeldBytes(body.size());
  }
  if (close) connection_->closes_ = true;
  connection_->WriteResponses();
}

void ServerExchange::BeginChunkedResponse(int status, const Headers& headers, bool close) {
  if (connection_ == nullptr || state_ != State::kWaiting) return;
  state_ = State::kStreaming;
  responded_at_ = Now();
  status_ = status;
  headers_ = headers;
  chunked_ = true;
  if (close) connection_->closes_ = true;
  connection_->WriteResponses();
}

void ServerExchange::WriteChunk(std::string_view bytes) {
  if (connection_ == nullptr || state_ != State::kStreaming || bytes.empty() || is_head_) return;
  // The handler may close the connection while bytes are written.
  const ServerConnectionPtr connection = connection_->shared_from_this();
  if (head_written_) {
    connection->stream_->Write(FormatChunk(bytes));
  } else {
    held_body_.append(bytes);
    connection->AddHeldBytes(bytes.size());
  }
  connection->UpdateAccount();
}

void ServerExchange::EndChunkedResponse() {
  if (connection_ == nullptr || state_ != State::kStreaming) return;
  state_ = State::kComplete;
  connection_->WriteResponses();
}

bool ServerExchange::Retract() {
  if (connection_ == nullptr || state_ != State::kStreaming || head_written_) return false;
  connection_->RemoveHeldBytes(held_body_.size());
  std::string().swap(held_body_);
  headers_.clear();
  status_ = 0;
  chunked_ = false;
  state_ = State::kWaiting;
  return true;
}

void ServerExchange::Abort() {
  if (connection_ == nullptr || state_ == State::kComplete) return;
  state_ = State::kAborted;
  // Nothing behind it can be answered.
  connection_->closes_ = true;
  connection_->WriteResponses();
}

void ServerExchange::CloseConnection() {
  if (connection_ == nullptr) return;
  state_ = State::kAborted;
  ServerConnection& connection = *connection_;
  const ServerConnectionPtr keep_alive = connection.shared_from_this();
  connection.ReportDisconnect(connection.CloseNow());
}

bool ServerExchange::IsFirst() const {
  return connection_ != nullptr && connection_->exchanges_.front().get() == this;
}

bool ServerExchange::HasFollowers() const {
  return connection_ != nullptr &&
         (connection_->exchanges_.back().get() != this || connection_->HasUnstartedInput());
}

std::size_t ServerExchange::UnsentBytes() const {
  if (connection_ == nullptr) return 0;
  return head_written_ ? connection_->stream_->UnsentBytes() : held_body_.size();
}

void ServerExchange::NotifyTurn(OnTurn on_turn) {
  if (turn_reported_) return on_turn(waited_);
  on_turn_ = std::move(on_turn);
}

void ServerExchange::ReportTurn(std::optional<Duration> waited) {
  if (turn_reported_) return;
  turn_reported_ = true;
  waited_ = waited;
  if (const OnTurn on_turn = std::exchange(on_turn_, nullptr)) on_turn(waited);
}

}  // namespace monsoonshelf::http
