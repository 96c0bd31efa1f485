#include "settings/settings.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include "base/address.h"
#include "base/clock.h"
#include "settings/internal/key_reader.h"

namespace monsoonshelf::settings {

namespace {

constexpr std::string_view kListenRule =
    "an IP address with a port from 1 to 65535, as in 192.0.2.1:8080 or [2001:db8::1]:8080";
constexpr std::string_view kAnyPortRule =
    "an IP address with a port from 0 to 65535, as in 192.0.2.1:9100; 0 lets the kernel choose";
constexpr std::string_view kConnectRule =
    "an IP address, not a name or a wildcard, with a port from 1 to 65535, as in 192.0.2.1:8080";
constexpr std::string_view kSecretRule = "32 to 128 hexadecimal digits, an even number of them";
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

void ReadAddresses(KeyReader& top, Settings& settings, Faults& faults) {
  KeyReader listen(top.Table("listen"), "listen.", faults);
  listen.Text("calls", settings.listen_calls_, kAnyPortRule, IsAnyPortAddress, true);
  listen.Text("peers", settings.listen_peers_, kListenRule, IsListenAddress, true);
  listen.Text("metrics", settings.listen_metrics_, kAnyPortRule, IsAnyPortAddress, true);
  listen.Finish();
  KeyReader advertise(top.Table("advertise"), "advertise.", faults);
  // Without an own value, the listen address is announced; nobody can connect to a wildcard.
  const auto read = [&](const char* key, const std::string& listen_address, std::string& value) {
    const auto address = ParseAddress(listen_address);
    const bool required = address && IsWildcard(*address);
    if (!required) value = listen_address;
    advertise.Text(key, value, kConnectRule, IsConnectAddress, required);
  };
  read("calls", settings.listen_calls_, settings.advertise_calls_);
  read("peers", settings.listen_peers_, settings.advertise_peers_);
  advertise.Finish();
}

void ReadSeeds(KeyReader& peers, Settings& settings) {
  const toml::array* seeds = peers.Array("seeds");
  if (seeds == nullptr) return;
  if (seeds->size() > kMaxSeeds) {
    peers.RefuseValue("seeds", "an array of " + std::to_string(seeds->size()),
                      "at most " + std::to_string(kMaxSeeds) + " addresses");
  }
  for (const toml::node& node : *seeds) {
    const auto* text = node.as_string();
    if (text == nullptr || !IsConnectAddress(text->get())) {
      peers.Refuse("seeds", node, kConnectRule);
    } else if (std::find(settings.seeds_.begin(), settings.seeds_.end(), text->get()) !=
               settings.seeds_.end()) {
      peers.Refuse("seeds", node, "each address once");
    } else {
      settings.seeds_.push_back(text->get());
    }
  }
}

bool HasKeyId(const Settings& settings, const std::string& id) {
  return std::any_of(settings.peer_keys_.begin(), settings.peer_keys_.end(),
                     [&id](const PeerKey& key) { return key.id_ == id; });
}

void ReadPeerKeys(KeyReader& peers, Settings& settings, Faults& faults) {
  constexpr std::string_view kAllowed = "1 to 4 tables with id and secret";
  const toml::array* keys = peers.Array("keys");
  if (keys == nullptr || keys->empty()) {
    peers.Missing("keys", kAllowed);
    return;
  }
  if (keys->size() > kMaxPeerKeys) {
    peers.RefuseValue("keys", "an array of " + std::to_string(keys->size()), kAllowed);
  }
  for (const toml::node& node : *keys) {
    if (!node.is_table()) {
      peers.Refuse("keys", node, kAllowed);
      continue;
    }
    KeyReader reader(node.as_table(), "peers.keys.", faults);
    PeerKey key;
    reader.Text("id", key.id_, kNameRule, IsName, true);
    // A secret must not reach a log, so the error does not show it.
    std::string secret;
    const auto any = [](const std::string&) { return true; };
    if (reader.Text("secret", secret, kSecretRule, any, true)) {
      if (!IsSecret(secret)) {
        reader.RefuseValue("secret", std::to_string(secret.size()) + " characters", kSecretRule);
      }
      key.secret_hex_ = secret;
    }
    reader.Finish();
    if (HasKeyId(settings, key.id_))
      reader.RefuseValue("id", "\"" + key.id_ + "\"", "each id once");
    settings.peer_keys_.push_back(key);
  }
}

void ReadPeers(KeyReader& top, Settings& settings, Faults& faults) {
  KeyReader peers(top.Table("peers"), "peers.", faults);
  ReadSeeds(peers, settings);
  ReadPeerKeys(peers, settings, faults);
  peers.Finish();
}

void ReadPlatform(KeyReader& top, Settings& settings, Faults& faults) {
  KeyReader platform(top.Table("platform"), "platform.", faults);
  platform.Text("address", settings.platform_address_, kConnectRule, IsConnectAddress, true);
  platform.Integer("calls_per_second", 1, 1000, settings.platform_calls_per_second_);
  platform.Finish();
}

void ReadLimits(KeyReader& top, Settings& settings, Faults& faults) {
  constexpr std::int64_t kMegabyte = 1 << 20;
  KeyReader limits(top.Table("limits"), "limits.", faults);
  limits.Integer("header_bytes", 1024, kMegabyte, settings.limits_.header_bytes_);
  limits.Integer("body_buffer_bytes", 4096, 64 * kMegabyte, settings.limits_.body_buffer_bytes_);
  limits.Integer("total_body_bytes", 65'536, 16'384 * kMegabyte,
                 settings.limits_.total_body_bytes_);
  limits.Integer("max_hosts", 1, 1024, settings.limits_.max_hosts_);
  limits.Finish();
  if (settings.limits_.total_body_bytes_ < settings.limits_.body_buffer_bytes_) {
    limits.RefuseValue("total_body_bytes", std::to_string(settings.limits_.total_body_bytes_),
                       "at least limits.body_buffer_bytes, which is " +
                           std::to_string(settings.limits_.body_buffer_bytes_));
  }
}

void ReadOutcomes(KeyReader& top, Settings& settings, Faults& faults) {
  KeyReader outcomes(top.Table("outcomes"), "outcomes.", faults);
  auto& limits = settings.outcomes_;
  outcomes.Integer("max_calls", 1000, 10'000'000, limits.max_calls_);
  outcomes.Integer("max_body_bytes", 0, 1 << 20, limits.max_body_bytes_);
  outcomes.Integer("max_total_body_bytes", 0, std::int64_t{4} << 30, limits.max_total_body_bytes_);
  // A rule allows deadlines up to 5 min; an outcome must be kept for longer than its call runs.
  outcomes.Integer("retention_minutes", 6, 1440, limits.retention_minutes_);
  outcomes.Integer("future_minutes", 1, 60, limits.future_minutes_);
  outcomes.Finish();
}

void ReadLog(KeyReader& top, Settings& settings, Faults& faults) {
  KeyReader log(top.Table("log"), "log.", faults);
  std::string level;
  const auto is_level = [](const std::string& text) {
    return ValueOf(logging::kLogLevelNames, text).has_value();
  };
  if (log.Text("level", level, "one of debug, info, warning, error", is_level, false)) {
    settings.log_.level_ = *ValueOf(logging::kLogLevelNames, level);
  }
  const auto is_path = [](const std::string& text) {
    return !text.empty() && text.find('\0') == std::string::npos;
  };
  log.Text("file", settings.log_.file_, "a path; without the key, standard output", is_path, false);
  log.Finish();
}

Settings ReadTop(const toml::table& table, Faults& faults) {
  Settings settings;
  KeyReader top(&table, "", faults);
  top.Text("name", settings.name_, kNameRule, IsName, true);
  top.Text("zone", settings.zone_, kNameRule, IsName, true);
  top.Text("region", settings.region_, kNameRule, IsName, true);
  top.Integer("data_tasks", 1, 64, settings.data_tasks_);
  top.Integer("keep_seconds", 1, 300, settings.keep_seconds_);
  std::int64_t stop_seconds = settings.stop_timeout_.count() / 1'000'000;
  top.Integer("stop_seconds", 1, 3600, stop_seconds);
  settings.stop_timeout_ = std::chrono::seconds(stop_seconds);
  // A leaving host still gets calls from callers that keep its address.
  if (stop_seconds <= settings.keep_seconds_ + 1) {
    top.RefuseValue(
        "stop_seconds", std::to_string(stop_seconds),
        "more than keep_seconds plus 1, which is " + std::to_string(settings.keep_seconds_ + 1));
  }
  ReadAddresses(top, settings, faults);
  ReadPeers(top, settings, faults);
  ReadPlatform(top, settings, faults);
  ReadLimits(top, settings, faults);
  ReadOutcomes(top, settings, faults);
  ReadLog(top, settings, faults);
  top.Finish();
  return settings;
}

std::string JoinFaults(const Faults& faults) {
  std::string text;
  for (const Fault& fault : faults.faults_) text += (text.empty() ? "" : "\n") + fault.text_;
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
  Faults faults{file, {}};
  Settings settings = ReadTop(parsed.table(), faults);
  if (!faults.faults_.empty()) return Fail(faults.faults_.front().code_, JoinFaults(faults));
  settings.incarnation_ = incarnation;
  return settings;
}

Result<Settings> LoadSettings(const std::string& file) {
  std::ifstream stream(file, std::ios::binary);
  std::string text(kMaxFileBytes + 1, '\0');
  stream.read(text.data(), static_cast<std::streamsize>(text.size()));
  // A folder opens without an error and fails at the first read.
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
