#include <cppunit/extensions/HelperMacros.h>

#include <csignal>

#include "tests/process/child_process.h"
#include "tests/process/settings_files.h"
#include "tests/soak/free_port.h"

namespace monsoonshelf::process {

// Guards against a process that has stopped but does not end, because an exit handler of a library
// waits for a thread. The entry host is then missing until it is killed.
class EndTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndTest);
  CPPUNIT_TEST(ServeEndsAlthoughAnExitHandlerBlocks);
  CPPUNIT_TEST(RunEndsAlthoughAnExitHandlerBlocks);
  CPPUNIT_TEST(OutputOfShortCommandIsComplete);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ServeEndsAlthoughAnExitHandlerBlocks() {
    const std::string settings = folder_.File("settings");
    WriteFile(settings, MakeServeSettings(soak::FreeLoopbackAddress()).text_);
    ChildProcess serve(BLOCKING_EXIT_PROGRAM, {"serve"}, {"MONSOONSHELF_CONFIG=" + settings},
                       folder_.File("log"));
    CPPUNIT_ASSERT(serve.WaitForLog("event=start "));
    serve.Signal(SIGTERM);
    CPPUNIT_ASSERT(serve.WaitForLog("event=stopped"));
    CPPUNIT_ASSERT_EQUAL(std::string("exit 0"), serve.WaitForEnd());
  }

  void RunEndsAlthoughAnExitHandlerBlocks() {
    const std::string settings = folder_.File("settings");
    WriteFile(settings, MakeRunSettings(soak::FreeLoopbackAddress()));
    ChildProcess run(BLOCKING_EXIT_PROGRAM, {"run", settings}, {}, folder_.File("log"));
    CPPUNIT_ASSERT(run.WaitForLog("event=listening"));
    run.Signal(SIGTERM);
    CPPUNIT_ASSERT(run.WaitForLog("event=stopped"));
    CPPUNIT_ASSERT_EQUAL(std::string("exit 0"), run.WaitForEnd());
  }

  // The output is buffered by the C++ library, which no exit handler flushes any more.
  void OutputOfShortCommandIsComplete() {
    ChildProcess help(BLOCKING_EXIT_PROGRAM, {"--help"}, {}, folder_.File("log"));
    CPPUNIT_ASSERT_EQUAL(std::string("exit 0"), help.WaitForEnd());
    CPPUNIT_ASSERT(help.Log().ends_with("prints the options of a command.\n"));
  }

 private:
  TemporaryFolder folder_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndTest);

}  // namespace monsoonshelf::process
