#include "http/http_client.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace monsoonshelf::http {

struct HttpClient::Exchange : IExchangeHandler {
  bool OnHead(ResponseHead& head) override {
    result_.status_ = head.status_;
    result_.headers_ = head.headers_;
    connection_->LimitResponse(kMaxClientResponseBytes);
    return true;
  }
  void OnBody(std::string& body) override {
    result_.body_.append(body);
    body.clear();
  }
  void OnDone() override { client_->FinishCall(id_, std::move(result_)); }
  void OnFailed(Failure failure, bool /*sent*/) override {
    const bool reused_connection_failed =
        reused_connection_ && result_.status_ == 0 &&
        (failure == Failure::kClosed || failure == Failure::kReset);
    if (reused_connection_failed && idempotent_) {
      client_->pool_.Release(connection_);
      client_->pool_.CloseIdleConnections(FormatAddress(client_->address_));
      return client_->StartExchange(*this);
    }
    client_->FinishCall(id_, {0, {}, {}, failure, false});
  }

  HttpClient* client_ = nullptr;
  CallId id_ = 0;
  std::string request_;
  bool idempotent_ = false;
  bool reused_connection_ = false;
  Time deadline_{};
  Callback callback_;
  ClientConnectionPtr connection_;
  CallResult result_;
};

HttpClient::HttpClient(Address address, const StreamOptions& options, std::size_t max_connections)
    : address_(std::move(address)),
      pool_(options),
      max_connections_(max_connections),
      deadline_timer_(g_main_context_get_thread_default(), [this] { OnDeadlineTimer(); }) {}

HttpClient::~HttpClient() {
  for (const auto& [id, exchange] : exchanges_) {
    if (exchange->connection_ != nullptr) exchange->connection_->Cancel();
  }
}

HttpClient::CallId HttpClient::Call(std::string request, bool idempotent, Duration timeout,
                                    Callback callback) {
  auto exchange = std::make_shared<Exchange>();
  exchange->client_ = this;
  exchange->id_ = next_call_id_++;
  exchange->request_ = std::move(request);
  exchange->idempotent_ = idempotent;
  exchange->deadline_ = Now() + timeout;
  exchange->callback_ = std::move(callback);
  exchanges_[exchange->id_] = exchange;
  StartExchange(*exchange);
  UpdateDeadlineTimer();
  return exchange->id_;
}

void HttpClient::StartExchange(Exchange& exchange) {
  exchange.connection_ = pool_.Acquire(address_, max_connections_);
  // If all connections are in use, the request is never sent and the call ends by its timeout.
  if (exchange.connection_ == nullptr) return;
  exchange.reused_connection_ = exchange.connection_->WasUsed();
  exchange.connection_->SendRequest(exchange.request_, false, exchange);
}

void HttpClient::Cancel(CallId call) {
  const auto found = exchanges_.find(call);
  if (found == exchanges_.end()) return;
  const auto exchange = std::move(found->second);
  exchanges_.erase(found);
  if (exchange->connection_ == nullptr) return;
  exchange->connection_->Cancel();
  pool_.Release(exchange->connection_);
}

void HttpClient::FinishCall(CallId call, CallResult result) {
  const auto found = exchanges_.find(call);
  if (found == exchanges_.end()) return;
  const auto exchange = std::move(found->second);
  exchanges_.erase(found);
  if (exchange->connection_ != nullptr) pool_.Release(exchange->connection_);
  exchange->callback_(std::move(result));
}

void HttpClient::OnDeadlineTimer() {
  const Time now = Now();
  std::vector<CallId> due;
  for (const auto& [id, exchange] : exchanges_) {
    if (exchange->deadline_ <= now) due.push_back(id);
  }
  for (const CallId id : due) {
    const auto found = exchanges_.find(id);
    if (found == exchanges_.end()) continue;
    const auto exchange = found->second;
    if (exchange->connection_ != nullptr) exchange->connection_->Cancel();
    // If a kept connection has fallen silent, the other ones may have too. The next call must not
    // wait for each of them in turn.
    pool_.CloseIdleConnections(FormatAddress(address_));
    FinishCall(id, {0, {}, {}, Failure::kNone, true});
  }
  pool_.CloseExpired(now);
  UpdateDeadlineTimer();
}

void HttpClient::UpdateDeadlineTimer() {
  Time next = Time::max();
  for (const auto& [id, exchange] : exchanges_) next = std::min(next, exchange->deadline_);
  if (next == Time::max()) return;
  if (!deadline_timer_.IsActive() || next < deadline_timer_.Deadline()) deadline_timer_.Set(next);
}

}  // namespace monsoonshelf::http
