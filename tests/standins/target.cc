#include <glib-unix.h>

#include <boost/program_options.hpp>
#include <deque>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>

#include "tests/standins/http_util.h"
#include "tests/standins/options.h"
#include "tests/standins/pattern.h"
#include "tests/standins/subcommands.h"

namespace monsoonshelf::standins {

namespace {

constexpr std::int64_t kMillisecond = 1000;
// Work that was on its way when a target turned cold, or when a zone was taken out, is no fault.
constexpr std::int64_t kColdGrace = 50 * kMillisecond;
constexpr std::int64_t kZoneOutGrace = 3000 * kMillisecond;
constexpr std::size_t kChunkBytes = 65'536;

struct TargetOptions {
  int slots_ = 2;
  int backlog_ = 2;
  int cold_limit_ = 1;
  int cold_answers_ = 20;  // Responses after which a cold target is ready.
  double probes_per_second_ = 2;
  double service_ms_ = 10;
  std::uint64_t seed_ = 1;
};

struct PendingCall {
  SoupServerMessage* message_ = nullptr;
  std::string path_;
  std::string call_id_;
};

struct TargetServer {
  std::string name_;
  std::string zone_;
  TargetOptions options_;
  GObjectPtr<SoupServer> server_;
  Random random_;
  std::uint64_t epoch_ = 1;
  bool draining_ = false;
  bool failing_ = false;
  int running_ = 0;
  int cold_answers_left_ = 0;
  std::int64_t cold_known_since_ = 0;  // 0 until the first response since the last start.
  std::deque<PendingCall> waiting_;
  std::deque<std::int64_t> probe_times_;
  std::int64_t executions_ = 0;
  std::int64_t refusals_ = 0;
  std::int64_t probes_ = 0;
  std::int64_t probe_overruns_ = 0;
  std::int64_t cold_overruns_ = 0;
};

// All targets of the process share one ledger of the work that must run at most once.
struct TargetProcess {
  std::vector<std::unique_ptr<TargetServer>> targets_;
  std::map<std::string, int> ledger_;
  std::map<std::string, std::int64_t> zone_out_since_;
  std::int64_t late_zone_work_ = 0;
  GMainLoop* loop_ = nullptr;
};

TargetProcess& Process() {
  static TargetProcess process;
  return process;
}

std::string LoadText(const TargetServer& target) {
  const char* state =
      target.draining_ ? "draining" : (target.cold_answers_left_ > 0 ? "cold" : "ready");
  return "in_flight=" + std::to_string(target.running_ + target.waiting_.size()) +
         ";slots=" + std::to_string(target.options_.slots_) + ";state=" + state +
         ";epoch=" + std::to_string(target.epoch_);
}

void SetCommonHeaders(TargetServer& target, SoupServerMessage* message, const std::string& id) {
  auto* headers = soup_server_message_get_response_headers(message);
  soup_message_headers_replace(headers, "Monsoonshelf-Load", LoadText(target).c_str());
  if (!id.empty()) soup_message_headers_replace(headers, "Monsoonshelf-Call-Id", id.c_str());
  if (target.cold_answers_left_ > 0 && target.cold_known_since_ == 0) {
    target.cold_known_since_ = MonotonicMicroseconds();
  }
}

void StartWaiting(TargetServer& target);

// Writes the next chunk once the last one was written, so that memory stays bounded.
struct PackStream {
  std::string seed_;
  std::uint64_t position_ = 0;
  std::uint64_t size_ = 0;
};

void WriteNextChunk(SoupServerMessage* message, gpointer data) {
  auto* pack = static_cast<PackStream*>(data);
  auto* body = soup_server_message_get_response_body(message);
  if (pack->position_ >= pack->size_) {
    soup_message_body_complete(body);
    return;
  }
  const std::size_t count = std::min<std::uint64_t>(kChunkBytes, pack->size_ - pack->position_);
  const std::string chunk = PatternBytes(pack->seed_, pack->position_, count);
  soup_message_body_append(body, SOUP_MEMORY_COPY, chunk.data(), chunk.size());
  pack->position_ += count;
}

void StartPack(SoupServerMessage* message, const std::string& seed, std::uint64_t size) {
  auto* pack = new PackStream{seed, 0, size};
  auto* headers = soup_server_message_get_response_headers(message);
  soup_message_headers_set_content_length(headers, static_cast<goffset>(size));
  soup_message_body_set_accumulate(soup_server_message_get_response_body(message), FALSE);
  g_signal_connect_data(
      message, "wrote-chunk", G_CALLBACK(WriteNextChunk), pack,
      [](gpointer data, GClosure*) { delete static_cast<PackStream*>(data); }, GConnectFlags(0));
  soup_server_message_set_status(message, 200, nullptr);
  WriteNextChunk(message, pack);
}

struct RunningCall {
  TargetServer* target_;
  PendingCall call_;
};

gboolean FinishCall(gpointer data) {
  std::unique_ptr<RunningCall> running(static_cast<RunningCall*>(data));
  TargetServer& target = *running->target_;
  const PendingCall& call = running->call_;
  --target.running_;
  if (target.cold_answers_left_ > 0) --target.cold_answers_left_;
  SetCommonHeaders(target, call.message_, call.call_id_);
  const auto pack = call.path_.find("/pack/");
  if (target.failing_) {
    Reply(call.message_, 500, "text/plain", "target fails on command\n");
  } else if (pack != std::string::npos) {
    const std::uint64_t size = std::strtoull(call.path_.c_str() + pack + 6, nullptr, 10);
    StartPack(call.message_, call.call_id_, size);
  } else {
    Reply(call.message_, 200, "text/plain",
          "call=" + call.call_id_ + " target=" + target.name_ + "\n");
  }
  soup_server_message_unpause(call.message_);
  g_object_unref(call.message_);
  StartWaiting(target);
  return G_SOURCE_REMOVE;
}

void StartCall(TargetServer& target, PendingCall call) {
  ++target.running_;
  std::lognormal_distribution<double> spread(-0.125, 0.5);  // Mean 1.
  const double milliseconds = target.options_.service_ms_ * spread(target.random_);
  auto* running = new RunningCall{&target, std::move(call)};
  if (target.options_.service_ms_ <= 0) {
    FinishCall(running);
  } else {
    g_timeout_add(static_cast<guint>(milliseconds), FinishCall, running);
  }
}

void StartWaiting(TargetServer& target) {
  while (target.running_ < target.options_.slots_ && !target.waiting_.empty()) {
    PendingCall call = std::move(target.waiting_.front());
    target.waiting_.pop_front();
    StartCall(target, std::move(call));
  }
}

void Refuse(TargetServer& target, SoupServerMessage* message, const std::string& id) {
  ++target.refusals_;
  SetCommonHeaders(target, message, id);
  soup_message_headers_replace(soup_server_message_get_response_headers(message),
                               "Monsoonshelf-Outcome", "not_run");
  Reply(message, 503, "text/plain", "target is busy\n");
}

void RecordExecution(TargetServer& target, const std::string& method, const std::string& id) {
  ++target.executions_;
  if (method != "GET" && !id.empty()) ++Process().ledger_[id];
  const auto out = Process().zone_out_since_.find(target.zone_);
  if (out != Process().zone_out_since_.end() &&
      MonotonicMicroseconds() > out->second + kZoneOutGrace) {
    ++Process().late_zone_work_;
  }
  const int in_flight = target.running_ + static_cast<int>(target.waiting_.size()) + 1;
  if (target.cold_answers_left_ > 0 && in_flight > target.options_.cold_limit_ &&
      target.cold_known_since_ != 0 &&
      MonotonicMicroseconds() > target.cold_known_since_ + kColdGrace) {
    ++target.cold_overruns_;
  }
}

void HandleCall(SoupServer* /*server*/, SoupServerMessage* message, const char* path,
                GHashTable* /*query*/, gpointer data) {
  TargetServer& target = *static_cast<TargetServer*>(data);
  const std::string id =
      HeaderOf(soup_server_message_get_request_headers(message), "Monsoonshelf-Call-Id");
  const int in_flight = target.running_ + static_cast<int>(target.waiting_.size());
  if (target.draining_ || in_flight >= target.options_.slots_ + target.options_.backlog_) {
    Refuse(target, message, id);
    return;
  }
  RecordExecution(target, soup_server_message_get_method(message), id);
  soup_server_message_pause(message);
  target.waiting_.push_back(
      PendingCall{static_cast<SoupServerMessage*>(g_object_ref(message)), path, id});
  StartWaiting(target);
}

void HandleLoad(SoupServer* /*server*/, SoupServerMessage* message, const char* /*path*/,
                GHashTable* /*query*/, gpointer data) {
  TargetServer& target = *static_cast<TargetServer*>(data);
  const std::int64_t now = MonotonicMicroseconds();
  ++target.probes_;
  target.probe_times_.push_back(now);
  while (target.probe_times_.front() <= now - 1000 * kMillisecond) target.probe_times_.pop_front();
  // One more than the budget: scheduling on this machine can move two probes closer together.
  if (static_cast<double>(target.probe_times_.size()) > target.options_.probes_per_second_ + 1) {
    ++target.probe_overruns_;
  }
  SetCommonHeaders(target, message, "");
  Reply(message, 200, "text/plain", LoadText(target) + "\n");
}

void TurnCold(TargetServer& target) {
  ++target.epoch_;
  target.cold_answers_left_ = target.options_.cold_answers_;
  target.cold_known_since_ = 0;
}

std::string ReportText() {
  const TargetProcess& process = Process();
  nlohmann::json report = {{"late_zone_work", process.late_zone_work_},
                           {"ledger", process.ledger_}};
  for (const char* key : {"executions", "refusals", "probes", "probe_overruns", "cold_overruns"}) {
    report[key] = 0;
  }
  for (const auto& target : process.targets_) {
    report["executions"] = report["executions"].get<std::int64_t>() + target->executions_;
    report["refusals"] = report["refusals"].get<std::int64_t>() + target->refusals_;
    report["probes"] = report["probes"].get<std::int64_t>() + target->probes_;
    report["probe_overruns"] =
        report["probe_overruns"].get<std::int64_t>() + target->probe_overruns_;
    report["cold_overruns"] = report["cold_overruns"].get<std::int64_t>() + target->cold_overruns_;
  }
  return report.dump();
}

// /control/report, /control/cold, /control/drain, /control/ready, /control/fail with target= or
// zone= (all targets without), /control/zone-out and /control/zone-in with zone=.
void HandleControl(SoupServer* /*server*/, SoupServerMessage* message, const char* path,
                   GHashTable* query, gpointer /*data*/) {
  const std::string command(path + std::string("/control/").size());
  const std::string zone = QueryValue(query, "zone", "");
  const std::string name = QueryValue(query, "target", "");
  if (command == "report") {
    Reply(message, 200, "application/json", ReportText());
    return;
  }
  if (command == "zone-out") Process().zone_out_since_[zone] = MonotonicMicroseconds();
  if (command == "zone-in") Process().zone_out_since_.erase(zone);
  for (auto& target : Process().targets_) {
    if (!zone.empty() && target->zone_ != zone) continue;
    if (!name.empty() && target->name_ != name) continue;
    if (command == "cold") TurnCold(*target);
    if (command == "drain") target->draining_ = true;
    if (command == "fail") target->failing_ = true;
    if (command == "ready") target->draining_ = target->failing_ = false;
  }
  Reply(message, 200, "text/plain", "ok\n");
}

bool StartTarget(std::unique_ptr<TargetServer> target, int port) {
  target->server_.reset(soup_server_new(nullptr, nullptr));
  auto* server = target->server_.get();
  soup_server_add_handler(server, "/monsoonshelf/load", HandleLoad, target.get(), nullptr);
  soup_server_add_handler(server, "/control", HandleControl, target.get(), nullptr);
  soup_server_add_handler(server, nullptr, HandleCall, target.get(), nullptr);
  GObjectPtr<GSocketAddress> address(g_inet_socket_address_new_from_string("127.0.0.1", port));
  GError* error = nullptr;
  if (!soup_server_listen(server, address.get(), SoupServerListenOptions(0), &error)) {
    std::cerr << "target " << target->name_ << " cannot listen on port " << port << ": "
              << error->message << "\n";
    g_clear_error(&error);
    return false;
  }
  if (target->options_.cold_answers_ > 0) TurnCold(*target);
  Process().targets_.push_back(std::move(target));
  return true;
}

// Parses NAME,ZONE,PORT.
bool AddTarget(const std::string& text, TargetOptions options) {
  gchar** parts = g_strsplit(text.c_str(), ",", -1);
  const bool valid = g_strv_length(parts) == 3;
  auto target = std::make_unique<TargetServer>();
  int port = 0;
  if (valid) {
    target->name_ = parts[0];
    target->zone_ = parts[1];
    port = std::atoi(parts[2]);
    target->random_.seed(options.seed_ + static_cast<std::uint64_t>(port));
    target->options_ = options;
  }
  g_strfreev(parts);
  if (!valid) {
    std::cerr << "target '" << text << "' is not NAME,ZONE,PORT\n";
    return false;
  }
  return StartTarget(std::move(target), port);
}

}  // namespace

int RunTarget(const std::vector<std::string>& args) {
  namespace po = boost::program_options;
  TargetOptions options;
  std::vector<std::string> targets;
  po::options_description description("target options");
  auto add = description.add_options();
  add("target", po::value(&targets)->multitoken()->required(), "NAME,ZONE,PORT of each target");
  add("slots", po::value(&options.slots_), "calls that run at a time");
  add("backlog", po::value(&options.backlog_), "calls that wait for a slot");
  add("cold-limit", po::value(&options.cold_limit_), "calls that a cold target bears");
  add("cold-answers", po::value(&options.cold_answers_), "responses until a target is ready");
  add("probes", po::value(&options.probes_per_second_), "probe budget per second");
  add("service-ms", po::value(&options.service_ms_), "mean service time; 0 responds at once");
  add("seed", po::value(&options.seed_), "seed of the service times");
  if (!ParseOptions(args, description)) return 2;
  for (const auto& target : targets) {
    if (!AddTarget(target, options)) return 1;
  }
  std::cout << "event=targets_started count=" << targets.size() << std::endl;
  Process().loop_ = g_main_loop_new(nullptr, FALSE);
  g_unix_signal_add(
      SIGTERM,
      [](gpointer) -> gboolean {
        g_main_loop_quit(Process().loop_);
        return G_SOURCE_REMOVE;
      },
      nullptr);
  g_main_loop_run(Process().loop_);
  return 0;
}

}  // namespace monsoonshelf::standins
