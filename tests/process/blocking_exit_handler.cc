#include <unistd.h>

#include <cstdlib>

// Linked to a copy of the program: an exit handler that never returns, like one of a library that
// waits for its threads.

namespace {

[[noreturn]] void WaitForever() {
  for (;;) pause();
}

const int kRegistered = std::atexit(WaitForever);

}  // namespace
