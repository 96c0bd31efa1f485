#include "app/internal/run_command.h"

#include <glib-unix.h>

#include <atomic>
#include <boost/program_options.hpp>
#include <csignal>
#include <functional>
#include <iostream>
#include <memory>

#include "app/internal/command.h"
#include "app/internal/entry_view.h"
#include "app/internal/view_report.h"
#include "base/clock.h"
#include "control/control_setup.h"
#include "entry/entry_host.h"
#include "logging/logging.h"
#include "metrics/metrics.h"
#include "settings/settings.h"

namespace monsoonshelf::app {

namespace {

using logging::LogLevel;

// The modules of a running entry host. Each member may use the ones declared before it.
struct RunningHost {
  settings::Settings settings_;
  metrics::MetricsPtr metrics_;
  std::unique_ptr<entry::EntryHost> entry_;
  std::unique_ptr<control::ControlTask> control_;
  // Read by the dispatch task, which starts before the control task exists and ends after it has
  // stopped. Null while there is no running control task.
  std::atomic<control::ControlTask*> control_for_entry_{nullptr};
  GMainLoop* loop_ = nullptr;
  bool stopping_ = false;
  entry::StopResult stop_result_;
  // Inputs and state of ReportView. Used on the main thread only.
  ReportedState reported_;
  control::ControlViewPtr view_;
  std::vector<coordination::ShardLoad> local_shards_;
};

// Runs `message` on the main thread. The modules invoke their callbacks on other threads.
void PostToMainThread(std::function<void()> message) {
  // g_main_context_invoke would run it on the calling thread while the main loop is not running.
  g_idle_add_full(
      G_PRIORITY_DEFAULT,
      [](gpointer data) -> gboolean {
        (*static_cast<std::function<void()>*>(data))();
        return G_SOURCE_REMOVE;
      },
      new std::function<void()>(std::move(message)),
      [](gpointer data) { delete static_cast<std::function<void()>*>(data); });
}

void ReportCurrentView(RunningHost& host) {
  if (host.view_ == nullptr) return;
  ReportView(host.reported_, *host.metrics_, *host.view_, host.local_shards_, Now());
}

Result<std::string> ParseSettingsPath(const Arguments& arguments) {
  namespace options = boost::program_options;
  std::string file;
  options::options_description description("Options");
  description.add_options()("settings", options::value(&file)->required(), "settings file");
  options::positional_options_description positional;
  positional.add("settings", 1);
  try {
    options::variables_map values;
    options::store(
        options::command_line_parser(arguments).options(description).positional(positional).run(),
        values);
    options::notify(values);
  } catch (const options::error& error) {
    return Fail(ResultCode::kUsage, std::string("monsoonshelf run: ") + error.what());
  }
  return file;
}

LogLevel EventLevel(const KeyValues& event) {
  for (const auto& [key, value] : event) {
    if (key == "level") return ValueOf(logging::kLogLevelNames, value).value_or(LogLevel::kInfo);
  }
  return LogLevel::kInfo;
}

void LogModuleEvent(const KeyValues& event) {
  const LogLevel level = EventLevel(event);
  KeyValues fields;
  for (const auto& field : event) {
    if (field.first != "level") fields.push_back(field);
  }
  logging::LogEvent(level, fields);
}

// Answered calls are logged at debug level only. At thousands of calls per second, logging them
// would cost more than processing them.
void LogCallEnd(const entry::CallEnd& end) {
  const LogLevel level =
      end.outcome_ == CallOutcome::kAnswered ? LogLevel::kDebug : LogLevel::kInfo;
  if (!logging::IsLogged(level)) return;
  logging::LogEvent(level, "call_end",
                    {{"call", end.call_id_},
                     {"service", end.service_},
                     {"zone", end.shard_zone_},
                     {"hops", end.hops_},
                     {"status", std::to_string(end.status_)},
                     {"outcome", std::string(NameOf(kCallOutcomeNames, end.outcome_))},
                     {"code", std::string(ResultCodeName(end.code_))},
                     {"total_ms", std::to_string(ToMilliseconds(end.total_))},
                     {"added_ms", std::to_string(ToMilliseconds(end.total_ - end.in_target_))},
                     {"caller_gone", end.caller_gone_ ? "1" : "0"}});
}

entry::EntrySettings MakeEntrySettings(const settings::Settings& settings) {
  entry::EntrySettings entry;
  entry.name_ = settings.name_;
  entry.incarnation_ = settings.incarnation_;
  entry.zone_ = settings.zone_;
  entry.listen_address_ = settings.listen_calls_;
  for (const auto& key : settings.peer_keys_) entry.hop_secrets_.push_back(key.secret_hex_);
  entry.data_tasks_ = settings.data_tasks_;
  entry.max_header_bytes_ = static_cast<std::size_t>(settings.limits_.header_bytes_);
  entry.max_buffered_bytes_ = static_cast<std::size_t>(settings.limits_.total_body_bytes_);
  entry.max_hosts_ = settings.limits_.max_hosts_;
  entry.keep_time_ = std::chrono::seconds(settings.keep_seconds_);
  entry.stop_time_ = settings.stop_timeout_;
  entry.outcomes_ = settings.outcomes_;
  return entry;
}

std::string DecodeHex(const std::string& text) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < text.size(); i += 2) {
    bytes += static_cast<char>(std::stoi(text.substr(i, 2), nullptr, 16));
  }
  return bytes;
}

control::ControlSettings MakeControlSettings(const settings::Settings& settings,
                                             const std::string& listen_address) {
  control::ControlSettings control;
  auto& node = control.node_;
  node.name_ = settings.name_;
  node.incarnation_ = settings.incarnation_;
  node.zone_ = settings.zone_;
  node.region_ = settings.region_;
  node.peer_address_ = settings.advertise_peers_;
  // With port 0 the kernel chooses the port, which is known only after the entry host listens.
  node.call_address_ =
      settings.advertise_calls_.ends_with(":0") ? listen_address : settings.advertise_calls_;
  node.seeds_ = settings.seeds_;
  control.platform_.address_ = settings.platform_address_;
  control.platform_.calls_per_second_ = settings.platform_calls_per_second_;
  for (const auto& key : settings.peer_keys_) {
    control.keys_.push_back({key.id_, DecodeHex(key.secret_hex_)});
  }
  return control;
}

entry::EntryCallbacks MakeEntryCallbacks(RunningHost& host) {
  entry::EntryCallbacks callbacks;
  callbacks.call_end_ = [&host](const entry::CallEnd& end) {
    metrics::CountCall(*host.metrics_, end.outcome_, end.code_);
    if (end.outcome_ == CallOutcome::kAnswered) {
      metrics::ObserveLatency(*host.metrics_, end.total_ - end.in_target_, end.total_);
    }
    LogCallEnd(end);
  };
  callbacks.event_ = LogModuleEvent;
  callbacks.local_shards_ = [&host](const std::vector<coordination::ShardLoad>& shards) {
    if (auto* control = host.control_for_entry_.load()) control->SetLocalShards(shards);
    PostToMainThread([&host, shards] { host.local_shards_ = shards; });
  };
  return callbacks;
}

control::ControlCallbacks MakeControlCallbacks(RunningHost& host) {
  control::ControlCallbacks callbacks;
  callbacks.view_ = [&host](const control::ControlViewPtr& view) {
    host.entry_->SetView(MakeEntryView(*view));
    PostToMainThread([&host, view] {
      host.view_ = view;
      ReportCurrentView(host);
    });
  };
  callbacks.remote_shards_ = [&host](const std::vector<coordination::ShardLoad>& shards) {
    host.entry_->SetRemoteShards(shards);
  };
  callbacks.event_ = LogModuleEvent;
  callbacks.cost_ = [&host](const control::ControlCost& cost) {
    metrics::SetControlTotals(
        *host.metrics_, {cost.processor_time_, cost.peer_bytes_out_ + cost.platform_bytes_out_,
                         cost.peer_bytes_in_ + cost.platform_bytes_in_, cost.peer_messages_out_,
                         cost.peer_messages_in_, cost.platform_calls_, cost.platform_refused_,
                         cost.peer_rejected_});
  };
  return callbacks;
}

// The first SIGTERM or SIGINT begins the graceful stop; a second one forces an immediate stop.
gboolean OnStopSignal(gpointer data) {
  auto& host = *static_cast<RunningHost*>(data);
  if (host.stopping_) {
    host.entry_->ForceStop();
    return G_SOURCE_CONTINUE;
  }
  host.stopping_ = true;
  logging::LogEvent(LogLevel::kInfo, "stop_begun");
  host.control_->Leave();
  host.entry_->BeginStop([&host](const entry::StopResult& result) {
    host.stop_result_ = result;
    g_main_loop_quit(host.loop_);
  });
  return G_SOURCE_CONTINUE;
}

Result<void> StartModules(RunningHost& host, const std::string& file) {
  BOOST_LEAF_ASSIGN(host.settings_, settings::LoadSettings(file));
  BOOST_LEAF_CHECK(logging::SetUpLogging(host.settings_.log_, host.settings_.name_));
  host.metrics_ =
      metrics::MakeMetrics(host.settings_.name_, host.settings_.zone_, host.settings_.region_);
  if (!host.settings_.listen_metrics_.empty()) {
    BOOST_LEAF_AUTO(port, metrics::StartEndpoint(*host.metrics_, host.settings_.listen_metrics_));
    logging::LogEvent(LogLevel::kInfo, "metrics_listening", {{"port", std::to_string(port)}});
  }
  host.entry_ = std::make_unique<entry::EntryHost>(MakeEntrySettings(host.settings_),
                                                   MakeEntryCallbacks(host));
  BOOST_LEAF_CHECK(host.entry_->Start());
  logging::LogEvent(LogLevel::kInfo, "listening", {{"address", host.entry_->Address()}});
  BOOST_LEAF_ASSIGN(host.control_, control::StartControl(
                                       MakeControlSettings(host.settings_, host.entry_->Address()),
                                       MakeControlCallbacks(host)));
  host.control_for_entry_.store(host.control_.get());
  return {};
}

void StopModules(RunningHost& host) {
  // The control task stops first because its callbacks use the entry host. Stop ends its thread,
  // but the object must outlive the dispatch task, which posts to it.
  if (host.control_ != nullptr) host.control_->Stop();
  host.control_for_entry_.store(nullptr);
  host.entry_.reset();
  host.control_.reset();
}

Result<int> Run(RunningHost& host, const Arguments& arguments) {
  BOOST_LEAF_AUTO(file, ParseSettingsPath(arguments));
  // Before all work that takes time: a signal that arrives during it is handled when the main loop
  // runs.
  g_unix_signal_add(SIGTERM, OnStopSignal, &host);
  g_unix_signal_add(SIGINT, OnStopSignal, &host);
  // The first log lines may be written to a pipe without a reader before the entry host starts,
  // which also ignores this signal.
  std::signal(SIGPIPE, SIG_IGN);
  host.loop_ = g_main_loop_new(nullptr, FALSE);
  BOOST_LEAF_CHECK(StartModules(host, file));
  // Queue lengths and free slots change without a new view, so they are also reported periodically.
  g_timeout_add_seconds(
      1,
      [](gpointer data) -> gboolean {
        ReportCurrentView(*static_cast<RunningHost*>(data));
        return G_SOURCE_CONTINUE;
      },
      &host);
  g_main_loop_run(host.loop_);
  logging::LogEvent(host.stop_result_.forced_ ? LogLevel::kError : LogLevel::kInfo, "stopped",
                    {{"forced", host.stop_result_.forced_ ? "1" : "0"},
                     {"interrupted_calls", std::to_string(host.stop_result_.interrupted_calls_)}});
  return host.stop_result_.forced_ ? kExitFailed : kExitOk;
}

}  // namespace

int RunCommand(const std::vector<std::string>& arguments) {
  RunningHost host;
  const int code = Recover([&] { return Run(host, arguments); },
                           [](const Error& error) -> int {
                             std::cerr << error.message_ << "\n";
                             return error.code_ == ResultCode::kUsage ? kExitUsage : kExitFailed;
                           });
  StopModules(host);
  // The destructor of the metrics endpoint waits for its threads, and they wait up to a second for
  // each open connection. The process ends without it.
  static_cast<void>(host.metrics_.release());
  logging::TearDownLogging();
  if (host.loop_ != nullptr) g_main_loop_unref(host.loop_);
  return code;
}

}  // namespace monsoonshelf::app
