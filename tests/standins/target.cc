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

constexpr std::int64_t kMicrosecondsPerMillisecond = 1000;
// Calls that were already sent when a target became cold or a zone was taken out of service are not
// counted as violations within these times.
constexpr std::int64_t kColdGrace = 50 * kMicrosecondsPerMillisecond;
constexpr std::int64_t kZoneOutGrace = 3000 * kMicrosecondsPerMillisecond;
constexpr std::size_t kChunkBytes = 65'536;

struct TargetOptions {
  int slots_ = 2;                 // Calls that run at the same time.
  int backlog_ = 2;               // Calls that wait for a slot.
  int cold_limit_ = 1;            // Calls in flight that a cold target allows.
  int cold_response_count_ = 20;  // Responses until a cold target becomes ready.
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
  int running_calls_ = 0;
  int cold_responses_left_ = 0;
  std::int64_t cold_known_since_ = 0;  // Time of the first response since the cold start; 0: none.
  std::deque<PendingCall> queued_calls_;
  std::deque<std::int64_t> probe_times_;
  std::int64_t executions_ = 0;
  std::int64_t refusals_ = 0;
  std::int64_t probes_ = 0;
  std::int64_t probe_overruns_ = 0;
  std::int64_t cold_overruns_ = 0;
};

// State of the process. All targets share one ledger: the number of executions by call identifier,
// for calls that must run at most once.
struct TargetContext {
  std::vector<std::unique_ptr<TargetServer>> targets_;
  std::map<std::string, int> ledger_;
  std::map<std::string, std::int64_t> zone_out_since_;
  std::int64_t late_zone_work_ = 0;
  GMainLoop* loop_ = nullptr;
};

TargetContext& Context() {
  static TargetContext context;
  return context;
}

std::string FormatLoad(const TargetServer& target) {
  const char* state =
      target.draining_ ? "draining" : (target.cold_responses_left_ > 0 ? "cold" : "ready");
  return "in_flight=" + std::to_string(target.running_calls_ + target.queued_calls_.size()) +
         ";slots=" + std::to_string(target.options_.slots_) + ";state=" + state +
         ";epoch=" + std::to_string(target.epoch_);
}

void SetCommonHeaders(TargetServer& target, SoupServerMessage* message, const std::string& id) {
  auto* headers = soup_server_message_get_response_headers(message);
  soup_message_headers_replace(headers, "Monsoonshelf-Load", FormatLoad(target).c_str());
  if (!id.empty()) soup_message_headers_replace(headers, "Monsoonshelf-Call-Id", id.c_str());
  if (target.cold_responses_left_ > 0 && target.cold_known_since_ == 0) {
    target.cold_known_since_ = MonotonicMicroseconds();
  }
}

void StartQueuedCalls(TargetServer& target);

// Position in a generated response body. Each chunk is generated after the previous one was
// written, which keeps the memory bounded.
struct BodyStream {
  std::string seed_;
  std::uint64_t position_ = 0;
  std::uint64_t size_ = 0;
};

void WriteNextChunk(SoupServerMessage* message, gpointer data) {
  auto* stream = static_cast<BodyStream*>(data);
  auto* body = soup_server_message_get_response_body(message);
  if (stream->position_ >= stream->size_) {
    soup_message_body_complete(body);
    return;
  }
  const std::size_t count = std::min<std::uint64_t>(kChunkBytes, stream->size_ - stream->position_);
  const std::string chunk = PatternBytes(stream->seed_, stream->position_, count);
  soup_message_body_append(body, SOUP_MEMORY_COPY, chunk.data(), chunk.size());
  stream->position_ += count;
}

void StartBodyStream(SoupServerMessage* message, const std::string& seed, std::uint64_t size) {
  auto* stream = new BodyStream{seed, 0, size};
  auto* headers = soup_server_message_get_response_headers(message);
  soup_message_headers_set_content_length(headers, static_cast<goffset>(size));
  soup_message_body_set_accumulate(soup_server_message_get_response_body(message), FALSE);
  g_signal_connect_data(
      message, "wrote-chunk", G_CALLBACK(WriteNextChunk), stream,
      [](gpointer data, GClosure*) { delete static_cast<BodyStream*>(data); }, GConnectFlags(0));
  soup_server_message_set_status(message, 200, nullptr);
  WriteNextChunk(message, stream);
}

struct RunningCall {
  TargetServer* target_;
  PendingCall call_;
};

gboolean FinishCall(gpointer data) {
  std::unique_ptr<RunningCall> running(static_cast<RunningCall*>(data));
  TargetServer& target = *running->target_;
  const PendingCall& call = running->call_;
  --target.running_calls_;
  if (target.cold_responses_left_ > 0) --target.cold_responses_left_;
  SetCommonHeaders(target, call.message_, call.call_id_);
  const auto size_prefix = call.path_.find("/pack/");
  if (target.failing_) {
    SetResponse(call.message_, 500, "text/plain", "failure injected by /control/fail\n");
  } else if (size_prefix != std::string::npos) {
    const std::uint64_t size = std::strtoull(call.path_.c_str() + size_prefix + 6, nullptr, 10);
    StartBodyStream(call.message_, call.call_id_, size);
  } else {
    SetResponse(call.message_, 200, "text/plain",
                "call=" + call.call_id_ + " target=" + target.name_ + "\n");
  }
  soup_server_message_unpause(call.message_);
  g_object_unref(call.message_);
  StartQueuedCalls(target);
  return G_SOURCE_REMOVE;
}

void StartCall(TargetServer& target, PendingCall call) {
  ++target.running_calls_;
  std::lognormal_distribution<double> spread(-0.125, 0.5);  // Has a mean of 1.
  const double milliseconds = target.options_.service_ms_ * spread(target.random_);
  auto* running = new RunningCall{&target, std::move(call)};
  if (target.options_.service_ms_ <= 0) {
    FinishCall(running);
  } else {
    g_timeout_add(static_cast<guint>(milliseconds), FinishCall, running);
  }
}

void StartQueuedCalls(TargetServer& target) {
  while (target.running_calls_ < target.options_.slots_ && !target.queued_calls_.empty()) {
    PendingCall call = std::move(target.queued_calls_.front());
    target.queued_calls_.pop_front();
    StartCall(target, std::move(call));
  }
}

void RefuseCall(TargetServer& target, SoupServerMessage* message, const std::string& id) {
  ++target.refusals_;
  SetCommonHeaders(target, message, id);
  soup_message_headers_replace(soup_server_message_get_response_headers(message),
                               "Monsoonshelf-Outcome", "not_run");
  SetResponse(message, 503, "text/plain", "target is draining or its backlog is full\n");
}

void RecordExecution(TargetServer& target, const std::string& method, const std::string& id) {
  ++target.executions_;
  if (method != "GET" && !id.empty()) ++Context().ledger_[id];
  const auto out = Context().zone_out_since_.find(target.zone_);
  if (out != Context().zone_out_since_.end() &&
      MonotonicMicroseconds() > out->second + kZoneOutGrace) {
    ++Context().late_zone_work_;
  }
  const int in_flight = target.running_calls_ + static_cast<int>(target.queued_calls_.size()) + 1;
  if (target.cold_responses_left_ > 0 && in_flight > target.options_.cold_limit_ &&
      target.cold_known_since_ != 0 &&
      MonotonicMicroseconds() > target.cold_known_since_ + kColdGrace) {
    ++target.cold_overruns_;
  }
}

void HandleCall(SoupServer* /*server*/, SoupServerMessage* message, const char* path,
                GHashTable* /*query*/, gpointer data) {
  TargetServer& target = *static_cast<TargetServer*>(data);
  const std::string id =
      HeaderValue(soup_server_message_get_request_headers(message), "Monsoonshelf-Call-Id");
  const int in_flight = target.running_calls_ + static_cast<int>(target.queued_calls_.size());
  if (target.draining_ || in_flight >= target.options_.slots_ + target.options_.backlog_) {
    RefuseCall(target, message, id);
    return;
  }
  RecordExecution(target, soup_server_message_get_method(message), id);
  soup_server_message_pause(message);
  target.queued_calls_.push_back(
      PendingCall{static_cast<SoupServerMessage*>(g_object_ref(message)), path, id});
  StartQueuedCalls(target);
}

void HandleProbe(SoupServer* /*server*/, SoupServerMessage* message, const char* /*path*/,
                 GHashTable* /*query*/, gpointer data) {
  TargetServer& target = *static_cast<TargetServer*>(data);
  const std::int64_t now = MonotonicMicroseconds();
  ++target.probes_;
  target.probe_times_.push_back(now);
  while (target.probe_times_.front() <= now - 1000 * kMicrosecondsPerMillisecond)
    target.probe_times_.pop_front();
  // Allows one probe above the budget, because process scheduling can move two probes together.
  if (static_cast<double>(target.probe_times_.size()) > target.options_.probes_per_second_ + 1) {
    ++target.probe_overruns_;
  }
  SetCommonHeaders(target, message, "");
  SetResponse(message, 200, "text/plain", FormatLoad(target) + "\n");
}

void SetCold(TargetServer& target) {
  ++target.epoch_;
  target.cold_responses_left_ = target.options_.cold_response_count_;
  target.cold_known_since_ = 0;
}

std::string FormatReport() {
  const TargetContext& context = Context();
  nlohmann::json report = {{"late_zone_work", context.late_zone_work_},
                           {"ledger", context.ledger_}};
  for (const char* key : {"executions", "refusals", "probes", "probe_overruns", "cold_overruns"}) {
    report[key] = 0;
  }
  for (const auto& target : context.targets_) {
    report["executions"] = report["executions"].get<std::int64_t>() + target->executions_;
    report["refusals"] = report["refusals"].get<std::int64_t>() + target->refusals_;
    report["probes"] = report["probes"].get<std::int64_t>() + target->probes_;
    report["probe_overruns"] =
        report["probe_overruns"].get<std::int64_t>() + target->probe_overruns_;
    report["cold_overruns"] = report["cold_overruns"].get<std::int64_t>() + target->cold_overruns_;
  }
  return report.dump();
}

// Handles /control/report; /control/cold, drain, ready and fail, limited to one target by target=
// or to one zone by zone=; and /control/zone-out and zone-in, which need zone=.
void HandleControl(SoupServer* /*server*/, SoupServerMessage* message, const char* path,
                   GHashTable* query, gpointer /*data*/) {
  const std::string command(path + std::string("/control/").size());
  const std::string zone = QueryValue(query, "zone", "");
  const std::string name = QueryValue(query, "target", "");
  if (command == "report") {
    SetResponse(message, 200, "application/json", FormatReport());
    return;
  }
  if (command == "zone-out") Context().zone_out_since_[zone] = MonotonicMicroseconds();
  if (command == "zone-in") Context().zone_out_since_.erase(zone);
  for (auto& target : Context().targets_) {
    if (!zone.empty() && target->zone_ != zone) continue;
    if (!name.empty() && target->name_ != name) continue;
    if (command == "cold") SetCold(*target);
    if (command == "drain") target->draining_ = true;
    if (command == "fail") target->failing_ = true;
    if (command == "ready") target->draining_ = target->failing_ = false;
  }
  SetResponse(message, 200, "text/plain", "ok\n");
}

bool StartTarget(std::unique_ptr<TargetServer> target, int port) {
  target->server_.reset(soup_server_new(nullptr, nullptr));
  auto* server = target->server_.get();
  soup_server_add_handler(server, "/monsoonshelf/load", HandleProbe, target.get(), nullptr);
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
  if (target->options_.cold_response_count_ > 0) SetCold(*target);
  Context().targets_.push_back(std::move(target));
  return true;
}

// Starts a target from NAME,ZONE,PORT.
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
    std::cerr << "invalid --target '" << text << "': expected NAME,ZONE,PORT\n";
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
  add("slots", po::value(&options.slots_), "calls that run at the same time");
  add("backlog", po::value(&options.backlog_), "calls that wait for a slot");
  add("cold-limit", po::value(&options.cold_limit_), "calls in flight that a cold target allows");
  add("cold-answers", po::value(&options.cold_response_count_),
      "responses until a cold target becomes ready");
  add("probes", po::value(&options.probes_per_second_), "probes per second that are allowed");
  add("service-ms", po::value(&options.service_ms_),
      "mean service time in milliseconds; 0 responds at once");
  add("seed", po::value(&options.seed_), "seed for the service times");
  if (!ParseOptions(args, description)) return 2;
  for (const auto& target : targets) {
    if (!AddTarget(target, options)) return 1;
  }
  std::cout << "event=targets_started count=" << targets.size() << std::endl;
  Context().loop_ = g_main_loop_new(nullptr, FALSE);
  g_unix_signal_add(
      SIGTERM,
      [](gpointer) -> gboolean {
        g_main_loop_quit(Context().loop_);
        return G_SOURCE_REMOVE;
      },
      nullptr);
  g_main_loop_run(Context().loop_);
  return 0;
}

}  // namespace monsoonshelf::standins
