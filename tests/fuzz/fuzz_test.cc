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

constexpr int kInputs = 4000;  // For each target; about 2 s in all on one processor.
constexpr std::size_t kMaxInput = 8192;

// Characters and words that parsers treat specially.
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

std::string Read(const std::filesystem::path& file) {
  std::ifstream stream(file, std::ios::binary);
  return {std::istreambuf_iterator<char>(stream), {}};
}

class Mutator {
 public:
  explicit Mutator(std::uint64_t seed) : random_(seed) {}

  std::string Mutate(std::string text) {
    for (std::size_t change = Below(4) + 1; change > 0; --change) Change(text);
    if (text.size() > kMaxInput) text.resize(kMaxInput);
    return text;
  }

 private:
  std::size_t Below(std::size_t bound) { return random_() % bound; }

  void Change(std::string& text) {
    const std::size_t at = Below(text.size() + 1);
    const std::size_t length = std::min(Below(16), text.size() - at);
    switch (Below(6)) {
      case 0:
        text.erase(at, length);
        break;
      case 1:
        text.insert(at, kTokens[Below(kTokens.size())]);
        break;
      case 2:
        text.insert(Below(text.size() + 1), text.substr(at, length));
        break;
      case 3:
        // Cut, as by a full disk; seldom, because little is left to parse then.
        if (Below(8) == 0) text.resize(at);
        break;
      case 4:
        text.insert(at, 1, static_cast<char>(Below(256)));
        break;
      default:
        if (at < text.size()) text[at] = static_cast<char>(text[at] ^ (1U << Below(8)));
    }
  }

  std::mt19937_64 random_;
};

// Keeps an input that broke a promise where the next run, and the programmer, find it.
void Report(const FuzzTarget& target, const std::string& input, const std::exception& failure) {
  const std::string file = "fuzz-failure-" + std::string(target.name_);
  std::ofstream(file, std::ios::binary) << input;
  CPPUNIT_FAIL(std::string(target.name_) + ": " + failure.what() + "; input kept in " + file +
               ", move it to tests/fuzz/inputs/" + std::string(target.name_));
}

void RunOne(const FuzzTarget& target, const std::string& input) {
  try {
    target.run_(input);
  } catch (const std::exception& failure) {
    Report(target, input, failure);
  }
}

}  // namespace

// Guards against input from outside that crashes a parser or is half accepted.
class FuzzTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FuzzTest);
  CPPUNIT_TEST(KeptInputs);
  CPPUNIT_TEST(MutatedInputs);
  CPPUNIT_TEST_SUITE_END();

 public:
  void KeptInputs() {
    for (const FuzzTarget& target : kFuzzTargets) {
      const std::filesystem::path folder =
          std::filesystem::path(SOURCE_DIR) / "tests/fuzz/inputs" / target.name_;
      for (const auto& entry : std::filesystem::directory_iterator(folder)) {
        RunOne(target, Read(entry.path()));
      }
    }
  }

  void MutatedInputs() {
    std::uint64_t run = 0;
    for (const FuzzTarget& target : kFuzzTargets) {
      const std::string seed = Read(std::filesystem::path(SOURCE_DIR) / target.seeds_);
      CPPUNIT_ASSERT_MESSAGE(std::string(target.name_), !seed.empty());
      RunOne(target, seed);
      Mutator mutator(++run);
      std::string input = seed;
      for (int i = 0; i < kInputs; ++i) {
        // Changes pile up for a while, then start again from the valid input.
        input = mutator.Mutate(i % 8 == 0 ? seed : input);
        RunOne(target, input);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FuzzTest);

}  // namespace monsoonshelf::fuzz
