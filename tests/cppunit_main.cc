#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <cstdlib>
#include <iostream>

// Runs all registered suites. Fails if no test ran, so that a program without tests is detected.
int main() {
  // RapidCheck chooses a random seed by default; a fixed seed gives the same result in every run.
  setenv("RC_PARAMS", "seed=20241204", 0);
  CppUnit::TestResult result;
  CppUnit::TestResultCollector collector;
  CppUnit::BriefTestProgressListener progress;
  result.addListener(&collector);
  result.addListener(&progress);
  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  runner.run(result);
  CppUnit::CompilerOutputter outputter(&collector, std::cerr);
  outputter.write();
  return collector.wasSuccessful() && collector.runTests() > 0 ? 0 : 1;
}
