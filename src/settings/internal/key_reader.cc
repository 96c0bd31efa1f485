#include "settings/internal/key_reader.h"

#include <algorithm>
#include <numeric>
#include <optional>
#include <sstream>

namespace monsoonshelf::settings {

namespace {

constexpr std::size_t kMaxShownBytes = 80;

// Levenshtein distance.
std::size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t substituted = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({substituted, row[j] + 1, row[j - 1] + 1});
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

std::string FormatNode(const toml::node& node) {
  std::ostringstream out;
  // A formatter without flags prints strings with quotes and escapes, so strings are one line.
  node.visit([&out](const auto& value) { out << toml::toml_formatter(value, {}); });
  std::string text = out.str();
  std::replace(text.begin(), text.end(), '\n', ' ');
  if (text.size() > kMaxShownBytes) text = text.substr(0, kMaxShownBytes) + "...";
  return text;
}

KeyReader::KeyReader(const toml::table* table, std::string path, SettingsErrors& errors)
    : table_(table), path_(std::move(path)), errors_(errors) {}

const toml::node* KeyReader::FindKey(std::string_view key) {
  known_keys_.emplace(key);
  return table_ == nullptr ? nullptr : table_->get(key);
}

void KeyReader::AddError(ResultCode code, const toml::source_region& source,
                         const std::string& text) {
  const std::string line = source.begin.line == 0 ? "" : ":" + std::to_string(source.begin.line);
  errors_.errors_.push_back({code, errors_.file_ + line + ": " + text});
}

void KeyReader::ReportMissing(std::string_view key, std::string_view allowed) {
  AddError(ResultCode::kSettingsMissingKey,
           table_ == nullptr ? toml::source_region{} : table_->source(),
           "key " + path_ + std::string(key) + " is missing, allowed: " + std::string(allowed));
}

void KeyReader::ReportInvalid(std::string_view key, const toml::node& node,
                              std::string_view allowed) {
  AddError(ResultCode::kSettingsInvalidValue, node.source(),
           "key " + path_ + std::string(key) + " is " + FormatNode(node) +
               ", allowed: " + std::string(allowed));
}

void KeyReader::ReportInvalidValue(std::string_view key, const std::string& found,
                                   std::string_view allowed) {
  const toml::node* node = FindKey(key);
  AddError(
      ResultCode::kSettingsInvalidValue, node == nullptr ? toml::source_region{} : node->source(),
      "key " + path_ + std::string(key) + " is " + found + ", allowed: " + std::string(allowed));
}

bool KeyReader::ReadText(std::string_view key, std::string& value, std::string_view allowed,
                         const std::function<bool(const std::string&)>& check, bool required) {
  const toml::node* node = FindKey(key);
  if (node == nullptr) {
    if (required) ReportMissing(key, allowed);
    return false;
  }
  const auto* text = node->as_string();
  if (text == nullptr || !check(text->get())) {
    ReportInvalid(key, *node, allowed);
    return false;
  }
  value = text->get();
  return true;
}

bool KeyReader::ReadInteger(std::string_view key, std::int64_t low, std::int64_t high,
                            std::int64_t& value) {
  const toml::node* node = FindKey(key);
  if (node == nullptr) return false;
  const auto* number = node->as_integer();
  if (number == nullptr || number->get() < low || number->get() > high) {
    ReportInvalid(key, *node,
                  "an integer from " + std::to_string(low) + " to " + std::to_string(high));
    return false;
  }
  value = number->get();
  return true;
}

const toml::table* KeyReader::ReadTable(std::string_view key) {
  const toml::node* node = FindKey(key);
  if (node == nullptr) return nullptr;
  if (!node->is_table()) ReportInvalid(key, *node, "a table");
  return node->as_table();
}

const toml::array* KeyReader::ReadArray(std::string_view key) {
  const toml::node* node = FindKey(key);
  if (node == nullptr) return nullptr;
  if (!node->is_array()) ReportInvalid(key, *node, "an array");
  return node->as_array();
}

void KeyReader::ReportUnknownKeys() {
  if (table_ == nullptr) return;
  for (const auto& [key, node] : *table_) {
    if (known_keys_.find(key.str()) != known_keys_.end()) continue;
    const auto nearest = NearestName(key.str(), known_keys_);
    AddError(ResultCode::kSettingsUnknownKey, key.source(),
             "key " + path_ + std::string(key.str()) + " is unknown" +
                 (nearest ? ", nearest known key: " + path_ + *nearest : ""));
  }
}

}  // namespace monsoonshelf::settings
