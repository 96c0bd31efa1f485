#include "tests/soak/hosts.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <utility>

#include "base/clock.h"
#include "http/socket_address.h"
#include "tests/soak/free_port.h"

namespace monsoonshelf::soak {

namespace {

constexpr int kStopGraceSeconds = 6;                       // graceS in the settings of each host.
constexpr Duration kStopMargin = std::chrono::seconds(2);  // For the end of the process after it.
// Time from the line "stopped" to the end of the process: it has only to free its memory.
constexpr Duration kExitTime = std::chrono::seconds(1);

// Connections to loopback are established or refused at once.
bool AcceptsConnections(const std::string& address) {
  const http::SocketAddress target = http::ToSocketAddress(*ParseAddress(address));
  const int descriptor = socket(target.Family(), SOCK_STREAM | SOCK_CLOEXEC, IPPROTO_TCP);
  const bool connected = connect(descriptor, target.Get(), target.length_) == 0;
  close(descriptor);
  return connected;
}

}  // namespace

Host::Host(std::string program, std::string name, const std::string& zone, const Address& store,
           const std::string& folder)
    : program_(std::move(program)),
      name_(std::move(name)),
      zone_(zone),
      settings_file_(folder + "/" + name_ + ".toml"),
      log_file_(folder + "/" + name_ + ".log"),
      front_address_(FreeLoopbackAddress()),
      directory_address_(FreeLoopbackAddress()),
      store_proxy_(store),
      last_stop_duration_(std::chrono::milliseconds(450 * kStopGraceSeconds)) {
  stops_.grace_ = std::chrono::seconds(kStopGraceSeconds);
  const int peer_port = FreePort();
  other_settings_ = "portRange = [" + std::to_string(peer_port) +
                    ", 0]\nseeds = []\n[bind]\nfront = \"" + front_address_ + "\"\nreadiness = \"" +
                    FreeLoopbackAddress() + "\"\ncontrol = \"" + FreeLoopbackAddress() +
                    "\"\ndirectory = \"" + directory_address_ + "\"\n[platform]\naddress = \"" +
                    store_proxy_.GetAddress() + "\"\n";
  WriteSettings();
}

void Host::WriteSettings() {
  std::ofstream file(settings_file_ + ".new");
  file << "nodeName = \"" << name_ << "\"\nip = \"127.0.0.1\"\nzone = \"" << zone_
       << "\"\nregion = \"r\"\nbounds = [\"graceS=" << kStopGraceSeconds
       << "\",\"retryBudgetRatio=0.2\",\"budgetExtraRetries=" << extra_retries_
       << "\",\"budgetWindowS=10\"]\n"
       << other_settings_;
  file.close();
  std::filesystem::rename(settings_file_ + ".new", settings_file_);
}

void Host::ChangeSettings() {
  ++extra_retries_;
  WriteSettings();
}

Host::~Host() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

void Host::Start() {
  const std::string config = "MONSOONSHELF_CONFIG=" + settings_file_;
  std::string serve = "serve";
  std::array<char*, 3> arguments = {program_.data(), serve.data(), nullptr};
  std::array<char*, 2> environment = {const_cast<char*>(config.c_str()), nullptr};
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_file_.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  posix_spawn(&pid_, program_.c_str(), &actions, nullptr, arguments.data(), environment.data());
  posix_spawn_file_actions_destroy(&actions);
  end_expected_ = false;
  paused_ = false;
  stopping_ = false;
  listened_ = false;
  early_hangup_ = false;
  stopped_logged_at_ = {};
  if (start_signal_.number_ != 0 && !start_signal_.when_listening_) SendStartSignal();
}

void Host::SendStartSignal() { Signal(std::exchange(start_signal_, {}).number_); }

void Host::CheckListening() {
  if (listened_ || !AcceptsConnections(front_address_)) return;
  listened_ = true;
  if (start_signal_.number_ != 0) SendStartSignal();
}

void Host::Signal(int number) {
  if (pid_ <= 0) return;
  if (number == SIGTERM && !end_expected_) {
    end_expected_ = true;
    stopping_ = true;
    end_requested_at_ = Now();
    stops_.signals_.push_back(end_requested_at_);
    log_ = std::ifstream(log_file_);
    log_.seekg(0, std::ios::end);
  }
  // A program that does not handle signals yet may be ended by SIGHUP.
  if (number == SIGHUP && !listened_) early_hangup_ = true;
  kill(pid_, number);
}

void Host::Kill() {
  faults_.AddShortFault(Now());
  end_expected_ = true;
  end_requested_at_ = Now();
  Signal(SIGKILL);
}

void Host::Pause() {
  faults_.Begin(Now());
  paused_ = true;
  Signal(SIGSTOP);
}

void Host::Resume() {
  // A paused process cannot stop, so the grace time begins again.
  if (paused_) {
    end_requested_at_ = Now();
    stopped_logged_at_ = {};
  }
  paused_ = false;
  faults_.End(Now());
  Signal(SIGCONT);
}

std::string Host::CheckStoppedLine(Time now) {
  if (!stopping_ || paused_) return {};
  if (stopped_logged_at_ == Time{}) {
    log_.clear();
    for (std::string line; std::getline(log_, line);) {
      if (line.find(" event=stopped") != std::string::npos) stopped_logged_at_ = now;
    }
    return {};
  }
  if (now - stopped_logged_at_ < kExitTime) return {};
  stopped_logged_at_ = Time::max();  // Reported once.
  return name_ + " still runs a second after it logged that it has stopped";
}

std::string Host::CheckProcess(Time now) {
  if (pid_ <= 0) return {};
  CheckListening();
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) == 0) {
    const Duration allowed = std::chrono::seconds(kStopGraceSeconds) + kStopMargin;
    if (!end_expected_ || paused_ || now < end_requested_at_ + allowed)
      return CheckStoppedLine(now);
    faults_.AddShortFault(now);
    Signal(SIGCONT);
    Signal(SIGKILL);
    end_requested_at_ = now;
    return name_ + " did not stop within its grace time";
  }
  const int signal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
  const bool expected =
      (end_expected_ && (status == 0 || signal == SIGKILL || (signal == SIGTERM && !listened_))) ||
      (early_hangup_ && signal == SIGHUP);
  if (stopping_ && status == 0) last_stop_duration_ = now - end_requested_at_;
  faults_.End(now);  // Of a process that was paused.
  Start();
  if (expected) return {};
  return name_ + " ended unexpectedly, wait status " + std::to_string(status);
}

}  // namespace monsoonshelf::soak
