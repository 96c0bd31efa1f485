#pragma once

#include <string>
#include <string_view>

#include "records/internal/fields.h"
#include "records/internal/json_text.h"

namespace monsoonshelf::records {

// Visitor of VisitFields that writes the fields of a spec into its JSON object. An absent field
// stays absent while it has its default value, so a record that is parsed and formatted again does
// not change.
class FieldWriter {
 public:
  // `defaults` is a spec with all fields at their defaults, written with an empty `defaults`.
  FieldWriter(Json& spec, const Json& defaults) : spec_(spec), defaults_(defaults) {}

  void Name(std::string_view field, std::string& value, Presence) { Write(field, value); }
  void AddressText(std::string_view field, std::string& value) { Write(field, value); }
  void Method(std::string_view field, std::string& value) { Write(field, value); }
  void PathPrefix(std::string_view field, std::string& value) { Write(field, value); }
  void Boolean(std::string_view field, bool& value) { Write(field, value); }
  void Number(std::string_view field, double& value, double, double) { Write(field, value); }
  void Milliseconds(std::string_view field, Duration& value, std::int64_t, std::int64_t) {
    Write(field, std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
  }
  template <typename Number>
  void Integer(std::string_view field, Number& value, Number, Number) {
    Write(field, value);
  }
  template <typename Enum, std::size_t kSize>
  void Choice(std::string_view field, Enum& value, const EnumNames<Enum, kSize>& names) {
    Write(field, std::string(NameOf(names, value)));
  }

 private:
  void Write(std::string_view field, const Json& value) {
    const auto default_value = defaults_.find(field);
    if (spec_.contains(field) || default_value == defaults_.end() || *default_value != value) {
      spec_[std::string(field)] = value;
    }
  }

  Json& spec_;
  const Json& defaults_;
};

}  // namespace monsoonshelf::records
