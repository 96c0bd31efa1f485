#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>

#include "tests/process/child_process.h"
#include "tests/process/settings_files.h"
#include "tests/soak/free_port.h"

namespace monsoonshelf::process {

namespace {

// A settings file that is a named pipe: the program stays in its start until Complete is called.
class PausedSettings {
 public:
  explicit PausedSettings(std::string file) : file_(std::move(file)) {
    // The write fails with EPIPE if the program has ended.
    std::signal(SIGPIPE, SIG_IGN);
    CPPUNIT_ASSERT_EQUAL(0, mkfifo(file_.c_str(), 0600));
  }
  ~PausedSettings() { close(descriptor_); }
  PausedSettings(const PausedSettings&) = delete;
  PausedSettings& operator=(const PausedSettings&) = delete;

  // Waits until the program reads its settings. Without a reader, opening fails with ENXIO.
  bool WaitForReader() {
    return RunUntil([this] {
      descriptor_ = open(file_.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
      return descriptor_ >= 0;
    });
  }
  // Lets the program read `text` now, and `next_text` later.
  void Complete(const std::string& text, const std::string& next_text) {
    WriteFile(file_ + ".next", next_text);
    std::filesystem::rename(file_ + ".next", file_);
    CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(text.size()),
                         write(descriptor_, text.data(), text.size()));
    close(descriptor_);
    descriptor_ = -1;
  }

 private:
  std::string file_;
  int descriptor_ = -1;
};

}  // namespace

// Guards against a signal that ends the process by its default action because it arrives during the
// start, before its handler is installed.
class SignalTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SignalTest);
  CPPUNIT_TEST(ReloadSignalDuringStartReloadsLater);
  CPPUNIT_TEST(StopSignalsDuringStartOfServeStopInOrder);
  CPPUNIT_TEST(StopSignalsDuringStartOfRunStopInOrder);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReloadSignalDuringStartReloadsLater() {
    const std::string text = MakeServeSettings(soak::FreeLoopbackAddress()).text_;
    PausedSettings settings(folder_.File("settings"));
    ChildProcess serve(PROGRAM, {"serve"}, {"MONSOONSHELF_CONFIG=" + folder_.File("settings")},
                       folder_.File("log"));
    CPPUNIT_ASSERT(settings.WaitForReader());
    serve.Signal(SIGHUP);
    settings.Complete(text, text + "# changed\n");
    CPPUNIT_ASSERT(serve.WaitForLog("event=settings_reloaded cause=signal"));
    serve.Signal(SIGTERM);
    CPPUNIT_ASSERT_EQUAL(std::string("exit 0"), serve.WaitForEnd());
  }

  void StopSignalsDuringStartOfServeStopInOrder() {
    const std::string text = MakeServeSettings(soak::FreeLoopbackAddress()).text_;
    for (const int number : {SIGTERM, SIGINT}) {
      CheckStopDuringStart({"serve"}, text, number);
    }
  }

  void StopSignalsDuringStartOfRunStopInOrder() {
    const std::string text = MakeRunSettings(soak::FreeLoopbackAddress());
    for (const int number : {SIGTERM, SIGINT}) {
      CheckStopDuringStart({"run", folder_.File("settings")}, text, number);
    }
  }

 private:
  void CheckStopDuringStart(const std::vector<std::string>& arguments, const std::string& text,
                            int number) {
    const std::string file = folder_.File("settings");
    std::filesystem::remove(file);
    PausedSettings settings(file);
    ChildProcess process(PROGRAM, arguments, {"MONSOONSHELF_CONFIG=" + file},
                         folder_.File("log." + std::to_string(number)));
    CPPUNIT_ASSERT(settings.WaitForReader());
    process.Signal(number);
    settings.Complete(text, text);
    CPPUNIT_ASSERT_EQUAL(std::string("exit 0"), process.WaitForEnd());
    CPPUNIT_ASSERT(process.Log().find("event=stop_begun") != std::string::npos);
    CPPUNIT_ASSERT(process.Log().find("event=stopped") != std::string::npos);
  }

  TemporaryFolder folder_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SignalTest);

}  // namespace monsoonshelf::process
