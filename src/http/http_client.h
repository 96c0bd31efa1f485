#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/address.h"
#include "base/base_types.h"
#include "eventloop/timer.h"
#include "http/connection_pool.h"
#include "http/http_types.h"

namespace monsoonshelf::http {

// Result of a call: a complete response, or the reason why there is none.
struct CallResult {
  int status_ = 0;  // 0 if there is no complete response.
  Headers headers_;
  std::string body_;
  Failure failure_ = Failure::kNone;
  bool timed_out_ = false;
};

// Maximum size of a response that HttpClient accepts, in bytes. A larger one fails with kTooLarge.
// The largest responses are compressed record lists of other hosts and list pages of the store,
// which have a few megabytes at most.
inline constexpr std::uint64_t kMaxClientResponseBytes = std::uint64_t{16} << 20;

// HTTP client for one server, with pooled connections. Requests and responses are buffered whole.
class HttpClient {
 public:
  using Callback = std::function<void(CallResult)>;
  using CallId = std::uint64_t;

  HttpClient(Address address, const StreamOptions& options, std::size_t max_connections);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Sends a serialized request. `callback` is called once, never from within this function. If a
  // reused connection fails before a response arrives, an idempotent request is sent again on a new
  // connection. If `max_connections` are in use, the request is not sent and the call times out.
  CallId Call(std::string request, bool idempotent, Duration timeout, Callback callback);
  // Cancels a call and closes its connection; its callback is not called. Unknown identifiers are
  // ignored.
  void Cancel(CallId call);

 private:
  struct Exchange;
  void StartExchange(Exchange& exchange);
  void FinishCall(CallId call, CallResult result);
  void OnDeadlineTimer();
  void UpdateDeadlineTimer();

  Address address_;
  ConnectionPool pool_;
  std::size_t max_connections_;
  CallId next_call_id_ = 1;
  std::map<CallId, std::shared_ptr<Exchange>> exchanges_;
  eventloop::Timer deadline_timer_;
};

}  // namespace monsoonshelf::http
