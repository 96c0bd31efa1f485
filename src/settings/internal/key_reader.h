#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/result_codes.h"
#include "base/toml.h"

namespace monsoonshelf::settings {

struct SettingsError {
  ResultCode code_ = ResultCode::kSettingsInvalidValue;
  std::string message_;
};

// Collects all errors of a file, so that an operator can correct all of them at once.
struct SettingsErrors {
  std::string file_;
  std::vector<SettingsError> errors_;
};

// Reads the keys of one TOML table. Each key that is read counts as known; ReportUnknownKeys() then
// reports the other keys of the table.
class KeyReader {
 public:
  // `path` is the prefix of key names in error messages: the name of the table with a full stop, or
  // empty for the top level. `table` is null if the file does not have the table.
  KeyReader(const toml::table* table, std::string path, SettingsErrors& errors);

  // Each function returns false and leaves `value` unchanged if the key is absent or invalid.
  // `allowed` describes the valid values for error messages.
  bool ReadText(std::string_view key, std::string& value, std::string_view allowed,
                const std::function<bool(const std::string&)>& check, bool required);
  bool ReadInteger(std::string_view key, std::int64_t low, std::int64_t high, std::int64_t& value);
  template <typename Number>
  void ReadInteger(std::string_view key, std::int64_t low, std::int64_t high, Number& value) {
    auto read = static_cast<std::int64_t>(value);
    if (ReadInteger(key, low, high, read)) value = static_cast<Number>(read);
  }
  // Return nullptr if the key is absent. A value of another type is reported as an error.
  const toml::table* ReadTable(std::string_view key);
  const toml::array* ReadArray(std::string_view key);

  void ReportMissing(std::string_view key, std::string_view allowed);
  void ReportInvalid(std::string_view key, const toml::node& node, std::string_view allowed);
  // Reports an invalid value of a key; `found` describes the value, which need not be shown.
  void ReportInvalidValue(std::string_view key, const std::string& found, std::string_view allowed);

  // Reports each key of the table that is not known, with the most similar known key.
  void ReportUnknownKeys();

 private:
  const toml::node* FindKey(std::string_view key);
  void AddError(ResultCode code, const toml::source_region& source, const std::string& text);

  const toml::table* table_;
  std::string path_;
  SettingsErrors& errors_;
  std::set<std::string, std::less<>> known_keys_;
};

// Returns a TOML value as one line of text, truncated after 80 bytes.
std::string FormatNode(const toml::node& node);

}  // namespace monsoonshelf::settings
