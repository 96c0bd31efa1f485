#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/base_types.h"

namespace monsoonshelf::app {

// Who wrote an object. The nonce tells a writer whether its write took effect when the response was
// lost.
struct WriteMark {
  std::string writer_;
  std::string nonce_;
};

// The record without the fields that the tools add: `version` and `written_by`.
nlohmann::ordered_json ContentOf(const std::string& text);

// The record with its mark, as it is stored on the platform.
std::string WithMark(const std::string& text, const WriteMark& mark);

// The mark in a stored record; empty texts where it has none.
WriteMark MarkOf(const std::string& text);

// The version that `records get` put into the text; 0 without one.
Version VersionIn(const std::string& text);

// Indented text for people, with the version in it.
std::string Present(const std::string& text, Version version);

// One line for each difference: `/spec/state: there "out", here "in"`.
std::vector<std::string> Differences(const std::string& there, const std::string& here);

}  // namespace monsoonshelf::app
