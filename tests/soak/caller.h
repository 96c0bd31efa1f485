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

// A caller that asks the directory of a zone, keeps the answer and its connection for a while, and
// checks each response.
class Caller : private http::IExchangeHandler {
 public:
  Caller(std::string name, std::vector<std::string> directories, Ledger& ledger,
         std::uint64_t seed);
  ~Caller() override;

  void Stop() { stopped_ = true; }
  bool IsIdle() const { return !busy_; }
  // From now on answers count for the recovery.
  void CountRecovery() { recovering_ = true; }

 private:
  void Next(Duration pause);
  void OnTimer();
  void AskDirectory();
  void Send();
  void Finish();

  bool OnHead(http::ResponseHead& head) override;
  void OnBody(std::string& body) override;
  void OnDone() override;
  void OnFailed(http::Failure failure, bool sent) override;

  std::string name_;
  std::vector<std::string> directories_;
  Ledger& ledger_;
  std::mt19937_64 random_;
  std::unique_ptr<http::HttpClient> directory_;
  std::vector<std::string> addresses_;
  std::set<std::string> failed_addresses_;
  std::string address_;
  Time addresses_end_{};
  http::ClientConnectionPtr connection_;
  std::string id_;
  std::string expected_;
  int status_ = 0;
  bool signed_ = false;
  std::string body_;
  Time deadline_{};
  std::uint64_t number_ = 0;
  bool busy_ = false;
  bool counted_ = false;
  bool stopped_ = false;
  bool recovering_ = false;
  eventloop::Timer timer_;
};

}  // namespace monsoonshelf::soak
