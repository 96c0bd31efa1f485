#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/Exception.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace {

// A line "red: test SUITE::TEST TEXT" of KNOWN-RED.txt.
struct KnownFailure {
  std::string test_;
  std::string text_;  // Part of the message of the failure.
};

std::vector<KnownFailure> ReadKnownFailures() {
  std::vector<KnownFailure> known;
  std::ifstream file(SOURCE_DIR "/KNOWN-RED.txt");
  for (std::string line; std::getline(file, line);) {
    std::istringstream words(line);
    std::string red;
    std::string kind;
    KnownFailure failure;
    if (words >> red >> kind >> failure.test_ && std::getline(words >> std::ws, failure.text_) &&
        red == "red:" && kind == "test") {
      known.push_back(failure);
    }
  }
  return known;
}

std::string MessageOf(CppUnit::TestFailure& failure) {
  const CppUnit::Message message = failure.thrownException()->message();
  return message.shortDescription() + " " + message.details();
}

// Passes over exactly the listed failures. A listed test that passes is a failure, so that its
// entry is removed.
bool OnlyKnownFailures(const CppUnit::TestResultCollector& collector) {
  bool success = true;
  std::set<std::string> failed;
  const std::vector<KnownFailure> known = ReadKnownFailures();
  for (CppUnit::TestFailure* failure : collector.failures()) {
    const std::string name = failure->failedTestName();
    failed.insert(name);
    const bool listed = std::any_of(known.begin(), known.end(), [&](const KnownFailure& item) {
      return name.ends_with("::" + item.test_) &&
             MessageOf(*failure).find(item.text_) != std::string::npos;
    });
    if (listed) std::cout << "known red: " << name << "\n";
    success = success && listed;
  }
  for (CppUnit::Test* test : collector.tests()) {
    const std::string name = test->getName();
    for (const KnownFailure& item : known) {
      if (!name.ends_with("::" + item.test_) || failed.contains(name)) continue;
      std::cout << name << " passes, remove it from KNOWN-RED.txt\n";
      success = false;
    }
  }
  return success;
}

}  // namespace

// Runs all registered suites, or only the one that is named, for example
// monsoonshelf::gateway::ZoneRecordsTest. Fails if no test ran, so that a program without tests is
// detected.
int main(int argc, char** argv) {
  // RapidCheck chooses a random seed by default; a fixed seed gives the same result in every run.
  setenv("RC_PARAMS", "seed=20241204", 0);
  CppUnit::TestResult result;
  CppUnit::TestResultCollector collector;
  CppUnit::BriefTestProgressListener progress;
  result.addListener(&collector);
  result.addListener(&progress);
  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  runner.run(result, argc > 1 ? argv[1] : "");
  CppUnit::CompilerOutputter outputter(&collector, std::cerr);
  outputter.write();
  return OnlyKnownFailures(collector) && collector.runTests() > 0 ? 0 : 1;
}
