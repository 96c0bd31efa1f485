#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "base/base_types.h"

namespace monsoonshelf::http {

class ServerConnections;

// Counts the bytes that the caller connections of a process hold, over all its
// listeners, and closes connections when they exceed a limit.
class MemoryAccount {
 public:
  explicit MemoryAccount(std::size_t max_bytes) : max_bytes_(max_bytes) {}
  MemoryAccount(const MemoryAccount &) = delete;
  MemoryAccount &operator=(const MemoryAccount &) = delete;

  void Add(std::size_t bytes);
  void Remove(std::size_t bytes) { held_bytes_ -= bytes; }
  std::size_t HeldBytes() const { return held_bytes_; }
  bool IsShort() const { return held_bytes_ > max_bytes_; }
  // Number of connections closed, or requests rejected, because memory was
  // short.
  std::uint64_t ShedCount() const { return shed_count_; }

  // The listeners whose connections may be closed.
  void AddListener(ServerConnections &connections) { listeners_.push_back(&connections); }
  void RemoveListener(ServerConnections &connections);

  // Closes connections until the limit holds. Calls handlers of connections, so
  // it must not be called while one of them runs.
  void ShedIfShort(Time now);
  // Returns freed memory to the system after a large release. Must be called
  // several times a second.
  void ReleaseFreedMemory(Time now);

 private:
  std::size_t max_bytes_;
  std::size_t held_bytes_ = 0;
  std::size_t peak_bytes_ = 0;  // Since memory was last returned to the system.
  Time released_at_{};
  Time logged_at_{};
  std::uint64_t shed_count_ = 0;
  bool is_shedding_ = false;
  std::vector<ServerConnections *> listeners_;
};

// Bytes of a started request. They count until the charge is destroyed, also if
// the connection is closed before.
class MemoryCharge {
 public:
  MemoryCharge(std::shared_ptr<MemoryAccount> account, std::size_t bytes)
      : account_(std::move(account)), bytes_(bytes) {
    account_->Add(bytes_);
  }
  ~MemoryCharge() { account_->Remove(bytes_); }
  MemoryCharge(const MemoryCharge &) = delete;
  MemoryCharge &operator=(const MemoryCharge &) = delete;

 private:
  std::shared_ptr<MemoryAccount> account_;
  std::size_t bytes_;
};

}  // namespace monsoonshelf::http
