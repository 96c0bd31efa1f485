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

struct Fault {
  ResultCode code_ = ResultCode::kSettingsInvalidValue;
  std::string text_;
};

// Collects every fault of a file, so that an operator can correct all of them at once.
struct Faults {
  std::string file_;
  std::vector<Fault> faults_;
};

// Reads the keys of one TOML table and remembers which keys exist, for Finish().
class KeyReader {
 public:
  // `path` is the name of the table with a full stop, or empty for the top level.
  KeyReader(const toml::table* table, std::string path, Faults& faults);

  // Each returns false when the key is absent or invalid; the value then stays as it was.
  bool Text(std::string_view key, std::string& value, std::string_view allowed,
            const std::function<bool(const std::string&)>& check, bool required);
  bool Integer(std::string_view key, std::int64_t low, std::int64_t high, std::int64_t& value);
  template <typename Number>
  void Integer(std::string_view key, std::int64_t low, std::int64_t high, Number& value) {
    auto read = static_cast<std::int64_t>(value);
    if (Integer(key, low, high, read)) value = static_cast<Number>(read);
  }
  // Nothing when absent; a fault when the key is no table or array.
  const toml::table* Table(std::string_view key);
  const toml::array* Array(std::string_view key);

  void Missing(std::string_view key, std::string_view allowed);
  void Refuse(std::string_view key, const toml::node& node, std::string_view allowed);
  // Reports a fault on a key that was read; `found` is the value as text.
  void RefuseValue(std::string_view key, const std::string& found, std::string_view allowed);

  // Reports each key that none of the calls above asked for, with the nearest that they did.
  void Finish();

 private:
  const toml::node* Find(std::string_view key);
  void Add(ResultCode code, const toml::source_region& source, const std::string& text);

  const toml::table* table_;
  std::string path_;
  Faults& faults_;
  std::set<std::string, std::less<>> known_;
};

// A TOML value as one line, cut to a readable length.
std::string ShowNode(const toml::node& node);

}  // namespace monsoonshelf::settings
