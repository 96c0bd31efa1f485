// Stand-ins and helpers of the cases 6 to 10: the users' store, their workers and clients, and the
// start and end of the project's processes. Header only; each case is one program that includes it.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace standins {

using Json = nlohmann::json;

// Seconds on the steady clock since the start of the program.
inline double NowS() {
  static const auto begin = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
}

inline void SleepUntil(double time) {
  const double left = time - NowS();
  if (left > 0) std::this_thread::sleep_for(std::chrono::duration<double>(left));
}

// --- The record of a run.

class RecordFile {
 public:
  static RecordFile& Get() {
    static RecordFile file;
    return file;
  }
  void Open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  void Write(const char* format, va_list arguments, bool to_terminal) {
    const std::lock_guard<std::mutex> lock(mutex_);
    char text[2048];
    std::vsnprintf(text, sizeof(text), format, arguments);
    if (file_ != nullptr) {
      std::fprintf(file_, "%8.3f %s\n", NowS(), text);
      std::fflush(file_);
    }
    if (to_terminal) std::printf("%8.3f %s\n", NowS(), text);
    if (to_terminal) std::fflush(stdout);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
};

[[gnu::format(printf, 1, 2)]] inline void Record(const char* format, ...) {
  va_list arguments;
  va_start(arguments, format);
  RecordFile::Get().Write(format, arguments, false);
  va_end(arguments);
}

// Also shown on the terminal.
[[gnu::format(printf, 1, 2)]] inline void Say(const char* format, ...) {
  va_list arguments;
  va_start(arguments, format);
  RecordFile::Get().Write(format, arguments, true);
  va_end(arguments);
}

// --- Processes. All of them are ended with the program, also if it is killed.

inline std::set<pid_t>& Children() {
  static std::set<pid_t> children;
  return children;
}

inline std::mutex& ChildrenMutex() {
  static std::mutex mutex;
  return mutex;
}

[[noreturn]] inline void End(int code) {
  {
    const std::lock_guard<std::mutex> lock(ChildrenMutex());
    for (const pid_t pid : Children()) {
      kill(pid, SIGCONT);
      kill(pid, SIGKILL);
    }
    for (const pid_t pid : Children()) waitpid(pid, nullptr, 0);
    Children().clear();
  }
  std::fflush(nullptr);
  _exit(code);
}

[[noreturn]] inline void CannotRun(const std::string& why) {
  Say("cannot run: %s", why.c_str());
  End(2);
}

// --- Addresses.

struct Address {
  std::string ip_;
  int port_ = 0;
  std::string Text() const { return ip_ + ":" + std::to_string(port_); }
};

inline Address ParseAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return {};
  return {text.substr(0, colon), std::atoi(text.c_str() + colon + 1)};
}

inline sockaddr_in ToSocketAddress(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(address.port_));
  inet_pton(AF_INET, address.ip_.c_str(), &result.sin_addr);
  return result;
}

// Returns a listening socket, or -1. With port 0 the system chooses one.
inline int Listen(Address& address) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  sockaddr_in local = ToSocketAddress(address);
  socklen_t length = sizeof(local);
  if (bind(descriptor, reinterpret_cast<sockaddr*>(&local), length) != 0 ||
      listen(descriptor, 512) != 0) {
    close(descriptor);
    return -1;
  }
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&local), &length);
  address.port_ = ntohs(local.sin_port);
  return descriptor;
}

inline int FreePort(const std::string& ip) {
  Address address{ip, 0};
  const int descriptor = Listen(address);
  if (descriptor < 0) CannotRun("no free port at " + ip);
  close(descriptor);
  return address.port_;
}

// A loopback address of this run, different for each machine of the deployment.
inline std::string MachineIp(int number) {
  static const int second = 16 + static_cast<int>(getpid() % 200);
  return "127." + std::to_string(second) + "." + std::to_string(1 + number / 200) + "." +
         std::to_string(1 + number % 200);
}

// --- HTTP/1.1, one message at a time on a blocking connection.

using Headers = std::vector<std::pair<std::string, std::string>>;

inline const std::string* Find(const Headers& headers, const char* name) {
  for (const auto& [key, value] : headers) {
    if (strcasecmp(key.c_str(), name) == 0) return &value;
  }
  return nullptr;
}

struct Message {
  std::string start_line_;
  Headers headers_;
  std::string body_;
  std::string Method() const { return start_line_.substr(0, start_line_.find(' ')); }
  std::string Target() const {
    const std::size_t begin = start_line_.find(' ') + 1;
    return start_line_.substr(begin, start_line_.find(' ', begin) - begin);
  }
  int Status() const { return std::atoi(start_line_.c_str() + start_line_.find(' ') + 1); }
};

class Connection {
 public:
  explicit Connection(int descriptor) : descriptor_(descriptor) {
    const int one = 1;
    setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  }
  Connection(const Connection&) = delete;
  ~Connection() { close(descriptor_); }
  int Descriptor() const { return descriptor_; }

  // Returns false if the message did not arrive whole before the deadline.
  bool Read(Message& message, double deadline, bool is_response) {
    std::size_t head_end = 0;
    while ((head_end = input_.find("\r\n\r\n")) == std::string::npos) {
      if (!Receive(deadline)) return false;
    }
    ParseHead(message, input_.substr(0, head_end));
    input_.erase(0, head_end + 4);
    message.body_.clear();
    const std::string* coding = Find(message.headers_, "Transfer-Encoding");
    const std::string* length = Find(message.headers_, "Content-Length");
    if (coding != nullptr && strcasecmp(coding->c_str(), "chunked") == 0) {
      return ReadChunks(message.body_, deadline);
    }
    if (length != nullptr) {
      return ReadBytes(message.body_, std::strtoull(length->c_str(), nullptr, 10), deadline);
    }
    if (!is_response) return true;
    while (Receive(deadline)) {
    }
    message.body_ = std::exchange(input_, {});
    return is_closed_;
  }

  bool Write(const std::string& bytes, double deadline) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t count =
          send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (count > 0) {
        sent += static_cast<std::size_t>(count);
      } else if (errno != EAGAIN && errno != EINTR) {
        return false;
      } else if (!Wait(POLLOUT, deadline)) {
        return false;
      }
    }
    return true;
  }

  bool Wait(short events, double deadline) const {
    const double left = deadline - NowS();
    if (left <= 0) return false;
    pollfd item = {descriptor_, events, 0};
    return poll(&item, 1, static_cast<int>(left * 1000) + 1) > 0;
  }
  // The peer has closed the connection, by FIN or reset.
  bool IsClosed() const { return is_closed_; }
  bool HasInput() const { return !input_.empty(); }

 private:
  static void ParseHead(Message& message, const std::string& head) {
    std::size_t begin = head.find("\r\n");
    message.start_line_ = head.substr(0, begin);
    message.headers_.clear();
    while (begin != std::string::npos) {
      begin += 2;
      const std::size_t end = head.find("\r\n", begin);
      const std::string line = head.substr(begin, end - begin);
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ') ++value;
        message.headers_.emplace_back(line.substr(0, colon), line.substr(value));
      }
      begin = end;
    }
  }

  bool Receive(double deadline) {
    if (!Wait(POLLIN, deadline)) return false;
    char bytes[16384];
    const ssize_t count = recv(descriptor_, bytes, sizeof(bytes), 0);
    if (count <= 0) {
      is_closed_ = true;
      return false;
    }
    input_.append(bytes, static_cast<std::size_t>(count));
    return true;
  }

  bool ReadBytes(std::string& body, std::size_t count, double deadline) {
    while (input_.size() < count) {
      if (!Receive(deadline)) return false;
    }
    body.append(input_, 0, count);
    input_.erase(0, count);
    return true;
  }

  bool ReadChunks(std::string& body, double deadline) {
    while (true) {
      std::size_t end = 0;
      while ((end = input_.find("\r\n")) == std::string::npos) {
        if (!Receive(deadline)) return false;
      }
      const std::size_t size = std::strtoull(input_.c_str(), nullptr, 16);
      input_.erase(0, end + 2);
      if (!ReadBytes(body, size, deadline)) return false;
      std::string line_end;
      if (!ReadBytes(line_end, 2, deadline)) return false;
      if (size == 0) return true;
    }
  }

  int descriptor_;
  std::string input_;
  bool is_closed_ = false;
};

inline std::string FormatMessage(const std::string& start_line, const Headers& headers,
                                 const std::string& body) {
  std::string text = start_line + "\r\n";
  for (const auto& [name, value] : headers) text += name + ": " + value + "\r\n";
  return text + "\r\n" + body;
}

// Returns a connected socket, or -1.
inline int Connect(const Address& address, double deadline) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (descriptor < 0) return -1;
  const sockaddr_in target = ToSocketAddress(address);
  if (connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) != 0) {
    pollfd item = {descriptor, POLLOUT, 0};
    const double left = deadline - NowS();
    int error = ETIMEDOUT;
    socklen_t length = sizeof(error);
    if (errno == EINPROGRESS && left > 0 && poll(&item, 1, static_cast<int>(left * 1000) + 1) > 0) {
      getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length);
    }
    if (error != 0) {
      close(descriptor);
      return -1;
    }
  }
  return descriptor;
}

// Answers on a new connection. A status of 0 means that no whole answer arrived in time.
struct Answer {
  int status_ = 0;
  Message message_;
  double sent_at_ = 0;
};

inline Answer Call(const Address& address, const std::string& method, const std::string& target,
                   const Headers& headers, const std::string& body, double timeout_s) {
  Answer answer;
  const double deadline = NowS() + timeout_s;
  // Clients allow a new connection one second.
  const int descriptor = Connect(address, std::min(deadline, NowS() + 1));
  if (descriptor < 0) return answer;
  Connection connection(descriptor);
  Headers all = headers;
  if (!body.empty() || method == "POST") {
    all.emplace_back("Content-Length", std::to_string(body.size()));
  }
  answer.sent_at_ = NowS();
  if (!connection.Write(FormatMessage(method + " " + target + " HTTP/1.1", all, body), deadline)) {
    return answer;
  }
  if (connection.Read(answer.message_, deadline, true)) answer.status_ = answer.message_.Status();
  return answer;
}

struct Response {
  int status_ = 200;
  Headers headers_;
  std::string body_;
  bool drops_ = false;  // Closes the connection without a response.
};

// One thread for each connection.
class Server {
 public:
  using Handler = std::function<Response(const Message&)>;

  Server(const std::string& ip, Handler handler) : handler_(std::move(handler)) {
    address_ = {ip, 0};
    listener_ = Listen(address_);
    if (listener_ < 0) CannotRun("cannot listen at " + ip);
    std::thread([this] { Accept(); }).detach();
  }
  const Address& GetAddress() const { return address_; }

 private:
  void Accept() {
    while (true) {
      const int descriptor = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (descriptor < 0) continue;
      std::thread([this, descriptor] { Serve(descriptor); }).detach();
    }
  }

  void Serve(int descriptor) {
    Connection connection(descriptor);
    Message request;
    while (connection.Read(request, NowS() + 3600, false)) {
      Response response = handler_(request);
      if (response.drops_) return;
      response.headers_.emplace_back("Content-Length", std::to_string(response.body_.size()));
      const std::string line = "HTTP/1.1 " + std::to_string(response.status_) + " Status";
      if (!connection.Write(FormatMessage(line, response.headers_, response.body_), NowS() + 30)) {
        return;
      }
    }
  }

  Address address_;
  int listener_ = -1;
  Handler handler_;
};

// --- The platform's store.

class Store {
 public:
  explicit Store(const std::string& ip)
      : server_(ip, [this](const Message& request) { return OnRequest(request); }) {}
  const Address& GetAddress() const { return server_.GetAddress(); }

  void Put(const std::string& kind, const std::string& name, const Json& spec,
           const Json& status = nullptr) {
    const std::lock_guard<std::mutex> lock(mutex_);
    PutLocked(kind, name, spec, status);
  }
  void Delete(const std::string& kind, const std::string& name) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = objects_[kind].find(name);
    if (found == objects_[kind].end()) return;
    changes_.push_back({++revision_, kind, found->second, true});
    objects_[kind].erase(found);
    changed_.notify_all();
  }
  std::size_t Count(const std::string& kind) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return objects_[kind].size();
  }

 private:
  struct Change {
    std::int64_t revision_;
    std::string kind_;
    Json object_;
    bool deleted_;
  };

  Json PutLocked(const std::string& kind, const std::string& name, const Json& spec,
                 const Json& status) {
    ++revision_;
    Json& object = objects_[kind][name];
    const std::int64_t created =
        object.is_object() ? object["metadata"]["created"].get<std::int64_t>() : revision_;
    object = {{"metadata",
               {{"name", name},
                {"resourceVersion", revision_},
                {"created", created},
                {"finalizers", Json::array()},
                {"deleting", false}}},
              {"spec", spec},
              {"status", status}};
    changes_.push_back({revision_, kind, object, false});
    changed_.notify_all();
    return object;
  }

  static std::map<std::string, std::string> Query(const std::string& target) {
    std::map<std::string, std::string> query;
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
      const std::size_t end = target.find('&', at + 1);
      const std::string part = target.substr(at + 1, end - at - 1);
      query[part.substr(0, part.find('='))] = part.substr(part.find('=') + 1);
      at = end;
    }
    return query;
  }

  static Response Respond(int status, const Json& body) {
    return {status, {{"Content-Type", "application/json"}, {"Store-Era", "1"}}, body.dump(), false};
  }

  Response OnRequest(const Message& request) {
    constexpr const char* kPath = "/v1/objects/";
    const std::string target = request.Target();
    const std::string path = target.substr(0, target.find('?'));
    if (!path.starts_with(kPath)) return Respond(404, Json::object());
    std::string kind = path.substr(std::strlen(kPath));
    std::string name;
    if (const std::size_t slash = kind.find('/'); slash != std::string::npos) {
      name = kind.substr(slash + 1);
      kind.resize(slash);
    }
    const auto query = Query(target);
    std::unique_lock<std::mutex> lock(mutex_);
    if (request.Method() != "GET") return Write(request, kind, name);
    if (query.contains("watch")) return Watch(lock, kind, query);
    if (!name.empty()) {
      const auto found = objects_[kind].find(name);
      return found == objects_[kind].end() ? Respond(404, Json::object())
                                           : Respond(200, found->second);
    }
    constexpr std::size_t kMaxItems = 500;
    Json items = Json::array();
    const std::string after = query.contains("after") ? query.at("after") : std::string();
    bool has_more = false;
    for (const auto& [key, object] : objects_[kind]) {
      if (!after.empty() && key <= after) continue;
      has_more = items.size() == kMaxItems;
      if (has_more) break;
      items.push_back(object);
    }
    return Respond(200, {{"items", items}, {"more", has_more}, {"currentRev", revision_}});
  }

  Response Watch(std::unique_lock<std::mutex>& lock, const std::string& kind,
                 const std::map<std::string, std::string>& query) {
    const std::int64_t after = std::atoll(query.at("watch").c_str());
    const int wait = query.contains("waitMs") ? std::atoi(query.at("waitMs").c_str()) : 0;
    const auto has_events = [&] {
      return std::any_of(changes_.begin(), changes_.end(), [&](const Change& change) {
        return change.kind_ == kind && change.revision_ > after;
      });
    };
    changed_.wait_for(lock, std::chrono::milliseconds(wait), has_events);
    Json events = Json::array();
    for (const Change& change : changes_) {
      if (change.kind_ != kind || change.revision_ <= after) continue;
      events.push_back({{"object", change.object_}, {"deleted", change.deleted_}});
    }
    return Respond(200, {{"events", events}, {"currentRev", revision_}});
  }

  Response Write(const Message& request, const std::string& kind, std::string name) {
    const Json body = Json::parse(request.body_, nullptr, false);
    if (!body.is_object() || !body.contains("metadata")) return Respond(400, Json::object());
    const std::string method = request.Method();
    if (method == "POST") {
      name = body["metadata"].value("name", "");
      const auto found = objects_[kind].find(name);
      if (found != objects_[kind].end()) return Respond(409, found->second);
      return Respond(201, PutLocked(kind, name, body.value("spec", Json()), nullptr));
    }
    if (method != "PUT") return Respond(404, Json::object());
    const bool is_status = name.ends_with("/status");
    if (is_status) name.resize(name.size() - std::strlen("/status"));
    const auto found = objects_[kind].find(name);
    if (found == objects_[kind].end()) return Respond(404, Json::object());
    const Json& expected = body["metadata"].value("resourceVersion", Json());
    if (expected.is_number() && expected != found->second["metadata"]["resourceVersion"]) {
      return Respond(409, found->second);
    }
    const Json old = found->second;
    const Json spec = is_status ? old["spec"] : body.value("spec", Json());
    const Json status = is_status ? body.value("status", Json()) : old["status"];
    if (spec == old["spec"] && status == old["status"]) return Respond(200, old);
    return Respond(200, PutLocked(kind, name, spec, status));
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::map<std::string, Json>> objects_;
  std::vector<Change> changes_;
  std::int64_t revision_ = 1;
  Server server_;
};

// --- Workers.

// A request that a worker has run.
struct Run {
  std::string id_;
  std::string tenant_;
  std::string worker_;
  double at_ = 0;
};

struct Runs {
  std::mutex mutex_;
  std::vector<Run> runs_;
};

// Writes what each worker ran to the record.
inline void RecordRuns(Runs& runs) {
  const std::lock_guard<std::mutex> lock(runs.mutex_);
  for (const Run& run : runs.runs_) {
    Record("%s ran request %s at %.3f%s%s", run.worker_.c_str(), run.id_.c_str(), run.at_,
           run.tenant_.empty() ? "" : " for ", run.tenant_.c_str());
  }
}

class Worker {
 public:
  Worker(Store& store, Runs& runs, const std::string& id, const std::string& ip,
         const std::string& service, const std::string& zone, int slots, int work_ms)
      : runs_(runs),
        id_(id),
        slots_(slots),
        work_ms_(work_ms),
        server_(ip, [this](const Message& request) { return OnRequest(request); }) {
    const auto born = std::chrono::duration_cast<std::chrono::milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
    store.Put("servers", id,
              {{"address", server_.GetAddress().Text()},
               {"born", born},
               {"info",
                {{"service", service}, {"configVersion", "v1"}, {"zone", zone}, {"slots", slots}}}},
              {{"state", "ready"}, {"sequence", 1}, {"warmupLeftMs", 0}});
  }

 private:
  Response OnRequest(const Message& request) {
    std::unique_lock<std::mutex> lock(mutex_);
    const std::string load = std::to_string(running_) + "," + std::to_string(waiting_) + "," +
                             std::to_string(slots_) + ",100";
    if (request.Target() == "/healthz") {
      return {200, {{"Instance-Id", id_}, {"Server-Load", load}}, {}, false};
    }
    const std::string* id = Find(request.headers_, "Attempt-Id");
    const std::string* expected = Find(request.headers_, "Expect-Instance");
    if (id == nullptr) return {400, {{"Not-Executed", "1"}, {"Server-Load", load}}, {}, false};
    if (expected != nullptr && *expected != id_) {
      return {421, {{"Attempt-Id", *id}, {"Instance-Id", id_}}, {}, false};
    }
    if (running_ >= slots_ && waiting_ >= 2 * slots_) {
      return {503, {{"Attempt-Id", *id}, {"Not-Executed", "1"}, {"Server-Load", load}}, {}, false};
    }
    ++waiting_;
    slot_free_.wait(lock, [this] { return running_ < slots_; });
    --waiting_;
    ++running_;
    lock.unlock();
    const std::string* tenant = Find(request.headers_, "Tenant");
    {
      const std::lock_guard<std::mutex> runs_lock(runs_.mutex_);
      runs_.runs_.push_back({*id, tenant == nullptr ? "" : *tenant, id_, NowS()});
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(work_ms_));
    lock.lock();
    --running_;
    slot_free_.notify_one();
    return {200,
            {{"Attempt-Id", *id}, {"Server-Signature", id_ + ".1"}, {"Server-Load", load}},
            "done " + request.Target(),
            false};
  }

  Runs& runs_;
  std::string id_;
  int slots_;
  int work_ms_;
  std::mutex mutex_;
  std::condition_variable slot_free_;
  int running_ = 0;
  int waiting_ = 0;
  Server server_;
};

// --- Entry hosts: the project's program, started with the command of the deploy file.

struct Deployment {
  std::vector<std::string> command_;
  std::string folder_;
  std::string region_ = "region-a";
  std::vector<std::string> zones_;
  std::vector<std::string> contracts_;
  std::vector<std::string> bounds_;
  Address store_;
  std::vector<std::string> seeds_;
  int memory_mb_ = 260;
  int max_descriptors_ = 4100;
};

class Host {
 public:
  Host(const Deployment& deployment, const std::string& name, const std::string& ip,
       const std::string& zone)
      : deployment_(deployment),
        name_(name),
        ip_(ip),
        zone_(zone),
        front_{ip, FreePort(ip)},
        readiness_{ip, FreePort(ip)},
        control_{ip, FreePort(ip)},
        directory_{ip, FreePort(ip)},
        peer_port_(FreePort(ip)) {}

  const std::string& Name() const { return name_; }
  const std::string& Zone() const { return zone_; }
  const Address& Front() const { return front_; }
  const Address& Readiness() const { return readiness_; }
  const Address& Control() const { return control_; }
  const Address& Directory() const { return directory_; }
  pid_t Pid() const { return pid_; }

  void Start(bool bootstrap) {
    const std::string settings = deployment_.folder_ + "/" + name_ + ".toml";
    WriteSettings(settings, bootstrap);
    const std::string variable = "MONSOONSHELF_CONFIG=" + settings;
    const std::string log = deployment_.folder_ + "/" + name_ + ".log";
    std::vector<char*> arguments;
    for (const std::string& word : deployment_.command_) {
      arguments.push_back(const_cast<char*>(word.c_str()));
    }
    arguments.push_back(nullptr);
    std::vector<char*> environment = {const_cast<char*>(variable.c_str()), nullptr};
    const pid_t pid = fork();
    if (pid < 0) CannotRun("fork failed");
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int descriptor = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(descriptor, 1);
      dup2(descriptor, 2);
      execve(arguments[0], arguments.data(), environment.data());
      _exit(127);
    }
    pid_ = pid;
    const std::lock_guard<std::mutex> lock(ChildrenMutex());
    Children().insert(pid);
  }

  void Signal(int number) const { kill(pid_, number); }

  // SIGKILL; the process is gone when this returns.
  void Kill() {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    const std::lock_guard<std::mutex> lock(ChildrenMutex());
    Children().erase(pid_);
    pid_ = 0;
  }

  // Returns whether the process still runs.
  bool IsRunning() const { return pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == 0; }

  // The platform's question, one second at most.
  bool IsReady() const {
    return Call(readiness_, "GET", "/v1/readyz", {{"Host", readiness_.Text()}}, {}, 1).status_ ==
           200;
  }

 private:
  static std::string List(const std::vector<std::string>& items) {
    std::string text = "[";
    for (const std::string& item : items) {
      text += (text.size() > 1 ? ",\"" : "\"") + item + "\"";
    }
    return text + "]";
  }

  void WriteSettings(const std::string& path, bool bootstrap) const {
    std::ofstream file(path);
    file << "nodeName = \"" << name_ << "\"\nrole = \"entry\"\nmachineClass = \"front\"\n"
         << "serves = [\"front\",\"control\",\"directory\"]\nip = \"" << ip_ << "\"\nzone = \""
         << zone_ << "\"\nregion = \"" << deployment_.region_ << "\"\nportRange = [" << peer_port_
         << "," << peer_port_ << "]\nseeds = " << List(deployment_.seeds_)
         << "\nbootstrap = " << (bootstrap ? "true" : "false")
         << "\ninFailureBudget = false\ndiscovery = \"platform\"\nentry = \"directory\"\n"
         << "heartbeatMs = 1500\ncontracts = " << List(deployment_.contracts_)
         << "\nbounds = " << List(deployment_.bounds_) << "\n[zones]\n";
    for (const std::string& zone : deployment_.zones_) {
      file << zone << " = \"" << deployment_.region_ << "\"\n";
    }
    file << "[bind]\nfront = \"" << front_.Text() << "\"\nreadiness = \"" << readiness_.Text()
         << "\"\ncontrol = \"" << control_.Text() << "\"\ndirectory = \"" << directory_.Text()
         << "\"\n[limits]\ncpuShare = 0.2\ncores = 1\nmemoryMb = " << deployment_.memory_mb_
         << "\nmaxFds = " << deployment_.max_descriptors_
         << "\nlinkMbps = 1000.0\ndiskMb = 0\n[faultTolerance]\nmachines = 2\nzones = 1\n"
         << "regions = 0\n[platform]\naddress = \"" << deployment_.store_.Text()
         << "\"\nform = \"objects\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\n"
         << "valueBytes = 1048576\nttlMinMs = 1000\n";
  }

  const Deployment& deployment_;
  std::string name_;
  std::string ip_;
  std::string zone_;
  Address front_;
  Address readiness_;
  Address control_;
  Address directory_;
  int peer_port_;
  pid_t pid_ = 0;
};

using HostPtr = std::unique_ptr<Host>;

inline bool WaitUntilReady(const std::vector<HostPtr>& hosts, double timeout_s) {
  const double deadline = NowS() + timeout_s;
  for (const HostPtr& host : hosts) {
    while (!host->IsReady()) {
      if (NowS() > deadline) return false;
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
  }
  return true;
}

// --- Clients.

// What the directory of a host answers; empty if there is no usable answer.
inline std::vector<Address> Resolve(const Host& host, const std::string& name,
                                    const std::string& region) {
  const Answer answer =
      Call(host.Directory(), "GET",
           "/v1/resolve?name=" + name + "&region=" + region + "&zone=" + host.Zone(),
           {{"Host", host.Directory().Text()}}, {}, 1);
  std::vector<Address> addresses;
  if (answer.status_ != 200) return addresses;
  const Json body = Json::parse(answer.message_.body_, nullptr, false);
  if (!body.is_object() || !body.contains("addresses")) return addresses;
  for (const Json& address : body["addresses"]) {
    addresses.push_back(ParseAddress(address.get<std::string>()));
  }
  return addresses;
}

// The program is called with the path of the record and the command that starts a host.
inline Deployment Begin(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  NowS();
  if (argc < 3) CannotRun("usage: RECORD COMMAND...");
  RecordFile::Get().Open(argv[1]);
  Deployment deployment;
  deployment.command_.assign(argv + 2, argv + argc);
  char folder[] = "/tmp/review-2-XXXXXX";
  if (mkdtemp(folder) == nullptr) CannotRun("no temporary folder");
  deployment.folder_ = folder;
  if (access(argv[2], X_OK) != 0) CannotRun(std::string(argv[2]) + " is missing");
  const auto stop = [](int) { End(2); };
  signal(SIGTERM, stop);
  signal(SIGINT, stop);
  return deployment;
}

inline bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::strcmp(trouble, "0") != 0;
}

// Ends the run. The logs of the hosts are kept only if `KEEP` is set.
[[noreturn]] inline void Finish(const Deployment& deployment, int code) {
  if (std::getenv("KEEP") != nullptr) {
    Say("logs: %s", deployment.folder_.c_str());
    End(code);
  }
  {
    const std::lock_guard<std::mutex> lock(ChildrenMutex());
    for (const pid_t pid : Children()) {
      kill(pid, SIGCONT);
      kill(pid, SIGKILL);
    }
    for (const pid_t pid : Children()) waitpid(pid, nullptr, 0);
    Children().clear();
  }
  std::error_code error;
  std::filesystem::remove_all(deployment.folder_, error);
  End(code);
}

}  // namespace standins
