#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/base_types.h"
#include "base/result.h"
#include "logging/logging_types.h"
#include "outcomes/outcome_table.h"

namespace monsoonshelf::settings {

// Shared key for peer messages. Two keys can be listed during a rotation.
struct PeerKey {
  std::string id_;
  std::string secret_hex_;  // 32 to 128 hexadecimal digits.
};

struct Limits {
  std::int64_t header_bytes_ = 16'384;          // Per request.
  std::int64_t body_buffer_bytes_ = 262'144;    // Per call and direction.
  std::int64_t total_body_bytes_ = 67'108'864;  // Over all calls.
  int max_hosts_ = 64;  // Entry hosts that share the connections of a target.
};

// Settings of one entry host. Addresses are `IP:port`.
struct Settings {
  HostName name_;
  std::string zone_;
  std::string region_;
  Incarnation incarnation_ = 0;  // Not in the file: milliseconds since 1970 at the start.

  std::string listen_calls_;  // Port 0: chosen by the kernel.
  std::string listen_peers_;
  std::string listen_metrics_;  // Port 0: chosen by the kernel.
  // What others connect to; the listen addresses where the file does not say.
  std::string advertise_calls_;
  std::string advertise_peers_;

  std::vector<std::string> seeds_;  // Peer addresses of other entry hosts.
  std::vector<PeerKey> peer_keys_;  // The first signs, all verify.
  std::string platform_address_;
  int platform_calls_per_second_ = 20;  // Call budget of this host.

  int data_tasks_ = 2;
  int keep_seconds_ = 10;                             // Callers keep an entry-hosts response.
  Duration stop_timeout_ = std::chrono::seconds(30);  // For a graceful stop as a whole.
  Limits limits_;
  outcomes::OutcomeTableLimits outcomes_;
  logging::LogSettings log_;
};

// Reads the text of a settings file. `file` and `incarnation` are copied to errors and the result.
// Errors: kSettingsSyntax, kSettingsUnknownKey, kSettingsInvalidValue, kSettingsMissingKey; the
// message has one line for each fault and names file, line, key, value and allowed values.
Result<Settings> ParseSettings(std::string_view text, const std::string& file,
                               Incarnation incarnation);

// Reads a file and takes the incarnation from the wall clock. Also: kFileUnreadable.
Result<Settings> LoadSettings(const std::string& file);

}  // namespace monsoonshelf::settings
