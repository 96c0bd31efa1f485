#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/base_types.h"

namespace monsoonshelf::app {

// Identifies the writer of an object and its write. By the nonce a writer that received no response
// recognises whether its write took effect.
struct WriterInfo {
  std::string name_;
  std::string nonce_;
};

// Parses a record and removes the fields that this program adds: `version` and `written_by`.
nlohmann::ordered_json RecordContent(const std::string& text);

// Returns the record text to store on the platform: without `version`, with `written_by`.
std::string AddWriterInfo(const std::string& text, const WriterInfo& writer);

// Reads `written_by` from a stored record. Missing or invalid fields are empty.
WriterInfo ReadWriterInfo(const std::string& text);

// Reads the `version` field, which FormatWithVersion adds. Returns 0 if it is absent or invalid.
Version ReadVersionField(const std::string& text);

// Formats a record as indented JSON with its platform version in the field `version`.
std::string FormatWithVersion(const std::string& text, Version version);

// Returns one line per field that differs, such as `/spec/state: platform "out", new "in"`.
// `version` and `written_by` are ignored.
std::vector<std::string> ListDifferences(const std::string& platform_text,
                                         const std::string& new_text);

}  // namespace monsoonshelf::app
