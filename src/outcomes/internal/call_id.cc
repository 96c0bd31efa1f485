#include <algorithm>
#include <charconv>

#include "base/address.h"
#include "outcomes/outcome_table.h"

namespace monsoonshelf::outcomes {

namespace {

constexpr std::size_t kMinRandom = 8;
constexpr std::size_t kMaxRandom = 64;

// Reads a decimal number in its only form, without sign and leading zeros: two spellings of one
// identifier would otherwise be two calls.
template <typename Number>
bool ReadNumber(std::string_view text, Number& number) {
  if (text.empty() || text[0] == '-' || (text[0] == '0' && text.size() > 1)) return false;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  return error == std::errc() && end == text.data() + text.size();
}

bool IsRandomPart(std::string_view text) {
  return text.size() >= kMinRandom && text.size() <= kMaxRandom &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                  c == '_' || c == '-';
         });
}

// Cuts the part before the next full stop; false without one.
bool CutPart(std::string_view& text, std::string_view& part) {
  const std::size_t stop = text.find('.');
  if (stop == std::string_view::npos) return false;
  part = text.substr(0, stop);
  text.remove_prefix(stop + 1);
  return true;
}

leaf::error_id Invalid(std::string_view text, const std::string& reason) {
  std::string shown(text.substr(0, 80));
  std::replace_if(
      shown.begin(), shown.end(), [](char c) { return c < ' ' || c > '~'; }, '?');
  return Fail(ResultCode::kCallIdInvalid, "call identifier \"" + shown + "\": " + reason);
}

}  // namespace

Result<CallId> ParseCallId(std::string_view text) {
  CallId id;
  std::string_view rest = text;
  std::string_view home;
  std::string_view incarnation;
  std::string_view minute;
  if (!CutPart(rest, home) || !CutPart(rest, incarnation) || !CutPart(rest, minute)) {
    return Invalid(text, "expected <host>.<incarnation>.<minute>.<random>");
  }
  if (!IsValidName(home)) return Invalid(text, "host must be " + std::string(kNameRule));
  if (!ReadNumber(incarnation, id.incarnation_)) {
    return Invalid(text, "incarnation must be a decimal number below 2^64");
  }
  if (!ReadNumber(minute, id.minute_)) {
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
