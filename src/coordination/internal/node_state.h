#pragma once

#include <map>
#include <optional>
#include <vector>

#include "coordination/node.h"

namespace monsoonshelf::coordination {

struct Node {
  NodeSettings settings_;
  std::map<HostName, MemberUpdate> members_;
  configuration::Configuration configuration_;
  bool has_configuration_ = false;
  std::uint64_t next_request_ = 1;
  std::uint64_t exchange_request_ = 0;  // The list or watch that is waiting, or 0.
  std::optional<Version> watch_after_;  // Nothing: list first.
  Time next_exchange_{};
  Duration exchange_backoff_{};
};

}  // namespace monsoonshelf::coordination
