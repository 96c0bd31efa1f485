#include <algorithm>
#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>

#include "base/base_types.h"
#include "base/key_value.h"
#include "tests/standins/http_util.h"
#include "tests/standins/options.h"
#include "tests/standins/pattern.h"
#include "tests/standins/subcommands.h"

namespace monsoonshelf::standins {

namespace {

constexpr int kMaxTries = 4;
constexpr guint kRetryDelayMs = 150;
constexpr std::int64_t kSecond = 1'000'000;

struct CallKind {
  std::string service_;
  std::string method_;
  std::string path_;
  double weight_ = 1;
};

struct EntryHost {
  std::string address_;
  std::string ticket_;
};

struct HostList {
  std::vector<EntryHost> hosts_;
  std::int64_t expires_ = 0;
  bool refreshing_ = false;
};

struct CallerOptions {
  std::vector<std::string> entry_;
  std::string direct_;
  std::string zone_;
  std::string outcomes_file_;
  std::vector<std::string> call_kinds_;
  double rate_ = 100;
  double seconds_ = 5;
  double warmup_seconds_ = 0;
  int deadline_ms_ = 2000;
  std::uint64_t seed_ = 1;
};

struct Counts {
  std::int64_t calls_ = 0;
  std::int64_t answered_ = 0;
  std::int64_t not_run_ = 0;
  std::int64_t unknown_ = 0;
  std::int64_t lost_ = 0;  // Idempotent calls without any response.
  std::int64_t wrong_answers_ = 0;
  std::int64_t repeats_ = 0;
};

struct CallerProcess {
  CallerOptions options_;
  std::vector<CallKind> kinds_;
  std::map<std::string, HostList> hosts_;  // By service.
  GObjectPtr<SoupSession> session_;
  Random random_;
  Counts counts_;
  std::vector<std::int64_t> latencies_;
  std::int64_t start_ = 0;
  std::int64_t issued_ = 0;
  int open_ = 0;
  std::ofstream outcomes_;
  GMainLoop* loop_ = nullptr;
};

CallerProcess& Process() {
  static CallerProcess process;
  return process;
}

struct CallState {
  const CallKind* kind_;
  std::string id_;
  std::string address_;
  std::size_t host_index_ = 0;
  int tries_ = 0;
  std::int64_t started_ = 0;
  bool measured_ = true;
  bool maybe_run_ = false;  // An earlier try may have reached a target.
  GObjectPtr<SoupMessage> message_;
};

std::vector<EntryHost> ParseHosts(const std::string& text, std::int64_t* keep) {
  std::vector<EntryHost> hosts;
  const auto parsed = nlohmann::json::parse(text, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("hosts")) return hosts;
  for (const auto& host : parsed["hosts"]) {
    hosts.push_back({host.value("address", ""), host.value("ticket", "")});
  }
  *keep = static_cast<std::int64_t>(parsed.value("keep_seconds", 1.0) * kSecond);
  return hosts;
}

std::string HostsUrl(const std::string& address, const std::string& service) {
  return "http://" + address + "/monsoonshelf/v1/entry-hosts?service=" + service +
         "&zone=" + Process().options_.zone_;
}

void StoreHosts(const std::string& service, const std::string& text) {
  std::int64_t keep = kSecond;
  auto hosts = ParseHosts(text, &keep);
  HostList& list = Process().hosts_[service];
  if (!hosts.empty()) list.hosts_ = std::move(hosts);
  list.expires_ = MonotonicMicroseconds() + keep;
}

// Asks for entry hosts in the background, each time through another known address.
void RefreshHosts(const std::string& service) {
  HostList& list = Process().hosts_[service];
  if (list.refreshing_) return;
  list.refreshing_ = true;
  const auto& entry = Process().options_.entry_;
  const std::string& address = entry[Process().random_() % entry.size()];
  auto* message = soup_message_new("GET", HostsUrl(address, service).c_str());
  auto* name = new std::string(service);
  soup_session_send_and_read_async(
      Process().session_.get(), message, G_PRIORITY_DEFAULT, nullptr,
      [](GObject* session, GAsyncResult* result, gpointer data) {
        std::unique_ptr<std::string> name(static_cast<std::string*>(data));
        GBytes* bytes = soup_session_send_and_read_finish(SOUP_SESSION(session), result, nullptr);
        Process().hosts_[*name].refreshing_ = false;
        if (bytes == nullptr) return;  // The next call tries another address.
        gsize size = 0;
        const auto* text = static_cast<const char*>(g_bytes_get_data(bytes, &size));
        StoreHosts(*name, std::string(text == nullptr ? "" : text, size));
        g_bytes_unref(bytes);
      },
      name);
  g_object_unref(message);
}

const HostList& HostsFor(const std::string& service) {
  HostList& list = Process().hosts_[service];
  if (MonotonicMicroseconds() > list.expires_) RefreshHosts(service);
  return list;
}

std::string RandomText() {
  static constexpr char kLetters[] = "abcdefghijklmnopqrstuvwxyz0123456789";
  std::string text;
  for (int i = 0; i < 16; ++i) text += kLetters[Process().random_() % (sizeof kLetters - 1)];
  return text;
}

void SendCall(CallState* call);

// A new identifier names the host it is sent to as its home; a repeat keeps its identifier.
void ChooseHost(CallState& call, bool new_id) {
  if (!Process().options_.direct_.empty()) {
    call.address_ = Process().options_.direct_;
    if (new_id) call.id_ = "direct.1.1." + RandomText();
    return;
  }
  const auto& hosts = HostsFor(call.kind_->service_).hosts_;
  if (hosts.empty()) {
    call.address_ = Process().options_.entry_[call.host_index_ % Process().options_.entry_.size()];
    return;
  }
  const EntryHost& host = hosts[call.host_index_ % hosts.size()];
  call.address_ = host.address_;
  if (new_id) call.id_ = host.ticket_ + "." + RandomText();
}

void EndCall(CallState* call, const std::string& outcome) {
  std::unique_ptr<CallState> owned(call);
  Counts& counts = Process().counts_;
  if (call->measured_) {
    Process().latencies_.push_back(MonotonicMicroseconds() - call->started_);
  }
  if (outcome == "answered") ++counts.answered_;
  if (outcome == "not_run") ++counts.not_run_;
  if (outcome == "unknown") ++counts.unknown_;
  if (outcome == "lost") ++counts.lost_;
  if (call->kind_->method_ != "GET" && Process().outcomes_.is_open()) {
    Process().outcomes_ << FormatKeyValues({{"call", call->id_}, {"outcome", outcome}}) << "\n";
  }
  if (--Process().open_ == 0 && Process().issued_ < 0) g_main_loop_quit(Process().loop_);
}

void RepeatLater(CallState* call) {
  ++Process().counts_.repeats_;
  g_timeout_add(
      kRetryDelayMs,
      [](gpointer data) -> gboolean {
        SendCall(static_cast<CallState*>(data));
        return G_SOURCE_REMOVE;
      },
      call);
}

bool IsRightAnswer(const CallState& call, const std::string& body) {
  const auto pack = call.kind_->path_.find("/pack/");
  if (pack == std::string::npos) {
    return body.rfind("call=" + call.id_ + " ", 0) == 0;
  }
  const auto size = std::strtoull(call.kind_->path_.c_str() + pack + 6, nullptr, 10);
  return body == PatternBytes(call.id_, 0, size);
}

// No response at all. Only a refused connection proves that nothing was sent.
void OnTransportError(CallState* call, const GError* error) {
  const bool idempotent = call->kind_->method_ == "GET";
  const bool not_sent = g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED);
  if (!not_sent) call->maybe_run_ = true;
  ++call->host_index_;
  RefreshHosts(call->kind_->service_);
  if (call->tries_ >= kMaxTries) {
    EndCall(call, idempotent ? "lost" : (call->maybe_run_ ? "unknown" : "not_run"));
    return;
  }
  if (idempotent || !call->maybe_run_) ChooseHost(*call, true);
  RepeatLater(call);
}

void OnResponse(CallState* call, const std::string& body) {
  auto* headers = soup_message_get_response_headers(call->message_.get());
  const bool direct = !Process().options_.direct_.empty();
  const std::string outcome = direct ? "answered" : HeaderOf(headers, "Monsoonshelf-Outcome");
  const int status = static_cast<int>(soup_message_get_status(call->message_.get()));
  if (outcome == "answered" && status == 200 && !IsRightAnswer(*call, body)) {
    ++Process().counts_.wrong_answers_;
    std::cout << FormatKeyValues(
                     {{"event", "wrong_answer"}, {"call", call->id_}, {"body", body.substr(0, 80)}})
              << std::endl;
  }
  const bool idempotent = call->kind_->method_ == "GET";
  if (outcome == "not_run" && idempotent && call->tries_ < 2) {
    ++call->host_index_;
    ChooseHost(*call, true);
    RepeatLater(call);
    return;
  }
  // After a try that may have run, only the home host's word counts; not_run comes from there too.
  EndCall(call, outcome.empty() ? "unknown" : outcome);
}

void SendCall(CallState* call) {
  ++call->tries_;
  if (call->tries_ > 1 && call->maybe_run_) {
    const std::string id = call->id_;
    ChooseHost(*call, false);
    call->id_ = id;
  }
  const std::string prefix =
      Process().options_.direct_.empty() ? "/s/" + call->kind_->service_ : "";
  const std::string url = "http://" + call->address_ + prefix + call->kind_->path_;
  call->message_.reset(soup_message_new(call->kind_->method_.c_str(), url.c_str()));
  auto* headers = soup_message_get_request_headers(call->message_.get());
  soup_message_headers_replace(headers, "Monsoonshelf-Call-Id", call->id_.c_str());
  soup_message_headers_replace(headers, "Monsoonshelf-Deadline-Ms",
                               std::to_string(Process().options_.deadline_ms_).c_str());
  if (call->kind_->method_ != "GET") {
    GBytes* body = g_bytes_new("entry=1", 7);
    soup_message_set_request_body_from_bytes(call->message_.get(), "text/plain", body);
    g_bytes_unref(body);
  }
  soup_session_send_and_read_async(
      Process().session_.get(), call->message_.get(), G_PRIORITY_DEFAULT, nullptr,
      [](GObject* session, GAsyncResult* result, gpointer data) {
        auto* call = static_cast<CallState*>(data);
        GError* error = nullptr;
        GBytes* bytes = soup_session_send_and_read_finish(SOUP_SESSION(session), result, &error);
        if (bytes == nullptr) {
          OnTransportError(call, error);
          g_clear_error(&error);
          return;
        }
        gsize size = 0;
        const auto* text = static_cast<const char*>(g_bytes_get_data(bytes, &size));
        OnResponse(call, std::string(text == nullptr ? "" : text, size));
        g_bytes_unref(bytes);
      },
      call);
}

const CallKind& PickKind() {
  double total = 0;
  for (const auto& kind : Process().kinds_) total += kind.weight_;
  double value = std::uniform_real_distribution<double>(0, total)(Process().random_);
  for (const auto& kind : Process().kinds_) {
    if ((value -= kind.weight_) < 0) return kind;
  }
  return Process().kinds_.back();
}

// Issues every call that is due since the last tick.
gboolean IssueDueCalls(gpointer /*data*/) {
  CallerProcess& process = Process();
  const std::int64_t now = MonotonicMicroseconds();
  const double elapsed = static_cast<double>(now - process.start_) / kSecond;
  const double seconds = std::min(elapsed, process.options_.seconds_);
  const auto due = static_cast<std::int64_t>(seconds * process.options_.rate_);
  for (; process.issued_ < due; ++process.issued_) {
    auto* call = new CallState;
    call->kind_ = &PickKind();
    call->started_ = MonotonicMicroseconds();
    call->measured_ = elapsed >= process.options_.warmup_seconds_;
    ++process.open_;
    ++process.counts_.calls_;
    ChooseHost(*call, true);
    SendCall(call);
  }
  if (elapsed < process.options_.seconds_) return G_SOURCE_CONTINUE;
  process.issued_ = -1;  // No more calls; the last one to end stops the loop.
  if (process.open_ == 0) g_main_loop_quit(process.loop_);
  return G_SOURCE_REMOVE;
}

double PercentileMs(const std::vector<std::int64_t>& sorted, double share) {
  if (sorted.empty()) return 0;
  const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
  return static_cast<double>(sorted[index]) / 1000.0;
}

void PrintResult() {
  CallerProcess& process = Process();
  std::sort(process.latencies_.begin(), process.latencies_.end());
  const Counts& counts = process.counts_;
  const KeyValues fields = {
      {"event", "caller_result"},
      {"calls", std::to_string(counts.calls_)},
      {"answered", std::to_string(counts.answered_)},
      {"not_run", std::to_string(counts.not_run_)},
      {"unknown", std::to_string(counts.unknown_)},
      {"lost", std::to_string(counts.lost_)},
      {"repeats", std::to_string(counts.repeats_)},
      {"wrong_answers", std::to_string(counts.wrong_answers_)},
      {"p50_ms", std::to_string(PercentileMs(process.latencies_, 0.5))},
      {"p99_ms", std::to_string(PercentileMs(process.latencies_, 0.99))},
      {"p999_ms", std::to_string(PercentileMs(process.latencies_, 0.999))},
  };
  std::cout << FormatKeyValues(fields) << std::endl;
}

bool ParseKinds() {
  for (const auto& text : Process().options_.call_kinds_) {
    gchar** parts = g_strsplit(text.c_str(), ",", -1);
    const bool valid = g_strv_length(parts) == 4;
    if (valid) {
      Process().kinds_.push_back({parts[0], parts[1], parts[2], g_ascii_strtod(parts[3], nullptr)});
    }
    g_strfreev(parts);
    if (!valid) {
      std::cerr << "call '" << text << "' is not SERVICE,METHOD,PATH,WEIGHT\n";
      return false;
    }
  }
  return true;
}

// Asks the known addresses one after another until one names entry hosts.
void FetchFirstHosts() {
  for (const auto& kind : Process().kinds_) {
    for (const auto& address : Process().options_.entry_) {
      if (!Process().hosts_[kind.service_].hosts_.empty()) break;
      int status = 0;
      StoreHosts(kind.service_, FetchText("GET", HostsUrl(address, kind.service_), &status));
    }
  }
}

}  // namespace

int RunCaller(const std::vector<std::string>& args) {
  namespace po = boost::program_options;
  CallerOptions& options = Process().options_;
  po::options_description description("caller options");
  auto add = description.add_options();
  add("entry", po::value(&options.entry_)->multitoken(), "addresses that are asked first");
  add("direct", po::value(&options.direct_), "send every call to this address");
  add("zone", po::value(&options.zone_), "availability zone of the caller");
  add("call", po::value(&options.call_kinds_)->multitoken()->required(),
      "SERVICE,METHOD,PATH,WEIGHT");
  add("rate", po::value(&options.rate_), "calls per second");
  add("seconds", po::value(&options.seconds_), "time for which calls are sent");
  add("warmup", po::value(&options.warmup_seconds_), "seconds left out of the percentiles");
  add("deadline-ms", po::value(&options.deadline_ms_), "deadline of each call");
  add("outcomes", po::value(&options.outcomes_file_), "file for the outcomes of POST calls");
  add("seed", po::value(&options.seed_), "seed of identifiers and call order");
  if (!ParseOptions(args, description)) return 2;
  if (!ParseKinds()) return 2;
  if (!options.outcomes_file_.empty()) Process().outcomes_.open(options.outcomes_file_);
  Process().random_.seed(options.seed_);
  Process().session_.reset(soup_session_new_with_options("max-conns", 2000, "max-conns-per-host",
                                                         512, "timeout", 10, nullptr));
  if (options.direct_.empty()) FetchFirstHosts();
  Process().loop_ = g_main_loop_new(nullptr, FALSE);
  Process().start_ = MonotonicMicroseconds();
  g_timeout_add(1, IssueDueCalls, nullptr);
  g_main_loop_run(Process().loop_);
  PrintResult();
  return Process().counts_.wrong_answers_ == 0 ? 0 : 1;
}

}  // namespace monsoonshelf::standins
