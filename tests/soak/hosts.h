#pragma once

#include <sys/types.h>

#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "base/base_types.h"
#include "tests/soak/loss_check.h"
#include "tests/soak/tcp_proxy.h"

namespace monsoonshelf::soak {

// A signal for the next process of a host.
struct StartSignal {
  int number_ = 0;
  // When the process accepts connections, otherwise at once.
  bool when_listening_ = false;
};

// One entry host: a process of the real program, with its own proxy to the store.
class Host {
 public:
  Host(std::string program, std::string name, const std::string& zone, const Address& store,
       const std::string& folder);
  ~Host();  // Kills the process if it runs.

  void Start();
  // Sends a signal. The first SIGTERM begins the stop of the process.
  void Signal(int number);
  // Starts the process again if it has ended, and kills it if it did not stop in time. Returns a
  // description of the failure if it ended unexpectedly or did not stop, otherwise an empty string.
  std::string CheckProcess(Time now);
  // Sends the start signal if the process has begun to listen.
  void CheckListening();
  // Ends the process with SIGKILL; CheckProcess starts it again.
  void Kill();
  // SIGSTOP and SIGCONT.
  void Pause();
  void Resume();
  // Writes the settings file with another value of a bound that has no effect on the checks.
  void ChangeSettings();
  void SetStartSignal(StartSignal signal) { start_signal_ = signal; }

  TcpProxy& StoreProxy() { return store_proxy_; }
  const std::string& DirectoryAddress() const { return directory_address_; }
  const std::string& FrontAddress() const { return front_address_; }
  const FaultTimes& Faults() const { return faults_; }
  const StopTimes& Stops() const { return stops_; }
  bool IsStopping() const { return stopping_; }
  // Time from the signal to the end of the last process that stopped.
  Duration LastStopDuration() const { return last_stop_duration_; }

 private:
  void WriteSettings();
  void SendStartSignal();
  // Returns a failure if the process still runs a second after it logged that it has stopped.
  std::string CheckStoppedLine(Time now);

  std::string program_;
  std::string name_;
  std::string zone_;
  std::string settings_file_;
  std::string log_file_;
  std::string front_address_;
  std::string directory_address_;
  std::string other_settings_;
  TcpProxy store_proxy_;
  pid_t pid_ = 0;
  bool end_expected_ = false;
  bool stopping_ = false;  // SIGTERM was sent.
  bool paused_ = false;
  // The process has accepted a connection, so it must handle signals.
  bool listened_ = false;
  bool early_hangup_ = false;  // SIGHUP was sent before.
  int extra_retries_ = 60;
  Time end_requested_at_{};
  Duration last_stop_duration_;
  StartSignal start_signal_;
  FaultTimes faults_;
  StopTimes stops_;
  std::ifstream log_;  // Read from the position at the first SIGTERM.
  Time stopped_logged_at_{};
};

}  // namespace monsoonshelf::soak
