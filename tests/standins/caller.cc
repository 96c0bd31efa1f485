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

constexpr int kMaxAttempts = 4;
constexpr guint kRetryDelayMs = 150;
constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;

// One --call option. Calls of this kind are drawn in proportion to the weight.
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

// Entry hosts of one service, as an entry host reported them.
struct HostList {
  std::vector<EntryHost> hosts_;
  std::int64_t expires_at_ = 0;  // Monotonic microseconds.
  bool refreshing_ = false;
};

struct CallerOptions {
  std::vector<std::string> entry_addresses_;
  std::string direct_address_;
  std::string zone_;
  std::string outcomes_file_;
  std::vector<std::string> call_kind_texts_;
  double calls_per_second_ = 100;
  double duration_s_ = 5;
  double warmup_s_ = 0;
  int deadline_ms_ = 2000;
  std::uint64_t seed_ = 1;
};

struct Counts {
  std::int64_t calls_ = 0;
  std::int64_t answered_ = 0;
  std::int64_t not_run_ = 0;
  std::int64_t unknown_ = 0;
  std::int64_t lost_ = 0;  // Idempotent calls that got no response in any attempt.
  std::int64_t wrong_answers_ = 0;
  std::int64_t repeats_ = 0;
};

struct CallerContext {
  CallerOptions options_;
  std::vector<CallKind> call_kinds_;
  std::map<std::string, HostList> host_lists_;  // Key: service name.
  GObjectPtr<SoupSession> session_;
  Random random_;
  Counts counts_;
  std::vector<std::int64_t> latencies_us_;
  std::int64_t start_time_ = 0;
  std::int64_t issued_calls_ = 0;  // -1 once no more calls are issued.
  int open_calls_ = 0;
  std::ofstream outcomes_;
  GMainLoop* loop_ = nullptr;
};

CallerContext& Context() {
  static CallerContext context;
  return context;
}

struct CallState {
  const CallKind* kind_;
  std::string id_;
  std::string address_;
  std::size_t host_index_ = 0;
  int attempt_count_ = 0;
  std::int64_t start_time_ = 0;
  bool is_measured_ = true;    // False during the warm-up.
  bool may_have_run_ = false;  // An earlier attempt may have reached a target.
  GObjectPtr<SoupMessage> message_;
};

// Parses the response of the entry-hosts directory. `keep_us` receives the validity of the list in
// microseconds and is left unchanged if the text is malformed.
std::vector<EntryHost> ParseHostList(const std::string& text, std::int64_t* keep_us) {
  std::vector<EntryHost> hosts;
  const auto parsed = nlohmann::json::parse(text, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("hosts")) return hosts;
  for (const auto& host : parsed["hosts"]) {
    hosts.push_back({host.value("address", ""), host.value("ticket", "")});
  }
  *keep_us = static_cast<std::int64_t>(parsed.value("keep_seconds", 1.0) * kMicrosecondsPerSecond);
  return hosts;
}

std::string HostListUrl(const std::string& address, const std::string& service) {
  return "http://" + address + "/monsoonshelf/v1/entry-hosts?service=" + service +
         "&zone=" + Context().options_.zone_;
}

// Replaces the host list of a service. An empty or malformed response keeps the previous hosts.
void UpdateHostList(const std::string& service, const std::string& text) {
  std::int64_t keep_us = kMicrosecondsPerSecond;
  auto hosts = ParseHostList(text, &keep_us);
  HostList& list = Context().host_lists_[service];
  if (!hosts.empty()) list.hosts_ = std::move(hosts);
  list.expires_at_ = MonotonicMicroseconds() + keep_us;
}

// Requests the host list of a service asynchronously from a random known entry address.
void RefreshHostList(const std::string& service) {
  HostList& list = Context().host_lists_[service];
  if (list.refreshing_) return;
  list.refreshing_ = true;
  const auto& entry = Context().options_.entry_addresses_;
  const std::string& address = entry[Context().random_() % entry.size()];
  auto* message = soup_message_new("GET", HostListUrl(address, service).c_str());
  auto* name = new std::string(service);
  soup_session_send_and_read_async(
      Context().session_.get(), message, G_PRIORITY_DEFAULT, nullptr,
      [](GObject* session, GAsyncResult* result, gpointer data) {
        std::unique_ptr<std::string> name(static_cast<std::string*>(data));
        GBytes* bytes = soup_session_send_and_read_finish(SOUP_SESSION(session), result, nullptr);
        Context().host_lists_[*name].refreshing_ = false;
        if (bytes == nullptr) return;  // The next refresh picks an address again.
        gsize size = 0;
        const auto* text = static_cast<const char*>(g_bytes_get_data(bytes, &size));
        UpdateHostList(*name, std::string(text == nullptr ? "" : text, size));
        g_bytes_unref(bytes);
      },
      name);
  g_object_unref(message);
}

// Returns the known host list and starts a refresh if it has expired.
const HostList& CurrentHostList(const std::string& service) {
  HostList& list = Context().host_lists_[service];
  if (MonotonicMicroseconds() > list.expires_at_) RefreshHostList(service);
  return list;
}

std::string RandomToken() {
  static constexpr char kLetters[] = "abcdefghijklmnopqrstuvwxyz0123456789";
  std::string text;
  for (int i = 0; i < 16; ++i) text += kLetters[Context().random_() % (sizeof kLetters - 1)];
  return text;
}

void SendCall(CallState* call);

// Sets the address of the next attempt. A new call identifier begins with the ticket of the chosen
// host, which becomes the home host of the call; a retry that may have run keeps its identifier.
void ChooseHost(CallState& call, bool new_id) {
  if (!Context().options_.direct_address_.empty()) {
    call.address_ = Context().options_.direct_address_;
    if (new_id) call.id_ = "direct.1.1." + RandomToken();
    return;
  }
  const auto& hosts = CurrentHostList(call.kind_->service_).hosts_;
  if (hosts.empty()) {
    call.address_ = Context().options_.entry_addresses_[call.host_index_ %
                                                        Context().options_.entry_addresses_.size()];
    return;
  }
  const EntryHost& host = hosts[call.host_index_ % hosts.size()];
  call.address_ = host.address_;
  if (new_id) call.id_ = host.ticket_ + "." + RandomToken();
}

void EndCall(CallState* call, const std::string& outcome) {
  std::unique_ptr<CallState> owned(call);
  Counts& counts = Context().counts_;
  if (call->is_measured_) {
    Context().latencies_us_.push_back(MonotonicMicroseconds() - call->start_time_);
  }
  if (outcome == "answered") ++counts.answered_;
  if (outcome == "not_run") ++counts.not_run_;
  if (outcome == "unknown") ++counts.unknown_;
  if (outcome == "lost") ++counts.lost_;
  if (call->kind_->method_ != "GET" && Context().outcomes_.is_open()) {
    Context().outcomes_ << FormatKeyValues({{"call", call->id_}, {"outcome", outcome}}) << "\n";
  }
  if (--Context().open_calls_ == 0 && Context().issued_calls_ < 0)
    g_main_loop_quit(Context().loop_);
}

void RetryLater(CallState* call) {
  ++Context().counts_.repeats_;
  g_timeout_add(
      kRetryDelayMs,
      [](gpointer data) -> gboolean {
        SendCall(static_cast<CallState*>(data));
        return G_SOURCE_REMOVE;
      },
      call);
}

bool IsExpectedBody(const CallState& call, const std::string& body) {
  const auto size_prefix = call.kind_->path_.find("/pack/");
  if (size_prefix == std::string::npos) {
    return body.rfind("call=" + call.id_ + " ", 0) == 0;
  }
  const auto size = std::strtoull(call.kind_->path_.c_str() + size_prefix + 6, nullptr, 10);
  return body == PatternBytes(call.id_, 0, size);
}

// Retries or ends a call that got no response. Only a refused connection proves that the request
// was not sent.
void OnTransportError(CallState* call, const GError* error) {
  const bool idempotent = call->kind_->method_ == "GET";
  const bool not_sent = g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED);
  if (!not_sent) call->may_have_run_ = true;
  ++call->host_index_;
  RefreshHostList(call->kind_->service_);
  if (call->attempt_count_ >= kMaxAttempts) {
    EndCall(call, idempotent ? "lost" : (call->may_have_run_ ? "unknown" : "not_run"));
    return;
  }
  if (idempotent || !call->may_have_run_) ChooseHost(*call, true);
  RetryLater(call);
}

void OnResponse(CallState* call, const std::string& body) {
  auto* headers = soup_message_get_response_headers(call->message_.get());
  const bool direct = !Context().options_.direct_address_.empty();
  const std::string outcome = direct ? "answered" : HeaderValue(headers, "Monsoonshelf-Outcome");
  const int status = static_cast<int>(soup_message_get_status(call->message_.get()));
  if (outcome == "answered" && status == 200 && !IsExpectedBody(*call, body)) {
    ++Context().counts_.wrong_answers_;
    std::cout << FormatKeyValues(
                     {{"event", "wrong_answer"}, {"call", call->id_}, {"body", body.substr(0, 80)}})
              << std::endl;
  }
  const bool idempotent = call->kind_->method_ == "GET";
  if (outcome == "not_run" && idempotent && call->attempt_count_ < 2) {
    ++call->host_index_;
    ChooseHost(*call, true);
    RetryLater(call);
    return;
  }
  // After an attempt that may have run, only the home host can report the outcome, including
  // not_run.
  EndCall(call, outcome.empty() ? "unknown" : outcome);
}

void SendCall(CallState* call) {
  ++call->attempt_count_;
  if (call->attempt_count_ > 1 && call->may_have_run_) {
    const std::string id = call->id_;
    ChooseHost(*call, false);
    call->id_ = id;
  }
  const std::string prefix =
      Context().options_.direct_address_.empty() ? "/s/" + call->kind_->service_ : "";
  const std::string url = "http://" + call->address_ + prefix + call->kind_->path_;
  call->message_.reset(soup_message_new(call->kind_->method_.c_str(), url.c_str()));
  auto* headers = soup_message_get_request_headers(call->message_.get());
  soup_message_headers_replace(headers, "Monsoonshelf-Call-Id", call->id_.c_str());
  soup_message_headers_replace(headers, "Monsoonshelf-Deadline-Ms",
                               std::to_string(Context().options_.deadline_ms_).c_str());
  if (call->kind_->method_ != "GET") {
    GBytes* body = g_bytes_new("entry=1", 7);
    soup_message_set_request_body_from_bytes(call->message_.get(), "text/plain", body);
    g_bytes_unref(body);
  }
  soup_session_send_and_read_async(
      Context().session_.get(), call->message_.get(), G_PRIORITY_DEFAULT, nullptr,
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

const CallKind& PickCallKind() {
  double total = 0;
  for (const auto& kind : Context().call_kinds_) total += kind.weight_;
  double value = std::uniform_real_distribution<double>(0, total)(Context().random_);
  for (const auto& kind : Context().call_kinds_) {
    if ((value -= kind.weight_) < 0) return kind;
  }
  return Context().call_kinds_.back();
}

// Issues the calls that have become due since the last timer event.
gboolean IssueDueCalls(gpointer /*data*/) {
  CallerContext& context = Context();
  const std::int64_t now = MonotonicMicroseconds();
  const double elapsed = static_cast<double>(now - context.start_time_) / kMicrosecondsPerSecond;
  const double seconds = std::min(elapsed, context.options_.duration_s_);
  const auto due = static_cast<std::int64_t>(seconds * context.options_.calls_per_second_);
  for (; context.issued_calls_ < due; ++context.issued_calls_) {
    auto* call = new CallState;
    call->kind_ = &PickCallKind();
    call->start_time_ = MonotonicMicroseconds();
    call->is_measured_ = elapsed >= context.options_.warmup_s_;
    ++context.open_calls_;
    ++context.counts_.calls_;
    ChooseHost(*call, true);
    SendCall(call);
  }
  if (elapsed < context.options_.duration_s_) return G_SOURCE_CONTINUE;
  context.issued_calls_ = -1;  // No more calls are issued; the last open call ends the main loop.
  if (context.open_calls_ == 0) g_main_loop_quit(context.loop_);
  return G_SOURCE_REMOVE;
}

double PercentileMs(const std::vector<std::int64_t>& sorted, double share) {
  if (sorted.empty()) return 0;
  const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
  return static_cast<double>(sorted[index]) / 1000.0;
}

void PrintResult() {
  CallerContext& context = Context();
  std::sort(context.latencies_us_.begin(), context.latencies_us_.end());
  const Counts& counts = context.counts_;
  const KeyValues fields = {
      {"event", "caller_result"},
      {"calls", std::to_string(counts.calls_)},
      {"answered", std::to_string(counts.answered_)},
      {"not_run", std::to_string(counts.not_run_)},
      {"unknown", std::to_string(counts.unknown_)},
      {"lost", std::to_string(counts.lost_)},
      {"repeats", std::to_string(counts.repeats_)},
      {"wrong_answers", std::to_string(counts.wrong_answers_)},
      {"p50_ms", std::to_string(PercentileMs(context.latencies_us_, 0.5))},
      {"p99_ms", std::to_string(PercentileMs(context.latencies_us_, 0.99))},
      {"p999_ms", std::to_string(PercentileMs(context.latencies_us_, 0.999))},
  };
  std::cout << FormatKeyValues(fields) << std::endl;
}

bool ParseCallKinds() {
  for (const auto& text : Context().options_.call_kind_texts_) {
    gchar** parts = g_strsplit(text.c_str(), ",", -1);
    const bool valid = g_strv_length(parts) == 4;
    if (valid) {
      Context().call_kinds_.push_back(
          {parts[0], parts[1], parts[2], g_ascii_strtod(parts[3], nullptr)});
    }
    g_strfreev(parts);
    if (!valid) {
      std::cerr << "invalid --call '" << text << "': expected SERVICE,METHOD,PATH,WEIGHT\n";
      return false;
    }
  }
  return true;
}

// Fetches the host list of each service from the entry addresses in order, until one returns hosts.
void FetchInitialHostLists() {
  for (const auto& kind : Context().call_kinds_) {
    for (const auto& address : Context().options_.entry_addresses_) {
      if (!Context().host_lists_[kind.service_].hosts_.empty()) break;
      int status = 0;
      UpdateHostList(kind.service_, FetchText("GET", HostListUrl(address, kind.service_), &status));
    }
  }
}

}  // namespace

int RunCaller(const std::vector<std::string>& args) {
  namespace po = boost::program_options;
  CallerOptions& options = Context().options_;
  po::options_description description("caller options");
  auto add = description.add_options();
  add("entry", po::value(&options.entry_addresses_)->multitoken(),
      "entry host addresses that the host list is fetched from");
  add("direct", po::value(&options.direct_address_),
      "send every call to this address, without entry hosts");
  add("zone", po::value(&options.zone_), "availability zone of the caller");
  add("call", po::value(&options.call_kind_texts_)->multitoken()->required(),
      "SERVICE,METHOD,PATH,WEIGHT");
  add("rate", po::value(&options.calls_per_second_), "calls per second");
  add("seconds", po::value(&options.duration_s_), "seconds for which calls are sent");
  add("warmup", po::value(&options.warmup_s_),
      "seconds at the start that the percentiles leave out");
  add("deadline-ms", po::value(&options.deadline_ms_), "deadline of each call in milliseconds");
  add("outcomes", po::value(&options.outcomes_file_),
      "file for the outcomes of calls other than GET");
  add("seed", po::value(&options.seed_), "seed of call identifiers and call order");
  if (!ParseOptions(args, description)) return 2;
  if (!ParseCallKinds()) return 2;
  if (!options.outcomes_file_.empty()) Context().outcomes_.open(options.outcomes_file_);
  Context().random_.seed(options.seed_);
  Context().session_.reset(soup_session_new_with_options("max-conns", 2000, "max-conns-per-host",
                                                         512, "timeout", 10, nullptr));
  if (options.direct_address_.empty()) FetchInitialHostLists();
  Context().loop_ = g_main_loop_new(nullptr, FALSE);
  Context().start_time_ = MonotonicMicroseconds();
  g_timeout_add(1, IssueDueCalls, nullptr);
  g_main_loop_run(Context().loop_);
  PrintResult();
  return Context().counts_.wrong_answers_ == 0 ? 0 : 1;
}

}  // namespace monsoonshelf::standins
