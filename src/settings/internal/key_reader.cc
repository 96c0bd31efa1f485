#include "settings/internal/key_reader.h"

#include <algorithm>
#include <numeric>
#include <optional>
#include <sstream>

namespace monsoonshelf::settings {

namespace {

constexpr std::size_t kMaxShownValue = 80;

// Levenshtein distance.
std::size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t changed = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({changed, row[j] + 1, row[j - 1] + 1});
    }
  }
  return row[b.size()];
}

std::optional<std::string> NearestName(std::string_view name,
                                       const std::set<std::string, std::less<>>& known) {
  const auto nearest =
      std::min_element(known.begin(), known.end(), [name](const auto& a, const auto& b) {
        return EditDistance(name, a) < EditDistance(name, b);
      });
  if (nearest == known.end()) return std::nullopt;
  return *nearest;
}

}  // namespace

std::string ShowNode(const toml::node& node) {
  std::ostringstream out;
  // A formatter without flags prints strings with quotes and escapes, so the text is one line.
  node.visit([&out](const auto& value) { out << toml::toml_formatter(value, {}); });
  std::string text = out.str();
  std::replace(text.begin(), text.end(), '\n', ' ');
  if (text.size() > kMaxShownValue) text = text.substr(0, kMaxShownValue) + "...";
  return text;
}

KeyReader::KeyReader(const toml::table* table, std::string path, Faults& faults)
    : table_(table), path_(std::move(path)), faults_(faults) {}

const toml::node* KeyReader::Find(std::string_view key) {
  known_.emplace(key);
  return table_ == nullptr ? nullptr : table_->get(key);
}

void KeyReader::Add(ResultCode code, const toml::source_region& source, const std::string& text) {
  const std::string line = source.begin.line == 0 ? "" : ":" + std::to_string(source.begin.line);
  faults_.faults_.push_back({code, faults_.file_ + line + ": " + text});
}

void KeyReader::Missing(std::string_view key, std::string_view allowed) {
  Add(ResultCode::kSettingsMissingKey, table_ == nullptr ? toml::source_region{} : table_->source(),
      "key " + path_ + std::string(key) + " is missing, allowed: " + std::string(allowed));
}

void KeyReader::Refuse(std::string_view key, const toml::node& node, std::string_view allowed) {
  Add(ResultCode::kSettingsInvalidValue, node.source(),
      "key " + path_ + std::string(key) + " is " + ShowNode(node) +
          ", allowed: " + std::string(allowed));
}

void KeyReader::RefuseValue(std::string_view key, const std::string& found,
                            std::string_view allowed) {
  const toml::node* node = Find(key);
  Add(ResultCode::kSettingsInvalidValue, node == nullptr ? toml::source_region{} : node->source(),
      "key " + path_ + std::string(key) + " is " + found + ", allowed: " + std::string(allowed));
}

bool KeyReader::Text(std::string_view key, std::string& value, std::string_view allowed,
                     const std::function<bool(const std::string&)>& check, bool required) {
  const toml::node* node = Find(key);
  if (node == nullptr) {
    if (required) Missing(key, allowed);
    return false;
  }
  const auto* text = node->as_string();
  if (text == nullptr || !check(text->get())) {
    Refuse(key, *node, allowed);
    return false;
  }
  value = text->get();
  return true;
}

bool KeyReader::Integer(std::string_view key, std::int64_t low, std::int64_t high,
                        std::int64_t& value) {
  const toml::node* node = Find(key);
  if (node == nullptr) return false;
  const auto* number = node->as_integer();
  if (number == nullptr || number->get() < low || number->get() > high) {
    Refuse(key, *node, "an integer from " + std::to_string(low) + " to " + std::to_string(high));
    return false;
  }
  value = number->get();
  return true;
}

const toml::table* KeyReader::Table(std::string_view key) {
  const toml::node* node = Find(key);
  if (node == nullptr) return nullptr;
  if (!node->is_table()) Refuse(key, *node, "a table");
  return node->as_table();
}

const toml::array* KeyReader::Array(std::string_view key) {
  const toml::node* node = Find(key);
  if (node == nullptr) return nullptr;
  if (!node->is_array()) Refuse(key, *node, "an array");
  return node->as_array();
}

void KeyReader::Finish() {
  if (table_ == nullptr) return;
  for (const auto& [key, node] : *table_) {
    if (known_.find(key.str()) != known_.end()) continue;
    const auto nearest = NearestName(key.str(), known_);
    Add(ResultCode::kSettingsUnknownKey, key.source(),
        "key " + path_ + std::string(key.str()) + " is unknown" +
            (nearest ? ", nearest known key: " + path_ + *nearest : ""));
  }
}

}  // namespace monsoonshelf::settings
