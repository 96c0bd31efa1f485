#include "app/internal/record_content.h"

namespace monsoonshelf::app {

namespace {

using OrderedJson = nlohmann::ordered_json;

constexpr const char* kVersionField = "version";
constexpr const char* kMarkField = "written_by";

// Stored text is not trusted: text that is no JSON object is kept as a JSON string.
OrderedJson ParseStored(const std::string& text) {
  OrderedJson json = OrderedJson::parse(text, nullptr, false);
  return json.is_discarded() ? OrderedJson(text) : json;
}

std::string Show(const nlohmann::json& value) {
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

OrderedJson ContentOf(const std::string& text) {
  OrderedJson json = ParseStored(text);
  if (json.is_object()) {
    json.erase(kVersionField);
    json.erase(kMarkField);
  }
  return json;
}

std::string WithMark(const std::string& text, const WriteMark& mark) {
  OrderedJson json = ContentOf(text);
  json[kMarkField] = {{"writer", mark.writer_}, {"nonce", mark.nonce_}};
  return json.dump();
}

WriteMark MarkOf(const std::string& text) {
  const OrderedJson json = ParseStored(text);
  const auto read = [&json](const char* field) -> std::string {
    if (!json.is_object() || !json.contains(kMarkField)) return {};
    const auto& mark = json[kMarkField];
    if (!mark.is_object() || !mark.contains(field) || !mark[field].is_string()) return {};
    return mark[field].get<std::string>();
  };
  return {read("writer"), read("nonce")};
}

Version VersionIn(const std::string& text) {
  const OrderedJson json = ParseStored(text);
  if (!json.is_object() || !json.contains(kVersionField)) return 0;
  return json[kVersionField].is_number_unsigned() ? json[kVersionField].get<Version>() : 0;
}

std::string Present(const std::string& text, Version version) {
  OrderedJson json = ParseStored(text);
  if (json.is_object()) json[kVersionField] = version;
  return json.dump(2, ' ', false, OrderedJson::error_handler_t::replace);
}

std::vector<std::string> Differences(const std::string& there, const std::string& here) {
  // The unordered type compares and walks objects by key.
  const nlohmann::json from = ContentOf(there);
  const nlohmann::json to = ContentOf(here);
  std::vector<std::string> lines;
  for (const auto& step : nlohmann::json::diff(from, to)) {
    const auto path = step.at("path").get<std::string>();
    const nlohmann::json::json_pointer pointer(path);
    const std::string old_value = from.contains(pointer) ? Show(from.at(pointer)) : "absent";
    const std::string new_value = step.contains("value") ? Show(step.at("value")) : "absent";
    std::string line = path;
    line.append(": there ").append(old_value).append(", here ").append(new_value);
    lines.push_back(std::move(line));
  }
  return lines;
}

}  // namespace monsoonshelf::app
