// Measures the latency that one entry host adds to a call, with targets that respond immediately
// and an open-loop caller, all on loopback.
// Usage: entry_bench CALLS_PER_SECOND SECONDS DATA_TASKS [POST]
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <deque>
#include <iostream>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "base/clock.h"
#include "base/key_value.h"
#include "entry/entry_host.h"

namespace monsoonshelf::bench {

namespace {

constexpr int kTargets = 16;
constexpr int kCallerConnections = 64;

int Listen(std::string& address) {
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in local{};
  local.sin_family = AF_INET;
  local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const int bound = bind(descriptor, reinterpret_cast<sockaddr*>(&local), sizeof local);
  if (bound != 0 || listen(descriptor, 128) != 0) std::abort();
  socklen_t size = sizeof local;
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&local), &size);
  address = "127.0.0.1:" + std::to_string(ntohs(local.sin_port));
  return descriptor;
}

int Connect(const std::string& address) {
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(10))));
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(descriptor, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) std::abort();
  const int enabled = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
  return descriptor;
}

void AddToPoller(int poller, int descriptor) {
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.fd = descriptor;
  epoll_ctl(poller, EPOLL_CTL_ADD, descriptor, &event);
}

// Returns the call identifier in a request head, or an empty string if it has none.
std::string CallIdOf(const std::string& head) {
  constexpr std::string_view kName = "Monsoonshelf-Call-Id: ";
  const std::size_t start = head.find(kName);
  if (start == std::string::npos) return "";
  return head.substr(start + kName.size(), head.find('\r', start) - start - kName.size());
}

// All targets, on one thread. Requests are small and are buffered until they are complete.
class FakeTargets {
 public:
  FakeTargets() : poller_(epoll_create1(0)) {
    for (int i = 0; i < kTargets; ++i) {
      std::string address;
      listeners_.push_back(Listen(address));
      addresses_.push_back(address);
      AddToPoller(poller_, listeners_.back());
    }
    thread_ = std::thread([this] { Run(); });
  }
  ~FakeTargets() {
    stop_ = true;
    thread_.join();
  }
  const std::vector<std::string>& Addresses() const { return addresses_; }

 private:
  void Run() {
    while (!stop_) {
      epoll_event events[64];
      const int count = epoll_wait(poller_, events, 64, 50);
      for (int i = 0; i < count; ++i) OnReadable(events[i].data.fd);
    }
  }

  void OnReadable(int descriptor) {
    if (std::find(listeners_.begin(), listeners_.end(), descriptor) != listeners_.end()) {
      const int accepted = accept(descriptor, nullptr, nullptr);
      const int enabled = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
      AddToPoller(poller_, accepted);
      return;
    }
    char bytes[16384];
    const auto size = recv(descriptor, bytes, sizeof bytes, 0);
    if (size <= 0) {
      close(descriptor);
      return;
    }
    std::string& buffer = buffers_[descriptor];
    buffer.append(bytes, static_cast<std::size_t>(size));
    const std::size_t end = buffer.find("\r\n\r\n");
    if (end == std::string::npos) return;
    const bool post = buffer.starts_with("POST");
    if (post && buffer.size() < end + 4 + 7) return;
    const std::string response = "HTTP/1.1 200 OK\r\nMonsoonshelf-Call-Id: " + CallIdOf(buffer) +
                                 "\r\nMonsoonshelf-Load: in_flight=1;slots=2;state=ready;epoch=1"
                                 "\r\nContent-Length: 12\r\n\r\nhello caller";
    buffer.clear();
    send(descriptor, response.data(), response.size(), MSG_NOSIGNAL);
  }

  int poller_;
  std::vector<int> listeners_;
  std::vector<std::string> addresses_;
  std::map<int, std::string> buffers_;
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

struct Samples {
  std::mutex mutex_;
  std::vector<double> added_latencies_ms_;  // Total time of a call less its time in the target.
  std::map<std::string, int> result_codes_;
};

double Percentile(std::vector<double>& values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

// Issues calls at a fixed rate with exponential intervals, on a fixed set of connections. Latencies
// count from the time at which a call was due, also if no connection was idle.
struct OpenLoopCaller {
  std::string address_;
  bool post_ = false;
  int poller_ = epoll_create1(0);
  std::deque<int> idle_connections_;
  std::map<int, Time> due_times_;
  std::map<int, std::string> buffers_;
  std::deque<Time> overdue_calls_;
  std::vector<double> total_latencies_ms_;
  std::int64_t next_id_ = 0;
  std::int64_t error_count_ = 0;

  void Send(int descriptor, Time due) {
    due_times_[descriptor] = due;
    const std::string id = "h1.7." + std::to_string(WallMicroseconds() / 60'000'000) + ".call" +
                           std::to_string(1000000 + next_id_++);
    const std::string text = (post_ ? "POST" : "GET") +
                             std::string(" /s/svc/page HTTP/1.1\r\nHost: e\r\n") +
                             "Monsoonshelf-Call-Id: " + id +
                             (post_ ? "\r\nContent-Length: 7\r\n\r\nentry=1" : "\r\n\r\n");
    send(descriptor, text.data(), text.size(), MSG_NOSIGNAL);
  }

  // libsoup writes head and body separately, so a response may arrive in two parts.
  void Receive(int descriptor) {
    char bytes[16384];
    const auto size = recv(descriptor, bytes, sizeof bytes, 0);
    if (size <= 0) {
      ++error_count_;
      epoll_ctl(poller_, EPOLL_CTL_DEL, descriptor, nullptr);
      return;
    }
    std::string& buffer = buffers_[descriptor];
    buffer.append(bytes, static_cast<std::size_t>(size));
    const std::size_t end = buffer.find("\r\n\r\n");
    const std::size_t length = buffer.find("Content-Length: ");
    if (end == std::string::npos ||
        buffer.size() < end + 4 + std::strtoul(buffer.c_str() + length + 16, nullptr, 10)) {
      return;
    }
    if (!buffer.starts_with("HTTP/1.1 200")) ++error_count_;
    buffer.clear();
    total_latencies_ms_.push_back(ToMilliseconds(Now() - due_times_[descriptor]));
    if (overdue_calls_.empty()) {
      idle_connections_.push_back(descriptor);
    } else {
      const Time due = overdue_calls_.front();
      overdue_calls_.pop_front();
      Send(descriptor, due);
    }
  }

  void Run(double rate, double seconds) {
    for (int i = 0; i < kCallerConnections; ++i) {
      idle_connections_.push_back(Connect(address_));
      AddToPoller(poller_, idle_connections_.back());
    }
    Random random(1);
    std::exponential_distribution<double> interarrival_us(rate / 1e6);
    const Time end = Now() + Duration(static_cast<std::int64_t>(seconds * 1e6));
    Time due = Now();
    while (due < end || idle_connections_.size() < kCallerConnections) {
      const Time now = Now();
      if (now > end + std::chrono::seconds(5)) return;
      while (due <= now && due < end) {
        if (idle_connections_.empty()) {
          overdue_calls_.push_back(due);
        } else {
          const int descriptor = idle_connections_.front();
          idle_connections_.pop_front();
          Send(descriptor, due);
        }
        due += Duration(static_cast<std::int64_t>(interarrival_us(random)));
      }
      epoll_event events[64];
      const int count = epoll_wait(poller_, events, 64, 0);
      for (int i = 0; i < count; ++i) Receive(events[i].data.fd);
    }
  }
};

entry::EntryViewPtr MakeEntryView(const std::vector<std::string>& targets,
                                  const std::string& address) {
  auto snapshot = std::make_shared<configuration::Snapshot>();
  auto& service = snapshot->services_["svc"];
  service.name_ = "svc";
  for (const auto& target : targets) {
    service.targets_.push_back({"t" + target, "svc", "z1", target, true});
  }
  records::Rule reads;
  reads.service_ = "svc";
  reads.method_ = "GET";
  reads.idempotent_ = true;
  records::Rule writes;
  writes.service_ = "svc";
  service.rules_ = {{"reads", reads}, {"writes", writes}};
  auto view = std::make_shared<entry::EntryView>();
  view->snapshot_ = snapshot;
  view->has_configuration_ = true;
  coordination::MemberUpdate member;
  member.name_ = "h1";
  member.incarnation_ = 7;
  member.zone_ = "z1";
  member.call_address_ = address;
  view->members_ = {member};
  view->placements_[{"svc", "z1"}] = {member, {member}};
  view->assignments_[{"svc", "z1"}] = {"svc", "z1", Now() + std::chrono::hours(1), Time{}};
  return view;
}

double ProcessorSeconds(int who) {
  rusage usage{};
  getrusage(who, &usage);
  return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
         static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1e6;
}

int RunBenchmark(double rate, double seconds, int data_tasks, bool post) {
  FakeTargets targets;
  Samples samples;
  entry::EntrySettings settings;
  settings.name_ = "h1";
  settings.incarnation_ = 7;
  settings.zone_ = "z1";
  settings.data_tasks_ = data_tasks;
  entry::EntryCallbacks callbacks;
  callbacks.call_end_ = [&](const entry::CallEnd& end) {
    const std::lock_guard lock(samples.mutex_);
    if (end.outcome_ == CallOutcome::kAnswered) {
      samples.added_latencies_ms_.push_back(ToMilliseconds(end.total_ - end.in_target_));
    }
    ++samples.result_codes_[std::string(ResultCodeName(end.code_))];
  };
  entry::EntryHost host(settings, callbacks);
  const bool started = Recover(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(host.Start());
        return true;
      },
      [](const Error& error) {
        std::cerr << error.message_ << "\n";
        return false;
      });
  if (!started) return 1;
  host.SetView(MakeEntryView(targets.Addresses(), host.Address()));
  // During these calls the entry host learns that the targets are ready.
  OpenLoopCaller warmup;
  warmup.address_ = host.Address();
  warmup.Run(500, 2);
  {
    const std::lock_guard lock(samples.mutex_);
    samples.added_latencies_ms_.clear();
    samples.result_codes_.clear();
  }
  OpenLoopCaller caller;
  caller.address_ = host.Address();
  caller.post_ = post;
  caller.next_id_ = 1'000'000;
  const double process_before = ProcessorSeconds(RUSAGE_SELF);
  const double caller_before = ProcessorSeconds(RUSAGE_THREAD);
  caller.Run(rate, seconds);
  const double used_s = ProcessorSeconds(RUSAGE_SELF) - process_before -
                        (ProcessorSeconds(RUSAGE_THREAD) - caller_before);
  const std::lock_guard lock(samples.mutex_);
  KeyValues fields = {
      {"event", "entry_bench"},
      {"rate", std::to_string(static_cast<int>(rate))},
      {"data_tasks", std::to_string(data_tasks)},
      {"method", post ? "POST" : "GET"},
      {"answered", std::to_string(samples.added_latencies_ms_.size())},
      {"answered_per_s",
       std::to_string(static_cast<double>(samples.added_latencies_ms_.size()) / seconds)},
      {"bad", std::to_string(caller.error_count_)},
      {"added_p50_ms", std::to_string(Percentile(samples.added_latencies_ms_, 0.5))},
      {"added_p99_ms", std::to_string(Percentile(samples.added_latencies_ms_, 0.99))},
      {"total_p50_ms", std::to_string(Percentile(caller.total_latencies_ms_, 0.5))},
      {"total_p99_ms", std::to_string(Percentile(caller.total_latencies_ms_, 0.99))},
      // Processor time of entry host and targets, without the caller thread.
      {"cores", std::to_string(used_s / seconds)}};
  for (const auto& [code, count] : samples.result_codes_) {
    fields.emplace_back("code_" + code, std::to_string(count));
  }
  std::cout << FormatKeyValues(fields) << std::endl;
  return 0;
}

}  // namespace

}  // namespace monsoonshelf::bench

int main(int argc, char** argv) {
  if (argc < 4) {
    std::cerr << "usage: entry_bench CALLS_PER_SECOND SECONDS DATA_TASKS [POST]\n";
    return 2;
  }
  return monsoonshelf::bench::RunBenchmark(std::stod(argv[1]), std::stod(argv[2]),
                                           std::stoi(argv[3]), argc > 4);
}
