#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

// Stand-ins of the review cases: the platform's store, workers and clients on loopback, and the
// entry hosts as processes. They use blocking sockets and one thread per connection, and share no
// code with the project, so that a fault of its HTTP code cannot hide itself.
namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Milliseconds since the start of the case.
double ElapsedMs();
void SleepMs(int milliseconds);
// Returns whether the disruption of the case is played: false with TROUBLE=0.
bool HasTrouble();
// Appends a line with the time to record.txt and to standard output.
void Record(const std::string& line);
// Ends the case with "RESULT ..." and this exit code: 0 rule held, 1 rule broken, 2 not run.
[[noreturn]] void EndCase(int code, const std::string& reason);

using Headers = std::vector<std::pair<std::string, std::string>>;
// Returns the value of the first header of this name, empty if there is none.
std::string Header(const Headers& headers, const std::string& name);

// A TCP socket with blocking calls and a receive timeout.
class Socket {
 public:
  explicit Socket(int descriptor = -1) : descriptor_(descriptor) {}
  ~Socket() { Close(); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  // Returns whether the connection was established.
  bool Connect(const std::string& address);
  bool Send(std::string_view bytes);
  // Receives some bytes into `buffer_`. Returns false at the end of the connection or a timeout.
  bool Receive();
  void SetReceiveTimeout(int timeout_ms);
  void Close();
  int Descriptor() const { return descriptor_; }

  std::string buffer_;  // Bytes that were received and not consumed.
  bool reset_ = false;  // The connection ended with an error.
  bool timed_out_ = false;

 private:
  int descriptor_;
};

struct Request {
  std::string method_;
  std::string target_;
  Headers headers_;
  std::size_t body_bytes_ = 0;  // As announced by Content-Length.
  std::string body_;            // Empty if it was not read yet.
};

// Reads the head of a request.
std::optional<Request> ReadRequestHead(Socket& socket);
bool ReadRequestBody(Socket& socket, Request& request);
std::string FormatResponse(int status, const Headers& headers, std::string_view body);

// What a client sees of a response.
struct Response {
  int status_ = 0;         // 0: no response.
  bool complete_ = false;  // As far as the protocol tells.
  bool ended_ = false;     // The response is complete, or the connection has ended.
  Headers headers_;
  std::string body_;
  double end_ms_ = 0;
};
// Waits for the response until `deadline_ms` of ElapsedMs.
Response ReadResponse(Socket& socket, double deadline_ms);

// A server with one thread per connection.
class Server {
 public:
  using Handler = std::function<void(Socket&)>;
  Server(const std::string& ip, Handler handler, int receive_buffer_bytes = 0);
  std::string Address() const { return address_; }

 private:
  int descriptor_ = -1;
  std::string address_;
};

// The platform's store: lists, watches and writes of objects.
class Store {
 public:
  explicit Store(const std::string& ip);
  std::string Address() const { return server_->Address(); }
  // Writes an object with this spec and, unless null, status.
  void Put(const std::string& kind, const std::string& name, const nlohmann::json& spec,
           const nlohmann::json& status = nullptr);
  void Delete(const std::string& kind, const std::string& name);
  // Returns the names of the objects of a kind.
  std::vector<std::string> Names(const std::string& kind);

 private:
  struct Change {
    std::int64_t revision_ = 0;
    std::string kind_;
    nlohmann::json object_;
    bool deleted_ = false;
  };
  void Serve(Socket& socket);
  std::string Answer(const Request& request);
  std::string AnswerWatch(const std::string& kind, std::int64_t after, int wait_ms);
  nlohmann::json PutLocked(const std::string& kind, const std::string& name,
                           const nlohmann::json& spec, const nlohmann::json& status);

  std::mutex mutex_;
  std::map<std::string, std::map<std::string, nlohmann::json>> objects_;
  std::deque<Change> changes_;
  std::int64_t revision_ = 1;
  std::unique_ptr<Server> server_;
};

struct RouteSpec {
  std::string name_;
  std::string kind_;
  std::string path_prefix_;
  std::string service_;
  int timeout_ms_ = 1500;
  int latency_objective_ms_ = 400;
  int max_attempts_ = 2;
};
// Returns the spec of `config/main`, with the limits of the page that `fleetbench wire` prints.
nlohmann::json MakeConfiguration(int version, const std::vector<RouteSpec>& routes);
inline constexpr const char* kHostName = "front.example";

// Returns the spec of an entry of kind `servers`; its status is a second value.
std::pair<nlohmann::json, nlohmann::json> MakeWorkerEntry(const std::string& address,
                                                          const std::string& service,
                                                          const std::string& zone, int slots,
                                                          int warmup_left_ms, std::int64_t born);

// An entry host: `target/src/app/monsoonshelf serve --metrics-port 9464` as a process.
class Host {
 public:
  Host(std::string name, std::string zone, const std::string& ip, const std::string& store,
       std::string folder);
  ~Host();
  void Start(bool bootstrap);
  void Kill();
  bool IsRunning();
  // Waits until the host is ready. Returns false after `timeout_ms`.
  bool WaitUntilReady(int timeout_ms) const;
  // Resident memory in bytes, 0 if the process does not run.
  std::int64_t ResidentBytes() const;
  const std::string& Name() const { return name_; }
  const std::string& Front() const { return front_; }
  const std::string& Directory() const { return directory_; }

 private:
  std::string name_;
  std::string zone_;
  std::string ip_;
  std::string store_;
  std::string folder_;
  std::string front_;
  std::string readiness_;
  std::string control_;
  std::string directory_;
  int peer_port_ = 0;
  std::atomic<int> pid_{0};
};

// A loopback address of this case that no earlier call returned.
std::string NextIp();
// A folder for settings and logs, from the environment variable CASE_FOLDER.
std::string Folder();

}  // namespace review
