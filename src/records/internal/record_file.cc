#include "records/record_file.h"

#include <string>

#include "records/internal/json_text.h"
#include "records/records.h"

namespace monsoonshelf::records {

namespace {

Result<Record> ParseElement(const Json& element, const std::string& position) {
  auto parsed = Capture<Record>([&] { return ParseRecord(element.dump()); });
  if (parsed.value_) return std::move(*parsed.value_);
  return Fail(parsed.error_.code_, position + parsed.error_.message_);
}

}  // namespace

Result<std::vector<Record>> ParseRecordFile(std::string_view text) {
  BOOST_LEAF_AUTO(json, ParseJson(text, kMaxRecordFileBytes));
  std::vector<Record> records;
  if (!json.is_array()) {
    BOOST_LEAF_AUTO(record, ParseElement(json, ""));
    records.push_back(std::move(record));
    return records;
  }
  for (const Json& element : json) {
    const std::string position = "element " + std::to_string(records.size() + 1) + " of " +
                                 std::to_string(json.size()) + ": ";
    BOOST_LEAF_AUTO(record, ParseElement(element, position));
    records.push_back(std::move(record));
  }
  return records;
}

}  // namespace monsoonshelf::records
