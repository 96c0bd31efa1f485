#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <cstdlib>
#include <iostream>

// Runs all registered suites. Fails when no test ran, so that a program without tests is noticed.
int main() {
  // Property tests give the same verdict every run; RC_PARAMS from outside goes first.
  setenv("RC_PARAMS", "seed=20240229", 0);
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
