#pragma once

#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "eventloop/timer.h"
#include "http/client_connection.h"
#include "http/http_client.h"
#include "tests/soak/target.h"

namespace monsoonshelf::soak {

// A caller that sends one request after the other and checks each response. It gets the addresses
// of entry hosts from a directory of its zone and reuses them until their TTL ends, and its
// connection as long as it is usable.
class Caller : private http::IExchangeHandler {
 public:
  Caller(std::string name, std::vector<std::string> directories, SoakResults& results,
         std::uint64_t seed);
  ~Caller() override;

  // Sends no more requests; a request in progress is completed.
  void Stop() { stopped_ = true; }
  bool IsIdle() const { return !request_in_progress_; }
  // Requests sent from now on count for the check that the hosts have recovered.
  void StartCountingRecovery() { counting_recovery_ = true; }

 private:
  void ScheduleNext(Duration pause);
  void OnTimer();
  void QueryDirectory();
  void Send();
  void AddLostRequest(http::Failure failure);
  void Finish();

  bool OnHead(http::ResponseHead& head) override;
  void OnBody(std::string& body) override;
  void OnDone() override;
  void OnFailed(http::Failure failure, bool sent) override;

  std::string name_;
  std::vector<std::string> directories_;
  SoakResults& results_;
  std::mt19937_64 random_;
  std::unique_ptr<http::HttpClient> directory_client_;
  std::vector<std::string> addresses_;
  std::set<std::string> failed_addresses_;
  std::string address_;
  Time addresses_expire_at_{};
  http::ClientConnectionPtr connection_;
  std::string id_;
  LostRequest request_;  // The current request, in case it gets lost.
  Duration stalled_before_{};
  std::string expected_body_;
  int status_ = 0;
  bool has_signature_ = false;
  std::string body_;
  Time deadline_{};
  std::uint64_t number_ = 0;
  bool request_in_progress_ = false;
  bool counts_for_recovery_ = false;
  bool stopped_ = false;
  bool counting_recovery_ = false;
  eventloop::Timer timer_;
};

}  // namespace monsoonshelf::soak
