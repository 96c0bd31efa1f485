#include "tests/soak/free_port.h"

#include <unistd.h>

#include "http/listener.h"

namespace monsoonshelf::soak {

int FreePort() {
  constexpr int kFirstPort = 10'000;
  constexpr int kPortsPerProcess = 100;
  constexpr int kBlockCount = 200;
  static int next = kFirstPort + static_cast<int>(getpid() % kBlockCount) * kPortsPerProcess;
  while (!http::Listener::Open("127.0.0.1:" + std::to_string(next), [](int /*descriptor*/) {})) {
    ++next;
  }
  return next++;
}

std::string FreeLoopbackAddress() { return "127.0.0.1:" + std::to_string(FreePort()); }

}  // namespace monsoonshelf::soak
