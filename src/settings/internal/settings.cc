#include "settings/settings.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include "base/address.h"
#include "base/clock.h"
#include "settings/internal/key_reader.h"

namespace monsoonshelf::settings {

namespace {

constexpr std::string_view kAllowedListenAddress =
    "an IP address with a port from 1 to 65535, as in 192.0.2.1:8080 or [2001:db8::1]:8080";
constexpr std::string_view kAllowedAnyPortAddress =
    "an IP address with a port from 0 to 65535, as in 192.0.2.1:9100; 0 lets the kernel choose";
constexpr std::string_view kAllowedConnectAddress =
    "an IP address, not a name or a wildcard, with a port from 1 to 65535, as in 192.0.2.1:8080";
constexpr std::string_view kAllowedSecret = "32 to 128 hexadecimal digits, an even number of them";
constexpr std::size_t kMaxSeeds = 64;
constexpr std::size_t kMaxPeerKeys = 4;
constexpr std::size_t kMaxFileBytes = 1 << 20;

bool IsListenAddress(const std::string& text) {
  const auto address = ParseAddress(text);
  return address && address->port_ != 0;
}

bool IsAnyPortAddress(const std::string& text) { return ParseAddress(text).has_value(); }

bool IsConnectAddress(const std::string& text) {
  const auto address = ParseAddress(text);
  return address && address->port_ != 0 && !IsWildcard(*address);
}

bool IsSecret(const std::string& text) {
  return text.size() >= 32 && text.size() <= 128 && text.size() % 2 == 0 &&
         text.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
}

bool IsName(const std::string& text) { return IsValidName(text); }

void ReadAddresses(KeyReader& top, Settings& settings, SettingsErrors& errors) {
  KeyReader listen(top.ReadTable("listen"), "listen.", errors);
  listen.ReadText("calls", settings.listen_calls_, kAllowedAnyPortAddress, IsAnyPortAddress, true);
  listen.ReadText("peers", settings.listen_peers_, kAllowedListenAddress, IsListenAddress, true);
  listen.ReadText("metrics", settings.listen_metrics_, kAllowedAnyPortAddress, IsAnyPortAddress,
                  true);
  listen.ReportUnknownKeys();
  KeyReader advertise(top.ReadTable("advertise"), "advertise.", errors);
  // The default is the listen address. The key is required if the listen address is a wildcard,
  // because nobody can connect to a wildcard.
  const auto read = [&](const char* key, const std::string& listen_address, std::string& value) {
    const auto address = ParseAddress(listen_address);
    const bool required = address && IsWildcard(*address);
    if (!required) value = listen_address;
    advertise.ReadText(key, value, kAllowedConnectAddress, IsConnectAddress, required);
  };
  read("calls", settings.listen_calls_, settings.advertise_calls_);
  read("peers", settings.listen_peers_, settings.advertise_peers_);
  advertise.ReportUnknownKeys();
}

void ReadSeeds(KeyReader& peers, Settings& settings) {
  const toml::array* seeds = peers.ReadArray("seeds");
  if (seeds == nullptr) return;
  if (seeds->size() > kMaxSeeds) {
    peers.ReportInvalidValue("seeds", "an array of " + std::to_string(seeds->size()),
                             "at most " + std::to_string(kMaxSeeds) + " addresses");
  }
  for (const toml::node& node : *seeds) {
    const auto* text = node.as_string();
    if (text == nullptr || !IsConnectAddress(text->get())) {
      peers.ReportInvalid("seeds", node, kAllowedConnectAddress);
    } else if (std::find(settings.seeds_.begin(), settings.seeds_.end(), text->get()) !=
               settings.seeds_.end()) {
      peers.ReportInvalid("seeds", node, "each address once");
    } else {
      settings.seeds_.push_back(text->get());
    }
  }
}

bool HasKeyId(const Settings& settings, const std::string& id) {
  return std::any_of(settings.peer_keys_.begin(), settings.peer_keys_.end(),
                     [&id](const PeerKey& key) { return key.id_ == id; });
}

void ReadPeerKeys(KeyReader& peers, Settings& settings, SettingsErrors& errors) {
  constexpr std::string_view kAllowedPeerKeys = "1 to 4 tables with id and secret";
  const toml::array* keys = peers.ReadArray("keys");
  if (keys == nullptr || keys->empty()) {
    peers.ReportMissing("keys", kAllowedPeerKeys);
    return;
  }
  if (keys->size() > kMaxPeerKeys) {
    peers.ReportInvalidValue("keys", "an array of " + std::to_string(keys->size()),
                             kAllowedPeerKeys);
  }
  for (const toml::node& node : *keys) {
    if (!node.is_table()) {
      peers.ReportInvalid("keys", node, kAllowedPeerKeys);
      continue;
    }
    KeyReader reader(node.as_table(), "peers.keys.", errors);
    PeerKey key;
    reader.ReadText("id", key.id_, kNameRule, IsName, true);
    // Any text is accepted here and checked below: ReadText would show an invalid secret in its
    // error message, and a secret must not appear in a log.
    std::string secret;
    const auto accept_any = [](const std::string&) { return true; };
    if (reader.ReadText("secret", secret, kAllowedSecret, accept_any, true)) {
      if (!IsSecret(secret)) {
        reader.ReportInvalidValue("secret", std::to_string(secret.size()) + " characters",
                                  kAllowedSecret);
      }
      key.secret_hex_ = secret;
    }
    reader.ReportUnknownKeys();
    if (HasKeyId(settings, key.id_))
      reader.ReportInvalidValue("id", "\"" + key.id_ + "\"", "each id once");
    settings.peer_keys_.push_back(key);
  }
}

void ReadPeers(KeyReader& top, Settings& settings, SettingsErrors& errors) {
  KeyReader peers(top.ReadTable("peers"), "peers.", errors);
  ReadSeeds(peers, settings);
  ReadPeerKeys(peers, settings, errors);
  peers.ReportUnknownKeys();
}

void ReadPlatform(KeyReader& top, Settings& settings, SettingsErrors& errors) {
  KeyReader platform(top.ReadTable("platform"), "platform.", errors);
  platform.ReadText("address", settings.platform_address_, kAllowedConnectAddress, IsConnectAddress,
                    true);
  platform.ReadInteger("calls_per_second", 1, 1000, settings.platform_calls_per_second_);
  platform.ReportUnknownKeys();
}

void ReadLimits(KeyReader& top, Settings& settings, SettingsErrors& errors) {
  constexpr std::int64_t kMegabyte = 1 << 20;
  KeyReader limits(top.ReadTable("limits"), "limits.", errors);
  limits.ReadInteger("header_bytes", 1024, kMegabyte, settings.limits_.header_bytes_);
  limits.ReadInteger("body_buffer_bytes", 4096, 64 * kMegabyte,
                     settings.limits_.body_buffer_bytes_);
  limits.ReadInteger("total_body_bytes", 65'536, 16'384 * kMegabyte,
                     settings.limits_.total_body_bytes_);
  limits.ReadInteger("max_hosts", 1, 1024, settings.limits_.max_hosts_);
  limits.ReportUnknownKeys();
  if (settings.limits_.total_body_bytes_ < settings.limits_.body_buffer_bytes_) {
    limits.ReportInvalidValue("total_body_bytes",
                              std::to_string(settings.limits_.total_body_bytes_),
                              "at least limits.body_buffer_bytes, which is " +
                                  std::to_string(settings.limits_.body_buffer_bytes_));
  }
}

void ReadOutcomes(KeyReader& top, Settings& settings, SettingsErrors& errors) {
  KeyReader outcomes(top.ReadTable("outcomes"), "outcomes.", errors);
  auto& limits = settings.outcomes_;
  outcomes.ReadInteger("max_calls", 1000, 10'000'000, limits.max_calls_);
  outcomes.ReadInteger("max_body_bytes", 0, 1 << 20, limits.max_body_bytes_);
  outcomes.ReadInteger("max_total_body_bytes", 0, std::int64_t{4} << 30,
                       limits.max_total_body_bytes_);
  // Rules allow deadlines of up to 5 minutes, and an outcome must be kept for longer than its call
  // runs.
  outcomes.ReadInteger("retention_minutes", 6, 1440, limits.retention_minutes_);
  outcomes.ReadInteger("future_minutes", 1, 60, limits.future_minutes_);
  outcomes.ReportUnknownKeys();
}

void ReadLog(KeyReader& top, Settings& settings, SettingsErrors& errors) {
  KeyReader log(top.ReadTable("log"), "log.", errors);
  std::string level;
  const auto is_level = [](const std::string& text) {
    return ValueOf(logging::kLogLevelNames, text).has_value();
  };
  if (log.ReadText("level", level, "one of debug, info, warning, error", is_level, false)) {
    settings.log_.level_ = *ValueOf(logging::kLogLevelNames, level);
  }
  const auto is_path = [](const std::string& text) {
    return !text.empty() && text.find('\0') == std::string::npos;
  };
  log.ReadText("file", settings.log_.file_, "a path; without the key, standard output", is_path,
               false);
  log.ReportUnknownKeys();
}

Settings ReadSettings(const toml::table& table, SettingsErrors& errors) {
  Settings settings;
  KeyReader top(&table, "", errors);
  top.ReadText("name", settings.name_, kNameRule, IsName, true);
  top.ReadText("zone", settings.zone_, kNameRule, IsName, true);
  top.ReadText("region", settings.region_, kNameRule, IsName, true);
  top.ReadInteger("data_tasks", 1, 64, settings.data_tasks_);
  top.ReadInteger("keep_seconds", 1, 300, settings.keep_seconds_);
  std::int64_t stop_seconds = settings.stop_timeout_.count() / 1'000'000;
  top.ReadInteger("stop_seconds", 1, 3600, stop_seconds);
  settings.stop_timeout_ = std::chrono::seconds(stop_seconds);
  // A stopping host gets calls until the entry-hosts responses that callers have cached expire.
  if (stop_seconds <= settings.keep_seconds_ + 1) {
    top.ReportInvalidValue(
        "stop_seconds", std::to_string(stop_seconds),
        "more than keep_seconds plus 1, which is " + std::to_string(settings.keep_seconds_ + 1));
  }
  ReadAddresses(top, settings, errors);
  ReadPeers(top, settings, errors);
  ReadPlatform(top, settings, errors);
  ReadLimits(top, settings, errors);
  ReadOutcomes(top, settings, errors);
  ReadLog(top, settings, errors);
  top.ReportUnknownKeys();
  return settings;
}

std::string JoinErrors(const SettingsErrors& errors) {
  std::string text;
  for (const SettingsError& error : errors.errors_)
    text += (text.empty() ? "" : "\n") + error.message_;
  return text;
}

}  // namespace

Result<Settings> ParseSettings(std::string_view text, const std::string& file,
                               Incarnation incarnation) {
  const toml::parse_result parsed = toml::parse(text, file);
  if (!parsed) {
    return Fail(ResultCode::kSettingsSyntax,
                file + ":" + std::to_string(parsed.error().source().begin.line) + ": " +
                    std::string(parsed.error().description()));
  }
  SettingsErrors errors{file, {}};
  Settings settings = ReadSettings(parsed.table(), errors);
  if (!errors.errors_.empty()) return Fail(errors.errors_.front().code_, JoinErrors(errors));
  settings.incarnation_ = incarnation;
  return settings;
}

Result<Settings> LoadSettings(const std::string& file) {
  std::ifstream stream(file, std::ios::binary);
  std::string text(kMaxFileBytes + 1, '\0');
  stream.read(text.data(), static_cast<std::streamsize>(text.size()));
  // A directory can be opened without an error; only the first read fails.
  if (stream.bad() || (!stream.eof() && stream.fail()) || !stream.is_open()) {
    return Fail(ResultCode::kFileUnreadable, "settings file " + file + " cannot be read");
  }
  text.resize(static_cast<std::size_t>(stream.gcount()));
  if (text.size() > kMaxFileBytes) {
    return Fail(ResultCode::kFileUnreadable, "settings file " + file + " has more than " +
                                                 std::to_string(kMaxFileBytes) + " bytes");
  }
  return ParseSettings(text, file, static_cast<Incarnation>(WallMicroseconds() / 1000));
}

}  // namespace monsoonshelf::settings
