#include <atomic>
#include <mutex>
#include <random>

#include "review/standins.h"

// All entry hosts of a zone are killed at the same moment and start again, while the workers of a
// service are cold. Only one host of the zone may send requests to a cold worker.

namespace {

using review::Headers;
using review::Record;

constexpr int kHosts = 6;
constexpr int kWorkers = 2;
constexpr int kSlots = 2;
constexpr int kWorkMs = 96;
constexpr int kColdMs = 3000;
constexpr double kRatePerS = 72;
constexpr int kRestartDelayMs = 500;
// warmupPerS x warmupFactor + warmupSlack of the settings and the configuration.
constexpr double kLimit = 3.6 * 1.5 + 5;

struct Arrival {
  std::string worker_;
  double sent_ms_ = 0;
  double arrived_ms_ = 0;
};

std::mutex mutex;
std::map<std::string, double> sent;  // By attempt identifier.
std::vector<Arrival> arrivals;       // At cold workers.
std::atomic<bool> ended{false};

struct Worker {
  explicit Worker(const std::string& ip, std::string id)
      : id_(std::move(id)), server_(ip, [this](review::Socket& socket) { Serve(socket); }) {}

  int ColdLeftMs() const {
    return std::max(0, static_cast<int>(cold_until_ms_ - review::ElapsedMs()));
  }

  void Serve(review::Socket& socket) {
    while (auto request = review::ReadRequestHead(socket)) {
      const int present = present_;
      const std::string load = std::to_string(std::min(present, kSlots)) + "," +
                               std::to_string(std::max(0, present - kSlots)) + "," +
                               std::to_string(kSlots) + ",100";
      const int cold_ms = ColdLeftMs();
      if (request->target_ == "/healthz") {
        Headers headers = {{"Instance-Id", id_}, {"Server-Load", load}};
        if (cold_ms > 0) headers.emplace_back("Warmup-Ms", std::to_string(cold_ms));
        if (!socket.Send(review::FormatResponse(200, headers, ""))) return;
        continue;
      }
      if (!review::ReadRequestBody(socket, *request)) return;
      const std::string attempt = review::Header(request->headers_, "Attempt-Id");
      if (cold_ms > 0) {
        const std::lock_guard<std::mutex> lock(mutex);
        arrivals.push_back({id_, sent[attempt], review::ElapsedMs()});
      }
      if (cold_ms > 0)
        Record("worker " + id_ + ", cold for " + std::to_string(cold_ms) + " ms more, gets " +
               attempt);
      const int ahead = present_++;
      if (ahead < kSlots + 4) {
        review::SleepMs(kWorkMs * (cold_ms > 0 ? 2 : 1) * (1 + ahead / kSlots));
      }
      --present_;
      const Headers echo = {{"Attempt-Id", attempt}};
      if (ahead >= kSlots + 4) {
        Headers shed = echo;
        shed.emplace_back("Not-Executed", "1");
        if (!socket.Send(review::FormatResponse(503, shed, ""))) return;
        continue;
      }
      Headers headers = echo;
      headers.emplace_back("Server-Signature", id_);
      if (!socket.Send(review::FormatResponse(200, headers, "done"))) return;
    }
  }

  std::string id_;
  std::atomic<double> cold_until_ms_{0};
  std::atomic<int> present_{0};
  review::Server server_;
};

std::atomic<int> answered{0};
std::atomic<int> refused{0};
std::atomic<int> failed{0};

void SendRequest(const std::vector<std::unique_ptr<review::Host>>& hosts, int number) {
  const std::string id = "attempt-" + std::to_string(number);
  static std::atomic<unsigned> seed{1};
  std::mt19937 random(seed++);
  review::Socket socket;
  for (int tries = 0; tries < 2; ++tries) {
    if (socket.Connect(hosts[random() % hosts.size()]->Front())) break;
    if (tries == 1) {
      ++failed;
      return;
    }
  }
  {
    const std::lock_guard<std::mutex> lock(mutex);
    sent[id] = review::ElapsedMs();
  }
  socket.Send("GET /page/" + std::to_string(number) + " HTTP/1.1\r\nHost: " + review::kHostName +
              "\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: 2500\r\n\r\n");
  const review::Response response = review::ReadResponse(socket, review::ElapsedMs() + 2500);
  ++(response.status_ == 200 ? answered : response.status_ == 503 ? refused : failed);
}

}  // namespace

int main() {
  review::Store store(review::NextIp());
  store.Put(
      "config", "main",
      review::MakeConfiguration(7, {{"r-page", "safe", "/page/", "cairn-lookup", 1200, 600, 2}}));
  const std::string ip = review::NextIp();
  std::vector<std::unique_ptr<Worker>> workers;
  workers.reserve(kWorkers);
  for (int i = 0; i < kWorkers; ++i) {
    workers.push_back(std::make_unique<Worker>(ip, "i-" + std::to_string(1000 + i)));
  }
  const auto write_entries = [&] {
    for (const auto& worker : workers) {
      const auto [spec, status] = review::MakeWorkerEntry(
          worker->server_.Address(), "cairn-lookup", "zone-a", kSlots, worker->ColdLeftMs(), 1);
      store.Put("servers", worker->id_, spec, status);
    }
  };
  write_entries();
  std::vector<std::unique_ptr<review::Host>> hosts;
  for (int i = 0; i < kHosts; ++i) {
    hosts.push_back(std::make_unique<review::Host>("front-a-" + std::to_string(i + 1), "zone-a",
                                                   review::NextIp(), store.Address(),
                                                   review::Folder()));
    hosts.back()->Start(true);
  }
  for (const auto& host : hosts) {
    if (!host->WaitUntilReady(5000)) review::EndCase(2, "a host is not ready");
  }
  review::SleepMs(8000);
  std::thread([&hosts] {
    for (int number = 0; !ended; ++number) {
      std::thread([&hosts, number] { SendRequest(hosts, number); }).detach();
      review::SleepMs(static_cast<int>(1000 / kRatePerS));
    }
  }).detach();
  for (int round = 0; round < 4; ++round) {
    review::SleepMs(5000);
    for (const auto& worker : workers) worker->cold_until_ms_ = review::ElapsedMs() + kColdMs;
    write_entries();
    Record("round " + std::to_string(round + 1) + ": the workers are cold");
    if (!review::HasTrouble()) continue;
    Record("all entry hosts are killed");
    for (const auto& host : hosts) host->Kill();
    review::SleepMs(kRestartDelayMs);
    for (const auto& host : hosts) host->Start(false);
    Record("all entry hosts were started again");
  }
  review::SleepMs(4000);
  ended = true;
  const std::lock_guard<std::mutex> lock(mutex);
  int highest = 0;
  std::string where;
  for (const Arrival& first : arrivals) {
    // Only requests that were also sent in that second count.
    int strict = 0;
    for (const Arrival& other : arrivals) {
      if (other.worker_ == first.worker_ && other.sent_ms_ >= first.sent_ms_ &&
          other.arrived_ms_ < first.sent_ms_ + 1000) {
        ++strict;
      }
    }
    if (strict > highest) {
      highest = strict;
      where = first.worker_ + " at " + std::to_string(static_cast<int>(first.sent_ms_)) + " ms";
    }
  }
  const std::string counts =
      "at most " + std::to_string(highest) + " requests in one second at a cold worker (" + where +
      "), allowed: 10.4; " + std::to_string(answered) + " answered, " + std::to_string(refused) +
      " refused, " + std::to_string(failed) + " failed";
  if (highest > kLimit) review::EndCase(1, "FAILBACK broken: " + counts);
  if (arrivals.empty()) review::EndCase(2, counts);
  review::EndCase(0, counts);
}
