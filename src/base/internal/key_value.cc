#include "base/key_value.h"

namespace monsoonshelf {

namespace {

bool NeedsQuotes(std::string_view value) {
  if (value.empty()) return true;
  for (const char c : value) {
    if (static_cast<unsigned char>(c) <= ' ' || c == '"' || c == '\\' || c == '=') return true;
  }
  return false;
}

void AppendQuoted(std::string& out, std::string_view value) {
  out += '"';
  for (const char c : value) {
    switch (c) {
      case '"':
      case '\\':
        out += '\\';
        out += c;
        break;
      case '\n':
        out += "\\n";
        break;
      default:
        out += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
    }
  }
  out += '"';
}

// Appends the quoted value at `position`, which is after the opening quote, to `value`. Returns
// false if the closing quote is missing.
bool ReadQuoted(std::string_view line, std::size_t& position, std::string& value) {
  while (position < line.size()) {
    const char c = line[position++];
    if (c == '"') return true;
    if (c == '\\') {
      if (position == line.size()) return false;
      const char escaped = line[position++];
      value += escaped == 'n' ? '\n' : escaped;
    } else {
      value += c;
    }
  }
  return false;
}

}  // namespace

std::string FormatKeyValues(const KeyValues& fields) {
  std::string out;
  for (const auto& [key, value] : fields) {
    if (!out.empty()) out += ' ';
    out += key;
    out += '=';
    if (NeedsQuotes(value)) {
      AppendQuoted(out, value);
    } else {
      out += value;
    }
  }
  return out;
}

std::optional<KeyValues> ParseKeyValues(std::string_view line) {
  KeyValues fields;
  std::size_t position = 0;
  while (position < line.size()) {
    if (line[position] == ' ') {
      ++position;
      continue;
    }
    const std::size_t equals = line.find('=', position);
    if (equals == std::string_view::npos || equals == position) return std::nullopt;
    std::string key(line.substr(position, equals - position));
    if (key.find_first_of(" \"") != std::string::npos) return std::nullopt;
    position = equals + 1;
    std::string value;
    if (position < line.size() && line[position] == '"') {
      ++position;
      if (!ReadQuoted(line, position, value)) return std::nullopt;
    } else {
      const std::size_t end = std::min(line.find(' ', position), line.size());
      value = line.substr(position, end - position);
      position = end;
    }
    fields.emplace_back(std::move(key), std::move(value));
  }
  return fields;
}

}  // namespace monsoonshelf
