#include "records/internal/field_reader.h"

#include <algorithm>
#include <cmath>

namespace monsoonshelf::records {

namespace {

constexpr std::size_t kMaxShownBytes = 80;
constexpr std::size_t kMaxMethodLength = 16;
constexpr std::size_t kMaxPathPrefixLength = 256;

std::string FormatNumber(double value) { return Json(value).dump(); }

bool IsMethod(std::string_view method) {
  return method.size() <= kMaxMethodLength &&
         std::all_of(method.begin(), method.end(), [](char c) { return c >= 'A' && c <= 'Z'; });
}

bool IsPathPrefix(std::string_view path) {
  if (path.empty() || path[0] != '/' || path.size() > kMaxPathPrefixLength) return false;
  return std::all_of(path.begin(), path.end(),
                     [](char c) { return c > ' ' && c < 0x7f && c != '?' && c != '#'; });
}

}  // namespace

std::string Abbreviate(const Json& value) {
  std::string text = value.dump(-1, ' ', true, Json::error_handler_t::replace);
  if (text.size() > kMaxShownBytes) text = text.substr(0, kMaxShownBytes) + "...";
  return text;
}

const Json* FieldReader::FindField(std::string_view field, Presence presence,
                                   std::string_view allowed) {
  if (!Ok()) return nullptr;
  const auto found = spec_.find(field);
  if (found != spec_.end()) return &*found;
  if (presence == Presence::kRequired) {
    code_ = ResultCode::kRecordMissingField;
    message_ = "field spec." + std::string(field) + " is missing, allowed: " + std::string(allowed);
  }
  return nullptr;
}

const std::string* FieldReader::FindString(std::string_view field, Presence presence,
                                           std::string_view allowed) {
  const Json* found = FindField(field, presence, allowed);
  if (found == nullptr) return nullptr;
  if (found->is_string()) return found->get_ptr<const std::string*>();
  SetInvalidField(field, *found, allowed);
  return nullptr;
}

void FieldReader::SetInvalidField(std::string_view field, const Json& found,
                                  std::string_view allowed) {
  code_ = ResultCode::kRecordInvalidField;
  message_ = "field spec." + std::string(field) + " is " + Abbreviate(found) +
             ", allowed: " + std::string(allowed);
}

void FieldReader::Name(std::string_view field, std::string& value, Presence presence) {
  const std::string* text = FindString(field, presence, kNameRule);
  if (text == nullptr) return;
  if (IsValidName(*text)) {
    value = *text;
  } else {
    SetInvalidField(field, *text, kNameRule);
  }
}

void FieldReader::AddressText(std::string_view field, std::string& value) {
  constexpr std::string_view kAllowed =
      "an IP address, not a name or a wildcard, with a port from 1 to 65535, as in 192.0.2.1:8080 "
      "or [2001:db8::1]:8080";
  const std::string* text = FindString(field, Presence::kRequired, kAllowed);
  if (text == nullptr) return;
  const auto address = ParseAddress(*text);
  if (address && address->port_ != 0 && !IsWildcard(*address)) {
    value = *text;
  } else {
    SetInvalidField(field, *text, kAllowed);
  }
}

void FieldReader::Method(std::string_view field, std::string& value) {
  constexpr std::string_view kAllowed = "empty for all methods, or up to 16 characters of [A-Z]";
  const std::string* text = FindString(field, Presence::kOptional, kAllowed);
  if (text == nullptr) return;
  if (IsMethod(*text)) {
    value = *text;
  } else {
    SetInvalidField(field, *text, kAllowed);
  }
}

void FieldReader::PathPrefix(std::string_view field, std::string& value) {
  constexpr std::string_view kAllowed =
      "a slash and up to 255 printable ASCII characters without space, ? and #";
  const std::string* text = FindString(field, Presence::kOptional, kAllowed);
  if (text == nullptr) return;
  if (IsPathPrefix(*text)) {
    value = *text;
  } else {
    SetInvalidField(field, *text, kAllowed);
  }
}

void FieldReader::Boolean(std::string_view field, bool& value) {
  const Json* found = FindField(field, Presence::kOptional, "true or false");
  if (found == nullptr) return;
  if (found->is_boolean()) {
    value = found->get<bool>();
  } else {
    SetInvalidField(field, *found, "true or false");
  }
}

void FieldReader::Number(std::string_view field, double& value, double low, double high) {
  const std::string allowed = "a number from " + FormatNumber(low) + " to " + FormatNumber(high);
  const Json* found = FindField(field, Presence::kOptional, allowed);
  if (found == nullptr) return;
  const double read = found->is_number() ? found->get<double>() : std::nan("");
  if (read >= low && read <= high) {
    value = read;
  } else {
    SetInvalidField(field, *found, allowed);
  }
}

void FieldReader::Milliseconds(std::string_view field, Duration& value, std::int64_t low,
                               std::int64_t high) {
  if (const auto read = ReadInteger(field, low, high)) value = std::chrono::milliseconds(*read);
}

std::optional<std::int64_t> FieldReader::ReadInteger(std::string_view field, std::int64_t low,
                                                     std::int64_t high) {
  const std::string allowed =
      "an integer from " + std::to_string(low) + " to " + std::to_string(high);
  const Json* found = FindField(field, Presence::kOptional, allowed);
  if (found == nullptr) return std::nullopt;
  // The parser stores integers above the range of int64 as unsigned; a conversion would wrap
  // around.
  const bool fits =
      found->is_number_unsigned()
          ? found->get<std::uint64_t>() <= std::uint64_t{std::numeric_limits<std::int64_t>::max()}
          : found->is_number_integer();
  if (fits && found->get<std::int64_t>() >= low && found->get<std::int64_t>() <= high) {
    return found->get<std::int64_t>();
  }
  SetInvalidField(field, *found, allowed);
  return std::nullopt;
}

}  // namespace monsoonshelf::records
