#pragma once

#include <string>
#include <vector>

#include "base/base_types.h"

namespace monsoonshelf::gateway {

// One entry host of a zone reads the store for the others, since each waiting read of each host is
// a paid call. The choice needs no message: all hosts rank the hosts of the zone alike.

struct ReaderCandidate {
  HostName name_;
  std::string address_;  // Where its records are read.
  bool reaches_store_ = false;
};

// Rank of a host as a reader; the highest of the zone reads.
std::uint64_t ReaderRank(const HostName& host);

// Where to read: the address of another host, or empty for the store itself. `own_reaches_store`
// tells whether the last call of this host to the store succeeded.
std::string ChooseSource(const HostName& self, bool own_reaches_store,
                         const std::vector<ReaderCandidate>& peers);

}  // namespace monsoonshelf::gateway
