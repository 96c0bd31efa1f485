#include "tests/process/child_process.h"

#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <utility>

#include "base/address.h"
#include "base/clock.h"

namespace monsoonshelf::process {

namespace {

std::vector<char*> NullTerminated(std::vector<std::string>& texts) {
  std::vector<char*> pointers(texts.size() + 1, nullptr);
  std::transform(texts.begin(), texts.end(), pointers.begin(),
                 [](std::string& text) { return text.data(); });
  return pointers;
}

}  // namespace

bool RunUntil(const std::function<bool()>& condition, int seconds) {
  const Time end = Now() + std::chrono::seconds(seconds);
  while (!condition()) {
    if (Now() > end) return false;
    if (g_main_context_iteration(nullptr, FALSE) == FALSE) g_usleep(1000);
  }
  return true;
}

bool WaitUntilListening(const std::string& address) {
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_port = htons(ParseAddress(address)->port_);
  target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return RunUntil(
      [&target] {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int result =
            connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
        close(descriptor);
        return result == 0;
      },
      5);
}

TemporaryFolder::TemporaryFolder()
    : path_(std::filesystem::temp_directory_path() / "process.XXXXXX") {
  if (mkdtemp(path_.data()) == nullptr) path_.clear();
}

TemporaryFolder::~TemporaryFolder() {
  if (!path_.empty()) std::filesystem::remove_all(path_);
}

ChildProcess::ChildProcess(const std::string& program, std::vector<std::string> arguments,
                           std::vector<std::string> environment, std::string log_file,
                           Output output)
    : log_file_(std::move(log_file)) {
  arguments.insert(arguments.begin(), program);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log_file_.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  std::array<int, 2> pipe_ends = {-1, -1};
  switch (output) {
    case Output::kFile:
      posix_spawn_file_actions_adddup2(&actions, STDERR_FILENO, STDOUT_FILENO);
      break;
    case Output::kClosedPipe:
      if (pipe2(pipe_ends.data(), O_CLOEXEC) != 0) return;
      close(pipe_ends[0]);
      posix_spawn_file_actions_adddup2(&actions, pipe_ends[1], STDOUT_FILENO);
      break;
    case Output::kNone:
      posix_spawn_file_actions_addclose(&actions, STDOUT_FILENO);
      break;
  }
  // Ignored signals are inherited.
  sigset_t default_signals;
  sigemptyset(&default_signals);
  sigaddset(&default_signals, SIGPIPE);
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  posix_spawnattr_setsigdefault(&attributes, &default_signals);
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGDEF);
  posix_spawn(&pid_, program.c_str(), &actions, &attributes, NullTerminated(arguments).data(),
              NullTerminated(environment).data());
  posix_spawnattr_destroy(&attributes);
  posix_spawn_file_actions_destroy(&actions);
  if (pipe_ends[1] >= 0) close(pipe_ends[1]);
}

ChildProcess::~ChildProcess() {
  if (pid_ <= 0 || HasEnded()) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

void ChildProcess::Signal(int number) const {
  if (pid_ > 0 && !status_) kill(pid_, number);
}

bool ChildProcess::WaitForLog(const std::string& text) {
  bool found = false;
  RunUntil([&] {
    const bool ended = HasEnded();
    found = Log().find(text) != std::string::npos;
    return found || ended;
  });
  return found;
}

std::string ChildProcess::WaitForEnd() {
  if (!RunUntil([this] { return HasEnded(); })) return "running";
  return WIFSIGNALED(*status_) ? "signal " + std::to_string(WTERMSIG(*status_))
                               : "exit " + std::to_string(WEXITSTATUS(*status_));
}

std::string ChildProcess::Log() const {
  std::ifstream file(log_file_);
  return {std::istreambuf_iterator<char>(file), {}};
}

std::string ChildProcess::DescriptorTarget(int descriptor) const {
  std::error_code error;
  return std::filesystem::read_symlink(
      "/proc/" + std::to_string(pid_) + "/fd/" + std::to_string(descriptor), error);
}

bool ChildProcess::HasEnded() {
  int status = 0;
  if (!status_ && waitpid(pid_, &status, WNOHANG) == pid_) status_ = status;
  return status_.has_value();
}

}  // namespace monsoonshelf::process
