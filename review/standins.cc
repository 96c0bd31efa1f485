#include "review/standins.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <set>

namespace review {

namespace {

using Json = nlohmann::json;

const Clock::time_point kStartTime = Clock::now();
std::mutex record_mutex;
std::mutex processes_mutex;
std::set<int> processes;
std::condition_variable_any store_changed;

bool EqualsIgnoreCase(const std::string& left, const std::string& right) {
  return left.size() == right.size() &&
         std::equal(left.begin(), left.end(), right.begin(), [](unsigned char a, unsigned char b) {
           return std::tolower(a) == std::tolower(b);
         });
}

sockaddr_in ToSocketAddress(const std::string& address) {
  sockaddr_in result{};
  const std::size_t colon = address.rfind(':');
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
  return result;
}

int FreePort(const std::string& ip) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in local = ToSocketAddress(ip + ":0");
  (void)bind(descriptor, reinterpret_cast<sockaddr*>(&local), sizeof(local));
  socklen_t length = sizeof(local);
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&local), &length);
  close(descriptor);
  return ntohs(local.sin_port);
}

// Parses the header lines of `head` after the first one.
Headers ParseHeaders(const std::string& head) {
  Headers headers;
  std::size_t begin = head.find("\r\n");
  while (begin != std::string::npos && begin + 2 < head.size()) {
    begin += 2;
    const std::size_t end = std::min(head.find("\r\n", begin), head.size());
    const std::size_t colon = head.find(':', begin);
    if (colon < end) {
      std::size_t value = colon + 1;
      while (value < end && head[value] == ' ') ++value;
      headers.emplace_back(head.substr(begin, colon - begin), head.substr(value, end - value));
    }
    begin = end;
  }
  return headers;
}

// Takes the bytes up to and including the empty line from the buffer of the socket.
std::optional<std::string> TakeHead(Socket& socket) {
  std::size_t end = 0;
  while ((end = socket.buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!socket.Receive()) return std::nullopt;
  }
  std::string head = socket.buffer_.substr(0, end);
  socket.buffer_.erase(0, end + 4);
  return head;
}

std::int64_t QueryNumber(const std::string& target, const std::string& name) {
  const std::size_t at = target.find(name + "=");
  return at == std::string::npos ? -1 : std::atoll(target.c_str() + at + name.size() + 1);
}

void KillProcesses() {
  const std::lock_guard<std::mutex> lock(processes_mutex);
  for (const int pid : processes) kill(pid, SIGKILL);
  for (const int pid : processes) waitpid(pid, nullptr, 0);
  processes.clear();
}

}  // namespace

double ElapsedMs() {
  return std::chrono::duration<double, std::milli>(Clock::now() - kStartTime).count();
}

void SleepMs(int milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

void Record(const std::string& line) {
  const std::lock_guard<std::mutex> lock(record_mutex);
  static std::ofstream file(std::getenv("CASE_RECORD") == nullptr ? "record.txt"
                                                                  : std::getenv("CASE_RECORD"));
  std::array<char, 32> time{};
  std::snprintf(time.data(), time.size(), "%9.1f ms ", ElapsedMs());
  file << time.data() << line << std::endl;
  std::cout << time.data() << line << std::endl;
}

void EndCase(int code, const std::string& reason) {
  Record("RESULT " + std::to_string(code) + ": " + reason);
  KillProcesses();
  _exit(code);
}

std::string Header(const Headers& headers, const std::string& name) {
  for (const auto& [key, value] : headers) {
    if (EqualsIgnoreCase(key, name)) return value;
  }
  return {};
}

bool Socket::Connect(const std::string& address) {
  Close();
  descriptor_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in target = ToSocketAddress(address);
  const int one = 1;
  setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  return connect(descriptor_, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) == 0;
}

bool Socket::Send(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t count = send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

bool Socket::Receive() {
  std::array<char, 65536> bytes{};
  while (true) {
    const ssize_t count = recv(descriptor_, bytes.data(), bytes.size(), 0);
    if (count > 0) {
      buffer_.append(bytes.data(), static_cast<std::size_t>(count));
      return true;
    }
    if (count < 0 && errno == EINTR) continue;
    timed_out_ = count < 0 && errno == EAGAIN;
    reset_ = count < 0 && errno != EAGAIN;
    return false;
  }
}

void Socket::SetReceiveTimeout(int timeout_ms) {
  const timeval timeout = {timeout_ms / 1000, static_cast<suseconds_t>(timeout_ms % 1000) * 1000};
  setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
}

void Socket::Close() {
  if (descriptor_ >= 0) close(descriptor_);
  descriptor_ = -1;
}

std::optional<Request> ReadRequestHead(Socket& socket) {
  const auto head = TakeHead(socket);
  if (!head) return std::nullopt;
  Request request;
  const std::size_t first_space = head->find(' ');
  const std::size_t second_space = head->find(' ', first_space + 1);
  if (second_space == std::string::npos) return std::nullopt;
  request.method_ = head->substr(0, first_space);
  request.target_ = head->substr(first_space + 1, second_space - first_space - 1);
  request.headers_ = ParseHeaders(*head);
  const std::string length = Header(request.headers_, "Content-Length");
  request.body_bytes_ = length.empty() ? 0 : std::strtoull(length.c_str(), nullptr, 10);
  return request;
}

bool ReadRequestBody(Socket& socket, Request& request) {
  while (socket.buffer_.size() < request.body_bytes_) {
    if (!socket.Receive()) return false;
  }
  request.body_ = socket.buffer_.substr(0, request.body_bytes_);
  socket.buffer_.erase(0, request.body_bytes_);
  return true;
}

std::string FormatResponse(int status, const Headers& headers, std::string_view body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  return text.append(body);
}

Response ReadResponse(Socket& socket, double deadline_ms) {
  Response response;
  std::string head;
  std::size_t chunk_left = 0;
  bool chunked = false;
  std::size_t length = 0;
  bool has_length = false;
  while (true) {
    if (head.empty()) {
      const std::size_t end = socket.buffer_.find("\r\n\r\n");
      if (end != std::string::npos) {
        head = socket.buffer_.substr(0, end);
        socket.buffer_.erase(0, end + 4);
        response.status_ = std::atoi(head.c_str() + 9);
        response.headers_ = ParseHeaders(head);
        chunked = EqualsIgnoreCase(Header(response.headers_, "Transfer-Encoding"), "chunked");
        const std::string text = Header(response.headers_, "Content-Length");
        has_length = !text.empty();
        if (has_length) length = std::strtoull(text.c_str(), nullptr, 10);
      }
    }
    if (!head.empty() && chunked) {
      while (!response.complete_) {
        const std::size_t line_end = socket.buffer_.find("\r\n");
        if (line_end == std::string::npos) break;
        chunk_left = std::strtoull(socket.buffer_.c_str(), nullptr, 16);
        if (socket.buffer_.size() < line_end + 2 + chunk_left + 2) break;
        response.body_.append(socket.buffer_, line_end + 2, chunk_left);
        socket.buffer_.erase(0, line_end + 2 + chunk_left + 2);
        response.complete_ = chunk_left == 0;
      }
    } else if (!head.empty() && has_length && socket.buffer_.size() >= length) {
      response.body_ = socket.buffer_.substr(0, length);
      socket.buffer_.erase(0, length);
      response.complete_ = true;
    }
    response.end_ms_ = ElapsedMs();
    response.ended_ = response.complete_;
    if (response.complete_) return response;
    const double left = deadline_ms - ElapsedMs();
    if (left <= 0) return response;
    socket.SetReceiveTimeout(std::max(1, static_cast<int>(left)));
    if (!socket.Receive() && !socket.timed_out_) {
      response.end_ms_ = ElapsedMs();
      response.ended_ = true;
      // A response without a length ends with its connection.
      if (!head.empty() && !chunked && !has_length && !socket.reset_) {
        response.body_ = std::exchange(socket.buffer_, {});
        response.complete_ = true;
      }
      return response;
    }
  }
}

Server::Server(const std::string& ip, Handler handler, int receive_buffer_bytes) {
  descriptor_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer_bytes > 0) {
    setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
               sizeof(receive_buffer_bytes));
  }
  sockaddr_in local = ToSocketAddress(ip + ":0");
  if (bind(descriptor_, reinterpret_cast<sockaddr*>(&local), sizeof(local)) != 0 ||
      listen(descriptor_, 512) != 0) {
    EndCase(2, "a stand-in cannot listen on " + ip);
  }
  socklen_t length = sizeof(local);
  getsockname(descriptor_, reinterpret_cast<sockaddr*>(&local), &length);
  address_ = ip + ":" + std::to_string(ntohs(local.sin_port));
  std::thread([descriptor = descriptor_, handler = std::move(handler)] {
    while (true) {
      const int connection = accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
      if (connection < 0) continue;
      const int one = 1;
      setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
      std::thread([connection, handler] {
        Socket socket(connection);
        handler(socket);
      }).detach();
    }
  }).detach();
}

Store::Store(const std::string& ip) {
  server_ = std::make_unique<Server>(ip, [this](Socket& socket) { Serve(socket); });
}

Json Store::PutLocked(const std::string& kind, const std::string& name, const Json& spec,
                      const Json& status) {
  ++revision_;
  const auto found = objects_[kind].find(name);
  const std::int64_t created =
      found == objects_[kind].end() ? revision_ : found->second["metadata"]["created"].get<int>();
  Json object = {{"metadata",
                  {{"name", name},
                   {"resourceVersion", revision_},
                   {"created", created},
                   {"finalizers", Json::array()},
                   {"deleting", false}}},
                 {"spec", spec},
                 {"status", status}};
  objects_[kind][name] = object;
  changes_.push_back({revision_, kind, object, false});
  store_changed.notify_all();
  return object;
}

void Store::Put(const std::string& kind, const std::string& name, const Json& spec,
                const Json& status) {
  const std::lock_guard<std::mutex> lock(mutex_);
  PutLocked(kind, name, spec, status);
}

void Store::Delete(const std::string& kind, const std::string& name) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = objects_[kind].find(name);
  if (found == objects_[kind].end()) return;
  changes_.push_back({++revision_, kind, found->second, true});
  objects_[kind].erase(found);
  store_changed.notify_all();
}

std::vector<std::string> Store::Names(const std::string& kind) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<std::string> names;
  for (const auto& [name, object] : objects_[kind]) names.push_back(name);
  return names;
}

void Store::Serve(Socket& socket) {
  while (auto request = ReadRequestHead(socket)) {
    if (!ReadRequestBody(socket, *request)) return;
    if (!socket.Send(Answer(*request))) return;
  }
}

std::string Store::Answer(const Request& request) {
  constexpr std::string_view kPath = "/v1/objects/";
  const Headers headers = {{"Content-Type", "application/json"}};
  if (!request.target_.starts_with(kPath)) return FormatResponse(404, headers, "{}");
  const std::string rest = request.target_.substr(kPath.size());
  const std::string path = rest.substr(0, rest.find('?'));
  const std::string kind = path.substr(0, path.find('/'));
  if (request.method_ == "GET") {
    const std::int64_t after = QueryNumber(request.target_, "watch");
    if (after >= 0) {
      return AnswerWatch(kind, after, static_cast<int>(QueryNumber(request.target_, "waitMs")));
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    Json items = Json::array();
    for (const auto& [name, object] : objects_[kind]) items.push_back(object);
    const Json body = {{"items", items}, {"more", false}, {"currentRev", revision_}};
    return FormatResponse(200, headers, body.dump());
  }
  const Json body = Json::parse(request.body_, nullptr, false);
  if (!body.is_object()) return FormatResponse(400, headers, "{}");
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::string name = body["metadata"]["name"];
  const auto found = objects_[kind].find(name);
  const bool exists = found != objects_[kind].end();
  if (request.method_ == "POST" && exists) {
    return FormatResponse(409, headers, found->second.dump());
  }
  if (request.method_ == "PUT" && !exists) return FormatResponse(404, headers, "{}");
  const auto expected = body["metadata"].find("resourceVersion");
  if (request.method_ == "PUT" && expected != body["metadata"].end() &&
      *expected != found->second["metadata"]["resourceVersion"]) {
    return FormatResponse(409, headers, found->second.dump());
  }
  return FormatResponse(200, headers, PutLocked(kind, name, body["spec"], nullptr).dump());
}

std::string Store::AnswerWatch(const std::string& kind, std::int64_t after, int wait_ms) {
  std::unique_lock<std::mutex> lock(mutex_);
  const auto until = Clock::now() + milliseconds(wait_ms);
  while (true) {
    Json events = Json::array();
    for (const Change& change : changes_) {
      if (change.kind_ != kind || change.revision_ <= after) continue;
      events.push_back({{"object", change.object_}, {"deleted", change.deleted_}});
    }
    if (!events.empty() || Clock::now() >= until) {
      const Json body = {{"events", events}, {"currentRev", revision_}};
      return FormatResponse(200, {{"Content-Type", "application/json"}}, body.dump());
    }
    store_changed.wait_until(lock, until);
  }
}

Json MakeConfiguration(int version, const std::vector<RouteSpec>& routes) {
  Json rules = Json::array();
  std::set<std::string> services;
  for (const RouteSpec& route : routes) {
    services.insert(route.service_);
    rules.push_back({{"name", route.name_},
                     {"kind", route.kind_},
                     {"targetLatencyMs", route.latency_objective_ms_},
                     {"priority", 1},
                     {"match", {{"pathPrefix", route.path_prefix_}}},
                     {"action",
                      {{"service", route.service_},
                       {"timeoutMs", route.timeout_ms_},
                       {"maxAttempts", route.max_attempts_}}}});
  }
  Json clusters = Json::array();
  for (const std::string& service : services) {
    clusters.push_back({{"name", service},
                        {"healthPath", "/healthz"},
                        {"maxConnections", 240},
                        {"protocol", "h1"},
                        {"tls", false},
                        {"warmupS", 3.0},
                        {"warmupPerS", 3.6}});
  }
  return {{"configVersion", version},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 67108864},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}},
          {"baseVersion", version - 1},
          {"listeners", Json::array({{{"host", kHostName}, {"rules", rules}}})},
          {"clusters", clusters}};
}

std::pair<Json, Json> MakeWorkerEntry(const std::string& address, const std::string& service,
                                      const std::string& zone, int slots, int warmup_left_ms,
                                      std::int64_t born) {
  return {
      {{"address", address},
       {"born", born},
       {"info", {{"service", service}, {"configVersion", "v1"}, {"zone", zone}, {"slots", slots}}}},
      {{"state", "ready"}, {"sequence", 1}, {"warmupLeftMs", warmup_left_ms}}};
}

Host::Host(std::string name, std::string zone, const std::string& ip, const std::string& store,
           std::string folder)
    : name_(std::move(name)),
      zone_(std::move(zone)),
      ip_(ip),
      store_(store),
      folder_(std::move(folder)),
      front_(ip + ":" + std::to_string(FreePort(ip))),
      readiness_(ip + ":" + std::to_string(FreePort(ip))),
      control_(ip + ":" + std::to_string(FreePort(ip))),
      directory_(ip + ":" + std::to_string(FreePort(ip))),
      peer_port_(FreePort(ip)) {}

Host::~Host() { Kill(); }

void Host::Start(bool bootstrap) {
  const std::string file_name = folder_ + "/" + name_ + ".toml";
  std::ofstream file(file_name);
  file << "nodeName = \"" << name_ << "\"\nrole = \"entry\"\nmachineClass = \"front\"\n"
       << "serves = [\"front\",\"directory\",\"control\"]\nip = \"" << ip_ << "\"\nzone = \""
       << zone_ << "\"\nregion = \"r\"\nportRange = [" << peer_port_ << "," << peer_port_
       << "]\nseeds = []\nbootstrap = " << (bootstrap ? "true" : "false")
       << "\ninFailureBudget = false\ndiscovery = \"platform\"\nentry = \"directory\"\n"
       << "heartbeatMs = 1500\nbounds = [\"seedLagS=3\",\"reuseAfterS=2\",\"contactMs=3000\","
       << "\"ackMs=4000\",\"catchUpS=4\",\"drainMs=2000\",\"graceS=6\",\"lostSlackMs=200\","
       << "\"configApplyMs=2000\",\"rollbackSlackMs=250\",\"maxSkewMs=5000\","
       << "\"retryBudgetRatio=0.2\",\"budgetWindowS=10\",\"budgetExtraRetries=60\","
       << "\"warmupFactor=1.5\",\"warmupSlack=5\",\"evacuateMs=5000\",\"recoveryS=15\","
       << "\"ttl_max_s=5\",\"probesPerS=60\"]\n[zones]\n"
       << zone_ << " = \"r\"\n[bind]\nfront = \"" << front_ << "\"\nreadiness = \"" << readiness_
       << "\"\ncontrol = \"" << control_ << "\"\ndirectory = \"" << directory_
       << "\"\n[limits]\ncpuShare = 0.2\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\n"
       << "linkMbps = 1000.0\ndiskMb = 0\n[faultTolerance]\nmachines = 2\nzones = 1\nregions = 0\n"
       << "[platform]\naddress = \"" << store_ << "\"\nform = \"objects\"\nwritesPerS = 400\n"
       << "readsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n";
  file.close();
  std::string program = "target/src/app/monsoonshelf";
  std::string serve = "serve";
  std::string option = "--metrics-port";
  std::string port = "9464";
  std::array<char*, 5> arguments = {program.data(), serve.data(), option.data(), port.data(),
                                    nullptr};
  std::string config = "MONSOONSHELF_CONFIG=" + file_name;
  std::array<char*, 2> environment = {config.data(), nullptr};
  const std::string log = folder_ + "/" + name_ + ".log";
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  pid_t pid = 0;
  const int error =
      posix_spawn(&pid, program.c_str(), &actions, nullptr, arguments.data(), environment.data());
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) EndCase(2, "cannot start " + program + ": " + std::strerror(error));
  const std::lock_guard<std::mutex> lock(processes_mutex);
  processes.insert(pid);
  pid_ = pid;
}

void Host::Kill() {
  const std::lock_guard<std::mutex> lock(processes_mutex);
  const int pid = pid_.exchange(0);
  if (pid <= 0 || processes.erase(pid) == 0) return;
  kill(pid, SIGKILL);
  waitpid(pid, nullptr, 0);
}

bool Host::IsRunning() {
  const std::lock_guard<std::mutex> lock(processes_mutex);
  if (pid_ <= 0) return false;
  if (waitpid(pid_, nullptr, WNOHANG) == 0) return true;
  processes.erase(pid_);
  pid_ = 0;
  return false;
}

bool Host::WaitUntilReady(int timeout_ms) const {
  const double until = ElapsedMs() + timeout_ms;
  while (ElapsedMs() < until) {
    Socket socket;
    if (socket.Connect(readiness_) &&
        socket.Send("GET /v1/readyz HTTP/1.1\r\nHost: " + readiness_ + "\r\n\r\n") &&
        ReadResponse(socket, ElapsedMs() + 200).status_ == 200) {
      return true;
    }
    SleepMs(10);
  }
  return false;
}

std::int64_t Host::ResidentBytes() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
  std::int64_t size = 0;
  std::int64_t resident = 0;
  file >> size >> resident;
  return resident * sysconf(_SC_PAGESIZE);
}

std::string NextIp() {
  // Each case uses addresses of its own, so that the port of the metrics is free on each of them.
  static std::atomic<int> next{0};
  static const int base = static_cast<int>(getpid());
  return "127." + std::to_string(60 + base % 190) + "." + std::to_string(base / 190 % 250) + "." +
         std::to_string(10 + next++);
}

std::string Folder() {
  const char* folder = std::getenv("CASE_FOLDER");
  if (folder == nullptr) EndCase(2, "CASE_FOLDER is not set; start the case with run.sh");
  return folder;
}

}  // namespace review
