#pragma once

#include <sys/types.h>

#include <memory>
#include <string>
#include <vector>

#include "base/base_types.h"
#include "tests/soak/tcp_proxy.h"

namespace monsoonshelf::soak {

// One entry host: a process of the real program, with its own proxy to the store.
class Host {
 public:
  Host(std::string program, std::string name, const std::string& zone, const Address& store,
       const std::string& folder);
  ~Host();  // Kills the process if it runs.

  void Start();
  void Signal(int number);
  bool IsRunning() const { return pid_ > 0; }
  // Starts the process again if it has ended, and kills it if it did not stop in time. Returns a
  // description of the failure if it ended unexpectedly or did not stop, otherwise an empty string.
  std::string CheckProcess(Time now);
  // Both end the process, with SIGTERM or SIGKILL; CheckProcess starts it again.
  void Terminate();
  void Kill();
  // SIGSTOP and SIGCONT.
  void Pause();
  void Resume();

  TcpProxy& StoreProxy() { return store_proxy_; }
  const std::string& DirectoryAddress() const { return directory_address_; }

 private:
  std::string program_;
  std::string name_;
  std::string settings_file_;
  std::string log_file_;
  std::string directory_address_;
  TcpProxy store_proxy_;
  pid_t pid_ = 0;
  bool end_expected_ = false;
  bool paused_ = false;
  Time end_requested_at_{};
};

}  // namespace monsoonshelf::soak
