#pragma once

#include <deque>
#include <memory>
#include <random>
#include <string>

#include "eventloop/timer.h"
#include "http/stream.h"
#include "tests/soak/hosts.h"
#include "tests/soak/target.h"

namespace monsoonshelf::soak {

// Sends several requests at once on one connection to a host, without waiting for the responses,
// and checks that these come in the order of the requests. Some of the requests in the middle are
// not idempotent, and some responses are large.
class PipeliningCaller : private http::IStreamHandler {
 public:
  PipeliningCaller(std::string name, const Host& host, SoakResults& results, std::uint64_t seed);
  ~PipeliningCaller() override;

  // Sends no more requests; requests in progress are completed.
  void Stop() { stopped_ = true; }

 private:
  struct Request {
    LostRequest sent_;
    std::string expected_body_;
  };

  void OnTimer();
  void SendBurst();
  std::string MakeRequest();
  void OnResponse(const http::ResponseHead& head, const std::string& body);
  // Ends the connection. A request that a target got and that has no response is lost.
  void Close(http::Failure failure, bool gave_up);

  void OnConnected() override {}
  void OnDataReceived() override;
  void OnOutputFlushed() override {}
  void OnClosed(http::Failure failure) override { Close(failure, false); }

  std::string name_;
  const Host& host_;
  SoakResults& results_;
  std::mt19937_64 random_;
  std::unique_ptr<http::Stream> stream_;
  std::unique_ptr<http::ResponseParser> parser_;  // Of the response to the first of `waiting_`.
  std::deque<Request> waiting_;
  Time burst_at_{};
  Duration stalled_before_{};
  std::uint64_t number_ = 0;
  bool stopped_ = false;
  eventloop::Timer timer_;
};

}  // namespace monsoonshelf::soak
