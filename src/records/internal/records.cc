#include "records/records.h"

#include "base/address.h"
#include "records/internal/field_reader.h"
#include "records/internal/field_writer.h"

namespace monsoonshelf::records {

namespace {

constexpr int kMaxSchema = 2;

int MaxSchema(Kind kind) { return kind == Kind::kRule ? kMaxSchema : 1; }

Spec DefaultSpec(Kind kind) {
  switch (kind) {
    case Kind::kService:
      return Service{};
    case Kind::kTarget:
      return Target{};
    case Kind::kZone:
      return Zone{};
    case Kind::kRule:
      return Rule{};
  }
  return Service{};
}

// Returns the start of an error message, as in "record service/stamps: ". A missing field is shown
// as "?".
std::string MessagePrefix(const Json& json) {
  const auto text = [&json](const char* field) {
    const auto found = json.find(field);
    return found == json.end() ? std::string("?")
                               : (found->is_string() ? found->get<std::string>().substr(0, 80)
                                                     : Abbreviate(*found));
  };
  return "record " + text("kind") + "/" + text("name") + ": ";
}

// Returns an error for an invalid or missing top-level field; `code` is for an invalid one.
leaf::error_id FailField(ResultCode code, const Json& json, const char* field,
                         const std::string& allowed) {
  const auto found = json.find(field);
  const std::string what = found == json.end() ? " is missing" : " is " + Abbreviate(*found);
  return Fail(found == json.end() ? ResultCode::kRecordMissingField : code,
              MessagePrefix(json) + "field " + field + what + ", allowed: " + allowed);
}

Result<Kind> ReadKind(const Json& json) {
  const auto found = json.find("kind");
  if (found != json.end() && found->is_string()) {
    if (const auto kind = ValueOf(kKindNames, found->get_ref<const std::string&>())) return *kind;
  }
  return FailField(ResultCode::kRecordUnknownKind, json, "kind",
                   "one of service, target, zone, rule");
}

Result<int> ReadSchema(const Json& json, Kind kind) {
  const auto found = json.find("schema");
  const int highest = MaxSchema(kind);
  if (found != json.end() && found->is_number_unsigned()) {
    const auto schema = found->get<std::uint64_t>();
    if (schema >= 1 && schema <= static_cast<std::uint64_t>(highest)) {
      return static_cast<int>(schema);
    }
  }
  return FailField(ResultCode::kRecordUnknownSchema, json, "schema",
                   highest == 1 ? "1" : "an integer from 1 to " + std::to_string(highest));
}

Result<std::string> ReadName(const Json& json) {
  const auto found = json.find("name");
  if (found != json.end() && found->is_string() &&
      IsValidName(found->get_ref<const std::string&>())) {
    return found->get<std::string>();
  }
  return FailField(ResultCode::kRecordInvalidField, json, "name", std::string(kNameRule));
}

Result<Spec> ReadSpec(const Json& json, Kind kind, int schema) {
  const auto found = json.find("spec");
  if (found == json.end() || !found->is_object()) {
    return FailField(ResultCode::kRecordInvalidField, json, "spec", "an object");
  }
  Spec spec = DefaultSpec(kind);
  FieldReader reader(*found);
  std::visit([&](auto& fields) { VisitFields(reader, fields, schema); }, spec);
  if (!reader.Ok()) return Fail(reader.Code(), MessagePrefix(json) + reader.Message());
  return spec;
}

// A cold target must not get more concurrent calls than a ready one.
Result<void> CheckFieldCombinations(const Json& json, const Spec& spec) {
  const auto* service = std::get_if<Service>(&spec);
  if (service != nullptr && service->cold_limit_ > service->slots_) {
    return Fail(ResultCode::kRecordInvalidField,
                MessagePrefix(json) + "field spec.cold_limit is " +
                    std::to_string(service->cold_limit_) +
                    ", allowed: an integer from 0 to spec.slots, which is " +
                    std::to_string(service->slots_));
  }
  return {};
}

Json WriteSpec(Spec spec, int schema, Json base, const Json& defaults) {
  FieldWriter writer(base, defaults);
  std::visit([&](auto& fields) { VisitFields(writer, fields, schema); }, spec);
  return base;
}

}  // namespace

Result<Record> ParseRecord(std::string_view json_text) {
  BOOST_LEAF_AUTO(json, ParseJson(json_text, kMaxRecordBytes));
  if (!json.is_object()) {
    return Fail(ResultCode::kRecordSyntax,
                "record is " + Abbreviate(json) + ", allowed: a JSON object");
  }
  Record record;
  BOOST_LEAF_ASSIGN(record.kind_, ReadKind(json));
  BOOST_LEAF_ASSIGN(record.name_, ReadName(json));
  BOOST_LEAF_ASSIGN(record.schema_, ReadSchema(json, record.kind_));
  BOOST_LEAF_ASSIGN(record.spec_, ReadSpec(json, record.kind_, record.schema_));
  BOOST_LEAF_CHECK(CheckFieldCombinations(json, record.spec_));
  record.text_ = json_text;
  return record;
}

std::string FormatRecord(const Record& record) {
  Json json = Recover(
      [&] {
        return record.text_.empty() ? Result<Json>(Json::object())
                                    : ParseJson(record.text_, kMaxRecordBytes);
      },
      [](const Error&) { return Json::object(); });
  if (!json.is_object()) json = Json::object();
  json["kind"] = std::string(NameOf(kKindNames, record.kind_));
  json["schema"] = record.schema_;
  json["name"] = record.name_;
  Json spec = json.contains("spec") && json["spec"].is_object() ? json["spec"] : Json::object();
  const Json defaults =
      WriteSpec(DefaultSpec(record.kind_), record.schema_, Json::object(), Json());
  json["spec"] = WriteSpec(record.spec_, record.schema_, std::move(spec), defaults);
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace monsoonshelf::records
