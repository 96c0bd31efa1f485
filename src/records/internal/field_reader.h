#pragma once

#include <limits>
#include <string>
#include <string_view>

#include "base/address.h"
#include "base/enum_names.h"
#include "records/internal/fields.h"
#include "records/internal/json_text.h"

namespace monsoonshelf::records {

// Visitor of VisitFields that reads the fields of a JSON spec. It keeps the first error and ignores
// all fields after it.
class FieldReader {
 public:
  explicit FieldReader(const Json& spec) : spec_(spec) {}

  bool Ok() const { return code_ == ResultCode::kOk; }
  ResultCode Code() const { return code_; }
  const std::string& Message() const { return message_; }

  // Each function reads one field into `value`, which is unchanged if the field is absent or
  // invalid. The bounds are inclusive.
  void Name(std::string_view field, std::string& value, Presence presence);
  void AddressText(std::string_view field, std::string& value);
  void Method(std::string_view field, std::string& value);
  void PathPrefix(std::string_view field, std::string& value);
  void Boolean(std::string_view field, bool& value);
  void Number(std::string_view field, double& value, double low, double high);
  void Milliseconds(std::string_view field, Duration& value, std::int64_t low, std::int64_t high);

  template <typename Number>
  void Integer(std::string_view field, Number& value, Number low, Number high) {
    if (const auto read = ReadInteger(field, low, high)) value = static_cast<Number>(*read);
  }

  template <typename Enum, std::size_t kSize>
  void Choice(std::string_view field, Enum& value, const EnumNames<Enum, kSize>& names) {
    std::string allowed = "one of";
    for (const auto& [entry, name] : names) {
      allowed += (entry == names[0].first ? " " : ", ") + std::string(name);
    }
    const Json* found = FindField(field, Presence::kOptional, allowed);
    if (found == nullptr) return;
    const auto read =
        found->is_string() ? ValueOf(names, found->get_ref<const std::string&>()) : std::nullopt;
    if (read) {
      value = *read;
    } else {
      SetInvalidField(field, *found, allowed);
    }
  }

 private:
  const Json* FindField(std::string_view field, Presence presence, std::string_view allowed);
  const std::string* FindString(std::string_view field, Presence presence,
                                std::string_view allowed);
  std::optional<std::int64_t> ReadInteger(std::string_view field, std::int64_t low,
                                          std::int64_t high);
  void SetInvalidField(std::string_view field, const Json& found, std::string_view allowed);

  const Json& spec_;
  ResultCode code_ = ResultCode::kOk;
  std::string message_;
};

// Returns the JSON text of a value for error messages, truncated after 80 bytes.
std::string Abbreviate(const Json& value);

}  // namespace monsoonshelf::records
