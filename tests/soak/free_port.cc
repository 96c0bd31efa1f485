#include "tests/soak/free_port.h"

#include <unistd.h>

#include <memory>
#include <utility>
#include <vector>

#include "http/listener.h"

namespace monsoonshelf::soak {

namespace {

std::unique_ptr<http::Listener> TryListen(int port) {
  auto listener =
      http::Listener::Open("127.0.0.1:" + std::to_string(port), [](int /*descriptor*/) {});
  return listener ? std::move(listener.value()) : nullptr;
}

}  // namespace

int FreePort() {
  constexpr int kFirstPort = 10'000;
  constexpr int kPortsPerBlock = 100;
  constexpr int kBlockCount = 225;
  static std::vector<std::unique_ptr<http::Listener>> block_locks;
  static int block = static_cast<int>(getpid() % kBlockCount);
  static int next = 0;
  while (true) {
    if (next % kPortsPerBlock == 0) {
      block = (block + 1) % kBlockCount;
      next = kFirstPort + block * kPortsPerBlock;
      auto lock = TryListen(next);
      if (lock == nullptr) continue;
      block_locks.push_back(std::move(lock));
      ++next;
    }
    const int port = next++;
    if (TryListen(port) != nullptr) return port;
  }
}

std::string FreeLoopbackAddress() { return "127.0.0.1:" + std::to_string(FreePort()); }

}  // namespace monsoonshelf::soak
