#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <string>
#include <vector>

#include "tests/fuzz/fuzz_targets.h"

namespace monsoonshelf::fuzz {

namespace {

constexpr int kInputsPerTarget = 4000;  // About 2 s for all targets on one processor.
constexpr std::size_t kMaxInputBytes = 8192;

// Characters and words that the parsers treat specially.
constexpr auto kTokens = std::to_array<std::string_view>({"\"",
                                                          "\\",
                                                          "{",
                                                          "}",
                                                          "[",
                                                          "]",
                                                          "=",
                                                          ".",
                                                          ":",
                                                          ",",
                                                          "\n",
                                                          "\r",
                                                          " ",
                                                          "-",
                                                          "0",
                                                          "1e999",
                                                          "null",
                                                          "true",
                                                          "18446744073709551616",
                                                          "-9223372036854775808",
                                                          "\xff",
                                                          "\xc0\x80",
                                                          "<script>",
                                                          "#",
                                                          "\"\"\"",
                                                          "\\u0000",
                                                          "kind",
                                                          "spec",
                                                          "name",
                                                          "event"});

std::string ReadFile(const std::filesystem::path& file) {
  std::ifstream stream(file, std::ios::binary);
  return {std::istreambuf_iterator<char>(stream), {}};
}

class Mutator {
 public:
  explicit Mutator(std::uint64_t seed) : random_(seed) {}

  std::string Mutate(std::string text) {
    for (std::size_t change = RandomBelow(4) + 1; change > 0; --change) ApplyMutation(text);
    if (text.size() > kMaxInputBytes) text.resize(kMaxInputBytes);
    return text;
  }

 private:
  std::size_t RandomBelow(std::size_t bound) { return random_() % bound; }

  void ApplyMutation(std::string& text) {
    const std::size_t position = RandomBelow(text.size() + 1);
    const std::size_t length = std::min(RandomBelow(16), text.size() - position);
    switch (RandomBelow(6)) {
      case 0:
        text.erase(position, length);
        break;
      case 1:
        text.insert(position, kTokens[RandomBelow(kTokens.size())]);
        break;
      case 2:
        text.insert(RandomBelow(text.size() + 1), text.substr(position, length));
        break;
      case 3:
        // Truncates the text, as a full disk would. Done rarely, because little input remains to
        // parse.
        if (RandomBelow(8) == 0) text.resize(position);
        break;
      case 4:
        text.insert(position, 1, static_cast<char>(RandomBelow(256)));
        break;
      default:
        if (position < text.size())
          text[position] = static_cast<char>(text[position] ^ (1U << RandomBelow(8)));
    }
  }

  std::mt19937_64 random_;
};

// Saves the failing input to a file in the working directory and fails the test.
void SaveInputAndFail(const FuzzTarget& target, const std::string& input,
                      const std::exception& failure) {
  const std::string file = "fuzz-failure-" + std::string(target.name_);
  std::ofstream(file, std::ios::binary) << input;
  CPPUNIT_FAIL(std::string(target.name_) + ": " + failure.what() + "; input saved to " + file +
               ", move it to tests/fuzz/inputs/" + std::string(target.name_));
}

void RunTarget(const FuzzTarget& target, const std::string& input) {
  try {
    target.run_(input);
  } catch (const std::exception& failure) {
    SaveInputAndFail(target, input, failure);
  }
}

}  // namespace

// Guards against external input that crashes a parser or is accepted with an incomplete or wrong
// result.
class FuzzTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FuzzTest);
  CPPUNIT_TEST(RegressionInputsKeepParserContracts);
  CPPUNIT_TEST(MutatedInputsKeepParserContracts);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Runs the files in tests/fuzz/inputs: valid samples and inputs that have failed before.
  void RegressionInputsKeepParserContracts() {
    for (const FuzzTarget& target : kFuzzTargets) {
      const std::filesystem::path folder =
          std::filesystem::path(SOURCE_DIR) / "tests/fuzz/inputs" / target.name_;
      for (const auto& entry : std::filesystem::directory_iterator(folder)) {
        RunTarget(target, ReadFile(entry.path()));
      }
    }
  }

  void MutatedInputsKeepParserContracts() {
    std::uint64_t run = 0;
    for (const FuzzTarget& target : kFuzzTargets) {
      const std::string seed = ReadFile(std::filesystem::path(SOURCE_DIR) / target.seed_file_);
      CPPUNIT_ASSERT_MESSAGE(std::string(target.name_), !seed.empty());
      RunTarget(target, seed);
      Mutator mutator(++run);
      std::string input = seed;
      for (int i = 0; i < kInputsPerTarget; ++i) {
        // Mutations accumulate over 8 inputs, then start again from the valid input.
        input = mutator.Mutate(i % 8 == 0 ? seed : input);
        RunTarget(target, input);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FuzzTest);

}  // namespace monsoonshelf::fuzz
