#include "app/internal/serve_command.h"

#include <glib-unix.h>
#include <malloc.h>

#include <csignal>
#include <iostream>
#include <memory>
#include <optional>
#include <random>

#include "app/internal/command.h"
#include "app/internal/command_line.h"
#include "base/address.h"
#include "base/clock.h"
#include "eventloop/timer.h"
#include "gateway/gateway.h"
#include "logging/logging.h"
#include "platform/call_format.h"
#include "platform/object_store.h"
#include "platform/record_format.h"
#include "platform/settings_format.h"

namespace monsoonshelf::app {

namespace {

namespace options = boost::program_options;
using logging::LogLevel;

constexpr std::size_t kMaxSettingsBytes = std::size_t{1} << 20;
// The settings file may change without a SIGHUP. It is small, so it is read again at this interval.
constexpr Duration kSettingsCheckInterval = std::chrono::seconds(2);
// Interval at which the completion of a graceful stop is polled.
constexpr Duration kStopCheckInterval = std::chrono::milliseconds(50);

struct ServingHost {
  std::string settings_path_;
  std::string settings_text_;
  int metrics_port_ = 0;
  std::optional<double> max_hedge_share_;
  int body_timeout_ms_ = 0;
  int response_timeout_ms_ = 0;
  int max_fields_ = 0;
  platform::CallFormat call_format_;
  platform::RecordFormat record_format_;
  std::unique_ptr<platform::ObjectStore> store_;
  std::unique_ptr<gateway::Gateway> gateway_;
  std::unique_ptr<eventloop::Timer> settings_timer_;
  std::unique_ptr<eventloop::Timer> stop_timer_;
  GMainLoop* loop_ = nullptr;
};

Result<gateway::GatewaySettings> ReadSettingsText(ServingHost& host, const std::string& text) {
  BOOST_LEAF_AUTO(settings, platform::ReadSettings(text));
  if (host.metrics_port_ > 0) {
    if (const auto front = ParseAddress(settings.front_address_)) {
      Address metrics = *front;
      metrics.port_ = static_cast<std::uint16_t>(host.metrics_port_);
      settings.metrics_address_ = FormatAddress(metrics);
    }
  }
  settings.max_hedge_share_ = host.max_hedge_share_;
  settings.body_timeout_ = std::chrono::milliseconds(host.body_timeout_ms_);
  settings.response_timeout_ = std::chrono::milliseconds(host.response_timeout_ms_);
  settings.max_fields_ = static_cast<std::size_t>(host.max_fields_);
  return settings;
}

// Applies the settings file if it has changed. If the file is unreadable or invalid, the previous
// settings stay in effect.
void ReloadSettings(ServingHost& host, const char* cause) {
  const auto read =
      Capture<std::string>([&host] { return ReadFile(host.settings_path_, kMaxSettingsBytes); });
  if (!read.value_) {
    logging::LogEvent(LogLevel::kError, "settings_rejected", {{"error", read.error_.message_}});
    return;
  }
  if (*read.value_ == host.settings_text_) return;
  host.settings_text_ = *read.value_;
  const auto settings = Capture<gateway::GatewaySettings>(
      [&host] { return ReadSettingsText(host, host.settings_text_); });
  if (!settings.value_) {
    logging::LogEvent(LogLevel::kError, "settings_rejected", {{"error", settings.error_.message_}});
    return;
  }
  host.gateway_->Reload(*settings.value_);
  logging::LogEvent(LogLevel::kInfo, "settings_reloaded", {{"cause", cause}});
}

gboolean OnStopSignal(gpointer data) {
  auto& host = *static_cast<ServingHost*>(data);
  logging::LogEvent(LogLevel::kInfo, "stop_begun");
  host.gateway_->Stop();
  host.stop_timer_->Set(Now());
  return G_SOURCE_CONTINUE;
}

gboolean OnReloadSignal(gpointer data) {
  ReloadSettings(*static_cast<ServingHost*>(data), "signal");
  return G_SOURCE_CONTINUE;
}

// A signal that arrives before the main loop runs is handled when it runs. Until this call a signal
// ends the process by its default action, so this comes before all work that takes time.
void AddSignalHandlers(ServingHost& host) {
  g_unix_signal_add(SIGTERM, OnStopSignal, &host);
  g_unix_signal_add(SIGINT, OnStopSignal, &host);
  g_unix_signal_add(SIGHUP, OnReloadSignal, &host);
  // A log line that is written to a pipe without a reader must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
}

Result<int> ReadLimit(const options::variables_map& values, const char* name, int min, int max) {
  const int value = values[name].as<int>();
  if (value < min || value > max) {
    return Fail(ResultCode::kUsage, std::string("--") + name + " is " + std::to_string(value) +
                                        ", allowed: " + std::to_string(min) + " to " +
                                        std::to_string(max));
  }
  return value;
}

// Returns large buffers to the system when they are freed. By default the allocator raises this
// threshold to the size of the largest freed buffer, so that the bodies of one burst stay resident.
void ConfigureAllocator() {
  constexpr int kMinMappedBytes = 512 * 1024;
  mallopt(M_MMAP_THRESHOLD, kMinMappedBytes);
}

Result<int> Serve(ServingHost& host, const Arguments& arguments) {
  BOOST_LEAF_AUTO(values, ParseCommandLine(ServeOptions(), arguments, 0, 0));
  const bool check = values["check"].as<bool>();
  if (!check) AddSignalHandlers(host);
  host.metrics_port_ = values["metrics-port"].as<int>();
  if (host.metrics_port_ < 0 || host.metrics_port_ > 65'535) {
    return Fail(ResultCode::kUsage, "--metrics-port is " + std::to_string(host.metrics_port_) +
                                        ", allowed: 1 to 65535, or 0 for the port in the settings");
  }
  const std::string level_name = values["log-level"].as<std::string>();
  const auto level = ValueOf(logging::kLogLevelNames, level_name);
  if (!level) {
    return Fail(ResultCode::kUsage,
                "--log-level is \"" + level_name + "\", allowed: debug, info, warning or error");
  }
  if (values.count("max-hedge-share") > 0) {
    host.max_hedge_share_ = values["max-hedge-share"].as<double>();
    if (!(*host.max_hedge_share_ >= 0 && *host.max_hedge_share_ <= 1)) {
      return Fail(
          ResultCode::kUsage,
          "--max-hedge-share is " + std::to_string(*host.max_hedge_share_) + ", allowed: 0 to 1");
    }
  }
  BOOST_LEAF_ASSIGN(host.body_timeout_ms_, ReadLimit(values, "body-timeout-ms", 100, 3'600'000));
  BOOST_LEAF_ASSIGN(host.response_timeout_ms_,
                    ReadLimit(values, "response-timeout-ms", 100, 3'600'000));
  BOOST_LEAF_ASSIGN(host.max_fields_, ReadLimit(values, "max-fields", 10, 1'000'000));
  BOOST_LEAF_ASSIGN(host.settings_path_, platform::SettingsPath());
  BOOST_LEAF_ASSIGN(host.settings_text_, ReadFile(host.settings_path_, kMaxSettingsBytes));
  BOOST_LEAF_AUTO(settings, ReadSettingsText(host, host.settings_text_));
  if (check) {
    std::cout << "settings of " << settings.name_ << " are valid: " << host.settings_path_ << "\n";
    return kExitOk;
  }
  BOOST_LEAF_CHECK(logging::SetUpLogging({*level, {}, true}, settings.name_));
  logging::LogEvent(LogLevel::kInfo, "start",
                    {{"version", MONSOONSHELF_VERSION},
                     {"zone", settings.zone_},
                     {"front", settings.front_address_},
                     {"store", settings.store_address_}});
  ConfigureAllocator();
  host.loop_ = g_main_loop_new(nullptr, FALSE);
  host.store_ = std::make_unique<platform::ObjectStore>(*ParseAddress(settings.store_address_));
  const auto incarnation = static_cast<Incarnation>(WallMicroseconds());
  BOOST_LEAF_ASSIGN(
      host.gateway_,
      gateway::StartGateway(settings, host.call_format_, host.record_format_, *host.store_,
                            incarnation, std::random_device()() ^ incarnation));
  host.settings_timer_ = std::make_unique<eventloop::Timer>(nullptr, [&host] {
    ReloadSettings(host, "file");
    host.settings_timer_->Set(Now() + kSettingsCheckInterval);
  });
  host.settings_timer_->Set(Now() + kSettingsCheckInterval);
  host.stop_timer_ = std::make_unique<eventloop::Timer>(nullptr, [&host] {
    if (host.gateway_->IsStopped()) return g_main_loop_quit(host.loop_);
    host.stop_timer_->Set(Now() + kStopCheckInterval);
  });
  g_main_loop_run(host.loop_);
  logging::LogEvent(LogLevel::kInfo, "stopped");
  return kExitOk;
}

}  // namespace

options::options_description ServeOptions() {
  options::options_description description("Options");
  description.add_options()(
      "metrics-port", options::value<int>()->default_value(0),
      "port of the metrics endpoint on the host's address; 0: as in the settings")(
      "log-level", options::value<std::string>()->default_value("info"),
      "minimum log level: debug, info, warning or error; info includes served requests")(
      "max-hedge-share", options::value<double>(),
      "share of the requests of a service that may be sent to a second target while the first one "
      "is slow, 0 to 1; without it only the retry budget limits them")(
      "body-timeout-ms", options::value<int>()->default_value(10'000),
      "time between two reads of a request body after which the request gets 408")(
      "response-timeout-ms", options::value<int>()->default_value(30'000),
      "time without a byte accepted by a caller that has a response to read, after which its "
      "connection is closed")("max-fields", options::value<int>()->default_value(1000),
                              "maximum number of header fields of a request; more get 431")(
      "check", options::bool_switch(), "validate the settings file and exit");
  return description;
}

int ServeCommand(const Arguments& arguments) {
  ServingHost host;
  const int code = RunAndReportError("serve", [&] { return Serve(host, arguments); });
  host.settings_timer_.reset();
  host.stop_timer_.reset();
  host.gateway_.reset();
  host.store_.reset();
  logging::TearDownLogging();
  if (host.loop_ != nullptr) g_main_loop_unref(host.loop_);
  return code;
}

}  // namespace monsoonshelf::app
