#include "app/internal/record_content.h"

namespace monsoonshelf::app {

namespace {

using OrderedJson = nlohmann::ordered_json;

constexpr const char* kVersionField = "version";
constexpr const char* kWriterField = "written_by";

// Stored text may be invalid. Text that is not JSON is returned as a JSON string.
OrderedJson ParseStored(const std::string& text) {
  OrderedJson json = OrderedJson::parse(text, nullptr, false);
  return json.is_discarded() ? OrderedJson(text) : json;
}

std::string FormatValue(const nlohmann::json& value) {
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

OrderedJson RecordContent(const std::string& text) {
  OrderedJson json = ParseStored(text);
  if (json.is_object()) {
    json.erase(kVersionField);
    json.erase(kWriterField);
  }
  return json;
}

std::string AddWriterInfo(const std::string& text, const WriterInfo& writer) {
  OrderedJson json = RecordContent(text);
  json[kWriterField] = {{"writer", writer.name_}, {"nonce", writer.nonce_}};
  return json.dump();
}

WriterInfo ReadWriterInfo(const std::string& text) {
  const OrderedJson json = ParseStored(text);
  const auto read = [&json](const char* field) -> std::string {
    if (!json.is_object() || !json.contains(kWriterField)) return {};
    const auto& writer = json[kWriterField];
    if (!writer.is_object() || !writer.contains(field) || !writer[field].is_string()) return {};
    return writer[field].get<std::string>();
  };
  return {read("writer"), read("nonce")};
}

Version ReadVersionField(const std::string& text) {
  const OrderedJson json = ParseStored(text);
  if (!json.is_object() || !json.contains(kVersionField)) return 0;
  return json[kVersionField].is_number_unsigned() ? json[kVersionField].get<Version>() : 0;
}

std::string FormatWithVersion(const std::string& text, Version version) {
  OrderedJson json = ParseStored(text);
  if (json.is_object()) json[kVersionField] = version;
  return json.dump(2, ' ', false, OrderedJson::error_handler_t::replace);
}

std::vector<std::string> ListDifferences(const std::string& platform_text,
                                         const std::string& new_text) {
  // nlohmann::json, unlike ordered_json, compares objects independently of the order of their keys.
  const nlohmann::json from = RecordContent(platform_text);
  const nlohmann::json to = RecordContent(new_text);
  std::vector<std::string> lines;
  for (const auto& step : nlohmann::json::diff(from, to)) {
    const auto path = step.at("path").get<std::string>();
    const nlohmann::json::json_pointer pointer(path);
    const std::string old_value = from.contains(pointer) ? FormatValue(from.at(pointer)) : "absent";
    const std::string new_value = step.contains("value") ? FormatValue(step.at("value")) : "absent";
    std::string line = path;
    line.append(": platform ").append(old_value).append(", new ").append(new_value);
    lines.push_back(std::move(line));
  }
  return lines;
}

}  // namespace monsoonshelf::app
