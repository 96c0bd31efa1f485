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

// Outcome of a call: a whole response, or why there is none.
struct CallResult {
  int status_ = 0;  // 0: no response.
  Headers headers_;
  std::string body_;
  Failure failure_ = Failure::kNone;
  bool timed_out_ = false;
};

// Calls one server with whole requests and whole responses.
class HttpClient {
 public:
  using Callback = std::function<void(CallResult)>;
  using CallId = std::uint64_t;

  HttpClient(Address address, const StreamOptions& options, std::size_t max_connections);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // `callback` is called once, never from within this function. An idempotent request that meets a
  // closed idle connection is sent again on a new one.
  CallId Call(std::string request, bool idempotent, Duration timeout, Callback callback);
  // Drops a call; its callback is not called. Unknown identifiers are ignored.
  void Cancel(CallId call);

 private:
  struct Exchange;
  void Begin(Exchange& exchange);
  void End(CallId call, CallResult result);
  void OnTimer();
  void SetTimer();

  Address address_;
  ConnectionPool pool_;
  std::size_t max_connections_;
  CallId next_call_ = 1;
  std::map<CallId, std::shared_ptr<Exchange>> exchanges_;
  eventloop::Timer timer_;
};

}  // namespace monsoonshelf::http
