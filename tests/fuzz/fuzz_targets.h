#pragma once

#include <array>
#include <string>
#include <string_view>

namespace monsoonshelf::fuzz {

// Each target feeds arbitrary bytes to one parser and throws std::logic_error if the parser breaks
// a promise. Input that is refused with a proper error is fine.
void FuzzRecord(std::string_view input);
void FuzzSettings(std::string_view input);
void FuzzCallId(std::string_view input);
void FuzzKeyValues(std::string_view input);
void FuzzChart(std::string_view input);
void FuzzLog(std::string_view input);

struct FuzzTarget {
  std::string_view name_;   // Folder below tests/fuzz/inputs.
  std::string_view seeds_;  // Valid inputs, one in each line; or a file below the source folder.
  void (*run_)(std::string_view input);
};

inline constexpr std::array<FuzzTarget, 6> kFuzzTargets = {{
    {"records", "examples/shop/rules.json", FuzzRecord},
    {"settings", "examples/shop/entry-host.toml", FuzzSettings},
    {"call_ids", "tests/fuzz/inputs/call_ids/valid", FuzzCallId},
    {"key_values", "tests/fuzz/inputs/key_values/valid", FuzzKeyValues},
    {"charts", "src/dispatch/target.chart.toml", FuzzChart},
    {"logs", "tests/fuzz/inputs/logs/valid", FuzzLog},
}};

}  // namespace monsoonshelf::fuzz
