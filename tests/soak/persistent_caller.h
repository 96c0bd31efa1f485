#pragma once

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "eventloop/timer.h"
#include "tests/soak/hosts.h"
#include "tests/soak/target.h"

namespace monsoonshelf::soak {

// Holds several connections to one host, whatever the directory says, until the host closes them,
// and sends requests at the moments of a stop at which they are most likely to be lost. Some
// requests are sent in two parts, and some large responses are read slowly.
class PersistentCaller {
 public:
  PersistentCaller(const std::string& name, const Host& host, int connections, SoakResults& results,
                   std::uint64_t seed);
  ~PersistentCaller();

  // Sends no more requests; requests in progress are completed.
  void Stop() { stopped_ = true; }

 private:
  class Connection;
  void OnTimer();

  std::string name_;
  const Host& host_;
  SoakResults& results_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Connection>> connections_;
  std::size_t number_ = 0;
  std::size_t planned_stop_ = 0;  // Number of the stop to which the sends were adapted last.
  bool stopped_ = false;
  eventloop::Timer timer_;
};

}  // namespace monsoonshelf::soak
