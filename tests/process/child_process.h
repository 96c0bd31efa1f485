#pragma once

#include <sys/types.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace monsoonshelf::process {

// Runs the thread-default main context until `condition` is true. Returns false after `seconds`.
bool RunUntil(const std::function<bool()>& condition, int seconds = 20);

// Waits until a TCP connection to the address on loopback can be opened.
bool WaitUntilListening(const std::string& address);

// A temporary folder that is removed at the end of the test.
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  std::string File(const std::string& name) const { return path_ + "/" + name; }

 private:
  std::string path_;
};

// What the standard output of a child process is connected to.
enum class Output {
  kFile,        // ChildProcess::Log() returns what was written.
  kClosedPipe,  // A pipe whose reader has closed it.
  kNone,        // The descriptor is closed.
};

// A process of a real program. It is killed by the destructor if it still runs.
class ChildProcess {
 public:
  // `environment` consists of `NAME=value` strings. Standard error is written to the log file.
  ChildProcess(const std::string& program, std::vector<std::string> arguments,
               std::vector<std::string> environment, std::string log_file,
               Output output = Output::kFile);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Signal(int number) const;
  // Both run the main context of the test while they wait.
  // Returns false if the process ends without the text or does not write it in time.
  bool WaitForLog(const std::string& text);
  // Returns `exit N` or `signal N`, or `running` if the process does not end in time.
  std::string WaitForEnd();
  std::string Log() const;
  pid_t Pid() const { return pid_; }
  // Returns what a descriptor of the process refers to, as in /proc; empty if it is closed.
  std::string DescriptorTarget(int descriptor) const;

 private:
  bool HasEnded();

  std::string log_file_;
  pid_t pid_ = 0;
  std::optional<int> status_;
};

}  // namespace monsoonshelf::process
