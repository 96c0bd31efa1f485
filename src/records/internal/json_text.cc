#include "records/internal/json_text.h"

#include <set>
#include <string>
#include <vector>

namespace monsoonshelf::records {

namespace {

constexpr int kMaxNestingDepth = 16;

// Parser callback that finds the first duplicate key and stops the parser at the maximum depth.
class StructureChecker {
 public:
  bool operator()(int depth, Json::parse_event_t event, Json& parsed) {
    using Event = Json::parse_event_t;
    if (depth >= kMaxNestingDepth) too_deep_ = true;
    if (event == Event::object_start) {
      keys_.emplace_back();
    } else if (event == Event::object_end) {
      keys_.pop_back();
    } else if (event == Event::key) {
      const auto& key = parsed.get_ref<const std::string&>();
      if (!keys_.back().insert(key).second && duplicate_key_.empty()) duplicate_key_ = key;
    }
    return !too_deep_;
  }

  bool too_deep_ = false;
  std::string duplicate_key_;

 private:
  std::vector<std::set<std::string>> keys_;
};

}  // namespace

Result<Json> ParseJson(std::string_view text, std::size_t max_bytes) {
  if (text.size() > max_bytes) {
    return Fail(ResultCode::kRecordTooLarge, "record has " + std::to_string(text.size()) +
                                                 " bytes, allowed are at most " +
                                                 std::to_string(max_bytes));
  }
  // The parser treats a NUL character as the end of the text.
  if (text.find('\0') != std::string_view::npos) {
    return Fail(ResultCode::kRecordSyntax, "record is not valid JSON: it has a NUL character");
  }
  StructureChecker checker;
  Json json;
  try {
    json = Json::parse(text, std::ref(checker));
  } catch (const Json::exception& exception) {
    // The library reports the position of a syntax error only in its exception.
    const std::string_view what = exception.what();
    return Fail(ResultCode::kRecordSyntax,
                "record is not valid JSON: " + std::string(what.substr(what.find(']') + 2)));
  }
  if (checker.too_deep_) {
    return Fail(ResultCode::kRecordSyntax,
                "record is nested deeper than " + std::to_string(kMaxNestingDepth) + " levels");
  }
  if (!checker.duplicate_key_.empty()) {
    return Fail(ResultCode::kRecordSyntax,
                "record has the key \"" + checker.duplicate_key_ + "\" twice");
  }
  return json;
}

}  // namespace monsoonshelf::records
