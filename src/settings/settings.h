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

// Shared key that signs peer messages. During a key rotation, two keys can be listed.
struct PeerKey {
  std::string id_;
  std::string secret_hex_;  // 32 to 128 hexadecimal digits.
};

struct Limits {
  std::int64_t header_bytes_ = 16'384;          // Header bytes of a request.
  std::int64_t body_buffer_bytes_ = 262'144;    // Buffered body bytes, per call and direction.
  std::int64_t total_body_bytes_ = 67'108'864;  // Buffered body bytes of all calls.
  int max_hosts_ = 64;                          // Entry hosts that share a target's connections.
};

// Settings of one entry host. Addresses are `IP:port`.
struct Settings {
  HostName name_;
  std::string zone_;
  std::string region_;
  Incarnation incarnation_ = 0;  // Start time in milliseconds since 1970; not in the file.

  std::string listen_calls_;  // Port 0: chosen by the kernel.
  std::string listen_peers_;
  std::string listen_metrics_;  // Port 0: chosen by the kernel.
  // Addresses to which callers and peers connect; by default the listen addresses.
  std::string advertise_calls_;
  std::string advertise_peers_;

  std::vector<std::string> seeds_;  // Peer addresses of other entry hosts.
  std::vector<PeerKey> peer_keys_;  // The first one signs, all of them verify.
  std::string platform_address_;
  int platform_calls_per_second_ = 20;  // Rate limit of this host.

  int data_tasks_ = 2;
  int keep_seconds_ = 10;                             // Callers may cache an entry-hosts response.
  Duration stop_timeout_ = std::chrono::seconds(30);  // Maximum for a graceful stop.
  Limits limits_;
  outcomes::OutcomeTableLimits outcomes_;
  logging::LogSettings log_;
};

// Parses the text of a settings file. `file` is the file name for error messages; `incarnation` is
// copied to the result. Errors: kSettingsSyntax, kSettingsUnknownKey, kSettingsInvalidValue,
// kSettingsMissingKey. The message has one line for each error, with file, line, key, value and
// allowed values.
Result<Settings> ParseSettings(std::string_view text, const std::string& file,
                               Incarnation incarnation);

// Reads and parses a settings file; the incarnation is the current wall-clock time. Errors as for
// ParseSettings, and kFileUnreadable.
Result<Settings> LoadSettings(const std::string& file);

}  // namespace monsoonshelf::settings
