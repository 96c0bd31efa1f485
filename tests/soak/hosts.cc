#include "tests/soak/hosts.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <fstream>
#include <utility>

#include "base/clock.h"

namespace monsoonshelf::soak {

namespace {

constexpr int kGraceSeconds = 4;
constexpr Duration kStopSlack = std::chrono::seconds(2);

// A port below those that the system gives to outgoing connections: one of those could be taken
// while its host is down. Each soak has a block of its own, since several may run beside each
// other.
int FreePort() {
  constexpr int kFirst = 10'000;
  constexpr int kBlock = 100;
  constexpr int kBlocks = 200;
  static int next = kFirst + static_cast<int>(getpid() % kBlocks) * kBlock;
  while (!http::Listener::Open("127.0.0.1:" + std::to_string(next), [](int /*descriptor*/) {})) {
    ++next;
  }
  return next++;
}

std::string Local(int port) { return "127.0.0.1:" + std::to_string(port); }

}  // namespace

Host::Host(std::string program, std::string name, const std::string& zone, const Address& store,
           const std::string& folder)
    : program_(std::move(program)),
      name_(std::move(name)),
      settings_(folder + "/" + name_ + ".toml"),
      log_(folder + "/" + name_ + ".log"),
      directory_(Local(FreePort())),
      store_(store) {
  std::ofstream file(settings_);
  file << "nodeName = \"" << name_ << "\"\nip = \"127.0.0.1\"\nzone = \"" << zone
       << "\"\nregion = \"r\"\nportRange = [" << FreePort() << ", 0]\nseeds = []\n"
       << "bounds = [\"graceS=" << kGraceSeconds
       << "\",\"retryBudgetRatio=0.2\",\"budgetExtraRetries=60\",\"budgetWindowS=10\"]\n[bind]\n"
       << "front = \"" << Local(FreePort()) << "\"\nreadiness = \"" << Local(FreePort())
       << "\"\ncontrol = \"" << Local(FreePort()) << "\"\ndirectory = \"" << directory_
       << "\"\n[platform]\naddress = \"" << store_.GetAddress() << "\"\n";
}

Host::~Host() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

void Host::Start() {
  const std::string config = "MONSOONSHELF_CONFIG=" + settings_;
  std::string serve = "serve";
  std::array<char*, 3> arguments = {program_.data(), serve.data(), nullptr};
  std::array<char*, 2> environment = {const_cast<char*>(config.c_str()), nullptr};
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  posix_spawn(&pid_, program_.c_str(), &actions, nullptr, arguments.data(), environment.data());
  posix_spawn_file_actions_destroy(&actions);
  expected_end_ = false;
}

void Host::Signal(int number) {
  if (pid_ > 0) kill(pid_, number);
}

void Host::Terminate() {
  if (pid_ <= 0 || expected_end_) return;
  expected_end_ = true;
  end_requested_ = Now();
  Signal(SIGTERM);
}

void Host::Kill() {
  expected_end_ = true;
  end_requested_ = Now();
  Signal(SIGKILL);
}

void Host::Pause() {
  paused_ = true;
  Signal(SIGSTOP);
}

void Host::Resume() {
  // A process that stood still can't stop meanwhile.
  if (paused_) end_requested_ = Now();
  paused_ = false;
  Signal(SIGCONT);
}

std::string Host::Check(Time now) {
  if (pid_ <= 0) return {};
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) == 0) {
    const Duration allowed = std::chrono::seconds(kGraceSeconds) + kStopSlack;
    if (!expected_end_ || paused_ || now - end_requested_ < allowed) return {};
    Signal(SIGCONT);
    Signal(SIGKILL);
    end_requested_ = now;
    return name_ + " didn't stop in its grace time";
  }
  const bool expected = expected_end_;
  pid_ = 0;
  paused_ = false;
  Start();
  if (expected) return {};
  return name_ + " ended by itself, status " + std::to_string(status);
}

}  // namespace monsoonshelf::soak
