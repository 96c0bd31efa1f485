#pragma once

#include <sys/types.h>

#include <memory>
#include <string>
#include <vector>

#include "base/base_types.h"
#include "tests/soak/tcp_proxy.h"

namespace monsoonshelf::soak {

// One entry host: the real program as a process of its own, with its own way to the store.
class Host {
 public:
  Host(std::string program, std::string name, const std::string& zone, const Address& store,
       const std::string& folder);
  ~Host();  // Kills the process if it runs.

  void Start();
  void Signal(int number);
  bool IsRunning() const { return pid_ > 0; }
  // Looks whether the process has ended, and starts it again if it was told to stop or killed.
  // Returns a text if it ended in a way that nobody asked for.
  std::string Check(Time now);
  // The process is to end; `start_again` after it has.
  void Terminate();
  void Kill();
  void Pause();
  void Resume();

  TcpProxy& StoreLink() { return store_; }
  const std::string& DirectoryAddress() const { return directory_; }

 private:
  std::string program_;
  std::string name_;
  std::string settings_;
  std::string log_;
  std::string directory_;
  TcpProxy store_;
  pid_t pid_ = 0;
  bool expected_end_ = false;
  bool paused_ = false;
  Time end_requested_{};
};

}  // namespace monsoonshelf::soak
