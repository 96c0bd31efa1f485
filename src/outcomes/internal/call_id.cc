#include <algorithm>
#include <charconv>

#include "base/address.h"
#include "outcomes/outcome_table.h"

namespace monsoonshelf::outcomes {

namespace {

constexpr std::size_t kMinRandomLength = 8;
constexpr std::size_t kMaxRandomLength = 64;

// Parses a decimal number without sign and leading zeros. If other spellings were accepted, two
// spellings of one identifier would count as two calls.
template <typename Number>
bool ParseNumber(std::string_view text, Number& number) {
  if (text.empty() || text[0] == '-' || (text[0] == '0' && text.size() > 1)) return false;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  return error == std::errc() && end == text.data() + text.size();
}

bool IsRandomPart(std::string_view text) {
  return text.size() >= kMinRandomLength && text.size() <= kMaxRandomLength &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                  c == '_' || c == '-';
         });
}

// Moves the text before the next dot from `text` to `part`. Returns false if there is no dot.
bool ConsumePart(std::string_view& text, std::string_view& part) {
  const std::size_t dot = text.find('.');
  if (dot == std::string_view::npos) return false;
  part = text.substr(0, dot);
  text.remove_prefix(dot + 1);
  return true;
}

leaf::error_id Invalid(std::string_view text, const std::string& reason) {
  std::string printable(text.substr(0, 80));
  std::replace_if(
      printable.begin(), printable.end(), [](char c) { return c < ' ' || c > '~'; }, '?');
  return Fail(ResultCode::kCallIdInvalid, "call identifier \"" + printable + "\": " + reason);
}

}  // namespace

Result<CallId> ParseCallId(std::string_view text) {
  CallId id;
  std::string_view rest = text;
  std::string_view home;
  std::string_view incarnation;
  std::string_view minute;
  if (!ConsumePart(rest, home) || !ConsumePart(rest, incarnation) || !ConsumePart(rest, minute)) {
    return Invalid(text, "expected <host>.<incarnation>.<minute>.<random>");
  }
  if (!IsValidName(home)) return Invalid(text, "host must be " + std::string(kNameRule));
  if (!ParseNumber(incarnation, id.incarnation_)) {
    return Invalid(text, "incarnation must be a decimal number below 2^64");
  }
  if (!ParseNumber(minute, id.minute_)) {
    return Invalid(text, "minute must be a decimal number below 2^63");
  }
  if (!IsRandomPart(rest)) {
    return Invalid(text, "random part must have 8 to 64 characters of [A-Za-z0-9_-]");
  }
  id.home_ = home;
  id.random_ = rest;
  return id;
}

std::string FormatCallId(const CallId& id) {
  return FormatTicket(id.home_, id.incarnation_, id.minute_) + "." + id.random_;
}

std::string FormatTicket(const HostName& home, Incarnation incarnation, std::int64_t minute) {
  return home + "." + std::to_string(incarnation) + "." + std::to_string(minute);
}

}  // namespace monsoonshelf::outcomes
