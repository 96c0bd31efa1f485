#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <csignal>

#include "tests/process/child_process.h"
#include "tests/process/settings_files.h"
#include "tests/soak/free_port.h"

namespace monsoonshelf::process {

// Guards against a process that depends on its standard output: it was killed by SIGPIPE when the
// reader of its log was gone, and wrote log lines to one of its own descriptors when standard
// output was closed at its start.
class OutputTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OutputTest);
  CPPUNIT_TEST(ServeContinuesWithoutAReaderOfItsLog);
  CPPUNIT_TEST(RunContinuesWithoutAReaderOfItsLog);
  CPPUNIT_TEST(ServeReplacesClosedStandardOutput);
  CPPUNIT_TEST(RunReplacesClosedStandardOutput);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { WriteFile(folder_.File("serve"), serve_.text_); }

  void ServeContinuesWithoutAReaderOfItsLog() {
    ChildProcess serve(PROGRAM, {"serve"}, {"MONSOONSHELF_CONFIG=" + folder_.File("serve")},
                       folder_.File("log"), Output::kClosedPipe);
    CheckStop(serve, serve_.front_address_);
  }

  void RunContinuesWithoutAReaderOfItsLog() {
    ChildProcess run(PROGRAM, {"run", RunSettings()}, {}, folder_.File("log"), Output::kClosedPipe);
    CheckStop(run, metrics_address_);
  }

  void ServeReplacesClosedStandardOutput() {
    ChildProcess serve(PROGRAM, {"serve"}, {"MONSOONSHELF_CONFIG=" + folder_.File("serve")},
                       folder_.File("log"), Output::kNone);
    CPPUNIT_ASSERT(WaitUntilListening(serve_.front_address_));
    CPPUNIT_ASSERT_EQUAL(std::string("/dev/null"), serve.DescriptorTarget(STDOUT_FILENO));
    CheckStop(serve, serve_.front_address_);
  }

  void RunReplacesClosedStandardOutput() {
    ChildProcess run(PROGRAM, {"run", RunSettings()}, {}, folder_.File("log"), Output::kNone);
    CPPUNIT_ASSERT(WaitUntilListening(metrics_address_));
    CPPUNIT_ASSERT_EQUAL(std::string("/dev/null"), run.DescriptorTarget(STDOUT_FILENO));
    CheckStop(run, metrics_address_);
  }

 private:
  std::string RunSettings() const {
    WriteFile(folder_.File("run"), MakeRunSettings(metrics_address_));
    return folder_.File("run");
  }

  // Stops the process in order, which writes further log lines.
  static void CheckStop(ChildProcess& process, const std::string& address) {
    WaitUntilListening(address);
    process.Signal(SIGTERM);
    CPPUNIT_ASSERT_EQUAL(std::string("exit 0"), process.WaitForEnd());
  }

  TemporaryFolder folder_;
  ServeSettings serve_ = MakeServeSettings(soak::FreeLoopbackAddress());
  std::string metrics_address_ = soak::FreeLoopbackAddress();
};

CPPUNIT_TEST_SUITE_REGISTRATION(OutputTest);

}  // namespace monsoonshelf::process
