#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/base_types.h"
#include "base/enum_names.h"

namespace monsoonshelf::gateway {

// Quotas of teams over all entry hosts. Each team has an owner, an entry host that keeps its token
// bucket. Load pattern: most teams stay far below their limits and send a few requests a second
// over hundreds of hosts, while one sends many times its limit. Far below the limit, a host admits
// a request at once and reports it; near the limit, hosts ask first. Pure logic: the time and the
// random numbers are passed in, and the caller exchanges the messages.

struct QuotaLimit {
  double rate_per_second_ = 0;  // 0: no limit.
  double burst_ = 0;
};

// Bounds on the requests of any window, from the settings; see FleetBounds.
struct QuotaBounds {
  Duration window_ = std::chrono::seconds(5);
  double overage_ = 0.1;
  double slack_ = 20;
};

// What a host tells the owner of a team.
struct QuotaRequest {
  std::string team_;
  // Increases with each new request of the host for the team. A repeated request has the same one.
  std::uint64_t sequence_ = 0;
  int debit_ = 0;   // Requests that the host has admitted without asking.
  int wanted_ = 0;  // Further requests that it would admit.
};

struct QuotaReply {
  std::string team_;
  std::uint64_t sequence_ = 0;  // Of the request; 0 for a notice to all hosts.
  int granted_ = 0;
  Duration retry_after_{};   // If nothing was granted: until a token is free for this host.
  Duration must_ask_for_{};  // Zero while the team is far below its limit.
};

// --- The owner of a team.

struct OwnedQuota {
  struct Answered {
    Incarnation incarnation_ = 0;
    QuotaReply reply_;
    Time at_{};
  };
  // An owner begins without tokens when it starts, since its predecessor may have spent them.
  double tokens_ = 0;
  Time updated_{};  // Begins with the start of an owner of the highest rank.
  bool must_ask_ = false;
  Time notice_sent_at_{};
  std::map<HostName, Answered> answered_;  // The last reply to each host, for its repetition.
};

struct QuotaSender {
  HostName host_;
  Incarnation incarnation_ = 0;
};

// Applies a request to the bucket and returns the reply. `refill_share` is the part of the rate
// that this owner may give out; see RefillShare.
QuotaReply ApplyQuotaRequest(OwnedQuota& quota, const QuotaLimit& limit, const QuotaBounds& bounds,
                             double refill_share, const QuotaSender& sender,
                             const QuotaRequest& request, Time now);
// Returns whether all hosts are to be told now that they must ask first, and records that they are.
bool TakeQuotaNotice(OwnedQuota& quota, Time now);

struct OwnerView {
  bool is_first_rank_ = true;       // No host of a higher rank is registered.
  bool hears_higher_rank_ = false;  // A host of a higher rank sent something lately.
  std::size_t heard_hosts_ = 0;     // Other hosts from which something was heard lately.
  std::size_t fleet_hosts_ = 1;
};

// Returns the part of a team's rate that an owner may give out. The owner of the highest rank gives
// out all of it. Any
// other one may share the team with an owner that it can't reach. It gives out the part of the
// hosts from which it hears, and very little if that is the smaller part, or while it hears from
// the owner of the highest rank.
double RefillShare(const OwnerView& view);

struct QuotaHost {
  HostName name_;
  int capacity_ = 0;  // See HostRecord.
};

// Returns the hosts that may own the team, by rank. Those with much capacity come first, because an
// owner receives a message for each request of its teams.
std::vector<HostName> RankQuotaOwners(const std::string& team, const std::vector<QuotaHost>& hosts);

// --- A host that receives the requests of callers.

struct HostQuota {
  int credit_ = 0;  // Granted by the owner and not used yet.
  Time credit_expires_at_{};
  Time must_ask_until_{};
  Time denied_until_{};  // This host does not ask again before.
  Time retry_at_{};      // When the owner expects to have a token for this host.
  // The request to the owner that was not answered yet; sequence_ 0 if there is none.
  QuotaRequest pending_;
  Time pending_since_{};
  int tries_ = 0;
  int unreported_ = 0;  // Admitted requests that the next request to the owner reports.
  std::uint64_t last_sequence_ = 0;
  // Bucket for the time in which no owner answers.
  double local_tokens_ = 0;
  Time local_updated_{};
  bool has_local_bucket_ = false;
};

enum class QuotaAction {
  kAdmit,
  kWait,     // For a reply of the owner.
  kDeny,     // The team is over its limit: respond 429.
  kUnknown,  // No owner answers, and the part of this host is used up: respond 503.
};

inline constexpr EnumNames<QuotaAction, 4> kQuotaActionNames = {{
    {QuotaAction::kAdmit, "admit"},
    {QuotaAction::kWait, "wait"},
    {QuotaAction::kDeny, "deny"},
    {QuotaAction::kUnknown, "unknown"},
}};

struct QuotaVerdict {
  QuotaAction action_ = QuotaAction::kAdmit;
  Duration retry_after_{};
};

// Decides on a request of the team, and counts it if it is admitted.
QuotaVerdict DecideQuota(HostQuota& quota, Time now);
// Returns the request that is to be sent to the owner now, with a sequence_ of 0 if there is none.
// `waiting` is the number of requests that wait for a reply.
QuotaRequest NextQuotaRequest(HostQuota& quota, const std::string& team, int waiting, Time now);
// Applies a reply or a notice. Returns whether it answers the pending request.
bool ApplyQuotaReply(HostQuota& quota, const QuotaReply& reply, Time now);
// Abandons the pending request, whose owner does not answer. What it reported is reported again to
// the next owner.
void AbandonQuotaRequest(HostQuota& quota);
// Decides on a request that waited while no owner answers. `random` is a number from 0 to 1, which
// is used for the first decision.
QuotaVerdict DecideWithoutOwner(HostQuota& quota, const QuotaLimit& limit,
                                const QuotaBounds& bounds, std::size_t fleet_hosts, double random,
                                Time now);
// Gives the token of a request back that was admitted at `admitted_at` and did not run, unless that
// was so long ago that the token would add to those of a later window.
void RefundQuota(HostQuota& quota, Time admitted_at, Time now);

// A host that has started asks for this time before it admits: it does not know who is over a
// limit.
inline constexpr Duration kMustAskAfterStart = std::chrono::milliseconds(1500);
// Hosts from which nothing was heard for this time do not count for the share of an owner.
inline constexpr Duration kQuotaHeardTime = std::chrono::seconds(2);
// How long a host asks after a notice.
inline constexpr Duration kQuotaMustAskTime = std::chrono::milliseconds(1500);
// Time after which a request to an owner is repeated, and after which a repeated one is abandoned.
// Covers a round trip to another zone and a busy host.
inline constexpr Duration kQuotaReplyTimeout = std::chrono::milliseconds(50);

}  // namespace monsoonshelf::gateway
