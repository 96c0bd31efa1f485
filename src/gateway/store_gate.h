#pragma once

#include <cstddef>
#include <string_view>

#include "base/base_types.h"

namespace monsoonshelf::gateway {

// Decides when a host that has no source, or whose source no longer confirms its content, reads the
// store. All hosts of an availability zone see the loss of their reader, and the return of the
// store, at the same moment; each of them waits for its turn by its rank, so that the number of
// hosts that read the store does not grow with the zone. A host that finds a reader before its turn
// gives it up. Pure logic: the caller makes the calls and passes the time in.
// Position of a host among those of its zone that wait for the store.
struct GateRank {
  std::size_t higher_ranked_ = 0;  // Live hosts of the zone that rank higher.
  // Other zones are known, which the hosts of high rank follow if the store serves only those.
  bool has_other_zones_ = false;
};

struct StoreGate {
  enum class State {
    kClosed,   // The store is not needed, or is being read.
    kSeeking,  // The store is probed at `next_at_`.
    kServed,   // A probe succeeded; the store is read at `next_at_`.
  };
  State state_ = State::kClosed;
  std::string_view cause_;  // Of the request, for the log.
  Time requested_at_{};
  Time next_at_{};
  Time probed_at_{};  // When the last probe was sent.
  int probes_ = 0;    // Since the request.
  int failed_probes_ = 0;
};

enum class GateAction { kNone, kProbe, kRead };

// Asks for a turn. Has no effect if a turn was requested before.
void RequestTurn(StoreGate& gate, std::string_view cause, std::size_t higher_ranked, Time now);
// Ends the request: a source confirms the content again, or the store is being read.
void CloseGate(StoreGate& gate);
// Returns what is due. After kProbe, the next probe is due one interval later, whether or not this
// one has ended: a lost packet must not delay the next one.
GateAction TakeAction(StoreGate& gate, const GateRank& rank, Time now);
// Applies the result of a probe.
void ApplyProbeResult(StoreGate& gate, bool is_served, std::size_t higher_ranked, Time now);

// Returns whether the store does not serve this host, and it should follow a host of another zone.
// Few hosts of the zone do so at first; the others follow these.
bool ShouldFollowOtherZone(const StoreGate& gate, std::size_t higher_ranked, Time now);

// Returns how long a host waits for its turn.
Duration TurnDelay(std::size_t higher_ranked);
// Returns the interval to the next probe after `probes` earlier ones. Load pattern: the store
// serves nobody for seconds, and every host of every zone waits for it. The hosts of high rank
// probe most often and in turn, so that the probes of a zone per second do not grow with the zone;
// the others get the changes from them. A zone without others to follow must find a single host
// that is served again, so all its hosts probe often.
Duration ProbeInterval(const GateRank& rank, int probes);

// Returns whether a host that follows another one and that the store did not serve last time probes
// it at intervals. `may_replace` tells whether it would then replace the readers.
bool ProbesWhileFollowing(const GateRank& rank, bool may_replace);

}  // namespace monsoonshelf::gateway
