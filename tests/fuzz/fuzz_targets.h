#pragma once

#include <array>
#include <string>
#include <string_view>

namespace monsoonshelf::fuzz {

// Each function passes arbitrary bytes to one parser and throws std::logic_error, which names the
// violated contract, if the result is wrong. Rejecting the input with a valid error is correct.
void FuzzRecord(std::string_view input);
void FuzzSettings(std::string_view input);
void FuzzCallId(std::string_view input);
void FuzzKeyValues(std::string_view input);
void FuzzChart(std::string_view input);
void FuzzLog(std::string_view input);
// The verdict on a response must not depend on how its bytes are split into reads.
void FuzzResponse(std::string_view input);

struct FuzzTarget {
  std::string_view name_;       // Folder of regression inputs below tests/fuzz/inputs.
  std::string_view seed_file_;  // File with valid input, relative to the source folder.
  void (*run_)(std::string_view input);
};

inline constexpr std::array<FuzzTarget, 7> kFuzzTargets = {{
    {"records", "examples/shop/rules.json", FuzzRecord},
    {"settings", "examples/shop/entry-host.toml", FuzzSettings},
    {"call_ids", "tests/fuzz/inputs/call_ids/valid", FuzzCallId},
    {"key_values", "tests/fuzz/inputs/key_values/valid", FuzzKeyValues},
    {"charts", "src/dispatch/target.chart.toml", FuzzChart},
    {"logs", "tests/fuzz/inputs/logs/valid", FuzzLog},
    {"responses", "tests/fuzz/inputs/responses/chunked", FuzzResponse},
}};

}  // namespace monsoonshelf::fuzz
