#include "gateway/quota.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace monsoonshelf::gateway {

namespace {

using Seconds = std::chrono::duration<double>;

// Part of the slack that a bucket gives out beside the burst. Teams of about one request a second
// need it: their requests come in small groups. The rest is for requests that are admitted without
// asking, and for owners that do not know of each other.
constexpr double kSpareShare = 0.6;
// Hosts must ask when less than this share of the bucket is left: they may admit a part of it
// before they hear of it.
constexpr double kAskShare = 0.6;
// Hosts may stop asking when this share of the bucket has been refilled above that.
constexpr double kHysteresisShare = 0.2;
// Interval at which notices are repeated.
constexpr Duration kNoticeInterval = std::chrono::milliseconds(500);
// Tokens that a host does not use for this time are lost to the team.
constexpr Duration kCreditTime = std::chrono::milliseconds(500);
// Bounds of the time for which a host that got nothing does not ask again. The lower one bounds the
// messages of a team that sends many times its limit: twenty a second from each host.
constexpr Duration kMinDenyTime = std::chrono::milliseconds(50);
constexpr Duration kMaxDenyTime = std::chrono::milliseconds(500);
// A host that asked within this time takes part in the sharing of the tokens.
constexpr Duration kAskerTime = std::chrono::seconds(1);
// Replies are kept for repetition until the asking host has long given up.
constexpr Duration kReplyKeepTime = std::chrono::seconds(3);
// An owner that hears from less than this share of the hosts is in the smaller part of a partition.
constexpr double kMinorityShare = 0.5;
// An owner hears from most of the hosts that it can reach, but not from all of them.
constexpr double kHeardFactor = 1.1;
// Part of the rate of an owner beside which another one gives out the rest: within the overage.
constexpr double kDoubtfulShare = 0.03;
// A host with this share of the largest capacity is preferred as an owner.
constexpr double kLargeCapacityShare = 0.5;
// Part of the overage and the slack that the first requests of all hosts without an owner may use,
// and part of the rate that they may use together after that. The owner that they can't reach may
// give out all of the rate to the other hosts.
constexpr double kLocalSpareShare = 0.25;
constexpr double kLocalRateShare = 0.03;

double BucketSize(const QuotaLimit& limit, const QuotaBounds& bounds) {
  return std::max(1.0, limit.burst_ + kSpareShare * bounds.slack_);
}

void Refill(OwnedQuota& quota, const QuotaLimit& limit, const QuotaBounds& bounds,
            double refill_share, Time now) {
  if (quota.updated_ != Time{} && now > quota.updated_) {
    quota.tokens_ += limit.rate_per_second_ * refill_share * Seconds(now - quota.updated_).count();
  }
  quota.updated_ = now;
  quota.tokens_ = std::min(quota.tokens_, BucketSize(limit, bounds));
}

Duration ToDuration(double seconds) {
  // Longer times would not fit into a Duration, and no caller waits so long.
  return std::chrono::duration_cast<Duration>(Seconds(std::clamp(seconds, 0.0, 3600.0)));
}

}  // namespace

QuotaReply ApplyQuotaRequest(OwnedQuota& quota, const QuotaLimit& limit, const QuotaBounds& bounds,
                             double refill_share, const QuotaSender& sender,
                             const QuotaRequest& request, Time now) {
  std::erase_if(quota.answered_,
                [now](const auto& item) { return now - item.second.at_ > kReplyKeepTime; });
  OwnedQuota::Answered& last = quota.answered_[sender.host_];
  // A datagram of an earlier process of the host.
  if (sender.incarnation_ < last.incarnation_) return last.reply_;
  // A repeated request must not be debited twice. One that was overtaken by a later one gets the
  // reply to that one, which the host ignores.
  if (last.incarnation_ == sender.incarnation_ && request.sequence_ <= last.reply_.sequence_) {
    return last.reply_;
  }
  Refill(quota, limit, bounds, refill_share, now);
  quota.tokens_ -= request.debit_;
  QuotaReply reply;
  reply.team_ = request.team_;
  reply.sequence_ = request.sequence_;
  const int wanted = std::max(0, request.wanted_);
  if (quota.tokens_ >= 1) {
    reply.granted_ = std::min(wanted, static_cast<int>(quota.tokens_));
    quota.tokens_ -= reply.granted_;
  }
  if (wanted > 0 && reply.granted_ == 0) {
    const auto askers =
        std::count_if(quota.answered_.begin(), quota.answered_.end(),
                      [now](const auto& item) { return now - item.second.at_ <= kAskerTime; });
    const double rate = std::max(limit.rate_per_second_ * refill_share, 0.001);
    const double tokens_needed = std::max<double>(1 - quota.tokens_, static_cast<double>(askers));
    reply.retry_after_ = ToDuration(tokens_needed / rate);
  }
  const double size = BucketSize(limit, bounds);
  const double threshold = kAskShare * size;
  if (quota.tokens_ < threshold) quota.must_ask_ = true;
  if (quota.tokens_ >= threshold + kHysteresisShare * size) quota.must_ask_ = false;
  if (quota.must_ask_) reply.must_ask_for_ = kQuotaMustAskTime;
  last = {sender.incarnation_, reply, now};
  return reply;
}

bool TakeQuotaNotice(OwnedQuota& quota, Time now) {
  if (!quota.must_ask_) return false;
  if (quota.notice_sent_at_ != Time{} && now - quota.notice_sent_at_ < kNoticeInterval)
    return false;
  quota.notice_sent_at_ = now;
  return true;
}

double RefillShare(const OwnerView& view) {
  // The owner itself counts.
  const double heard = static_cast<double>(view.heard_hosts_ + 1);
  if (view.is_first_rank_) return 1;
  if (view.hears_higher_rank_) return kDoubtfulShare;
  const double share = heard / static_cast<double>(std::max<std::size_t>(view.fleet_hosts_, 1));
  // The others probably reach the owner of the highest rank, or have one of their own.
  if (share < kMinorityShare) return std::min(share, kDoubtfulShare);
  return std::min(1.0, kHeardFactor * share);
}

std::vector<HostName> RankQuotaOwners(const std::string& team,
                                      const std::vector<QuotaHost>& hosts) {
  int max_capacity = 0;
  for (const QuotaHost& host : hosts) max_capacity = std::max(max_capacity, host.capacity_);
  struct Ranked {
    bool is_small_;
    XXH64_hash_t hash_;
    const HostName* name_;
  };
  std::vector<Ranked> ranked;
  ranked.reserve(hosts.size());
  for (const QuotaHost& host : hosts) {
    std::string key = "quota ";
    key.append(team).append(" ").append(host.name_);
    ranked.push_back({host.capacity_ < kLargeCapacityShare * max_capacity,
                      XXH3_64bits(key.data(), key.size()), &host.name_});
  }
  std::sort(ranked.begin(), ranked.end(), [](const Ranked& left, const Ranked& right) {
    return std::tuple(left.is_small_, right.hash_, *left.name_) <
           std::tuple(right.is_small_, left.hash_, *right.name_);
  });
  std::vector<HostName> names;
  names.reserve(ranked.size());
  for (const Ranked& host : ranked) names.push_back(*host.name_);
  return names;
}

QuotaVerdict DecideQuota(HostQuota& quota, Time now) {
  if (now >= quota.credit_expires_at_) quota.credit_ = 0;
  if (quota.credit_ > 0) {
    --quota.credit_;
    return {};
  }
  if (now < quota.denied_until_) {
    return {QuotaAction::kDeny, std::max(quota.denied_until_, quota.retry_at_) - now};
  }
  const bool is_unconfirmed = quota.pending_.sequence_ != 0 || quota.unreported_ > 0;
  if (now < quota.must_ask_until_ || is_unconfirmed) return {QuotaAction::kWait, {}};
  ++quota.unreported_;
  return {};
}

QuotaRequest NextQuotaRequest(HostQuota& quota, const std::string& team, int waiting, Time now) {
  if (quota.pending_.sequence_ != 0 || (quota.unreported_ == 0 && waiting == 0)) return {};
  quota.pending_ = {team, ++quota.last_sequence_, quota.unreported_, waiting};
  quota.pending_since_ = now;
  quota.unreported_ = 0;
  return quota.pending_;
}

bool ApplyQuotaReply(HostQuota& quota, const QuotaReply& reply, Time now) {
  const bool is_answer = reply.sequence_ != 0 && reply.sequence_ == quota.pending_.sequence_;
  // A late reply to an earlier request says nothing about the present tokens.
  if (!is_answer && reply.sequence_ != 0) return false;
  if (reply.must_ask_for_.count() > 0) {
    quota.must_ask_until_ = std::max(quota.must_ask_until_, now + reply.must_ask_for_);
  } else if (is_answer) {
    quota.must_ask_until_ = {};
  }
  if (!is_answer) return false;
  if (reply.granted_ > 0) {
    quota.credit_ += reply.granted_;
    quota.credit_expires_at_ = now + kCreditTime;
    quota.denied_until_ = {};
  } else if (quota.pending_.wanted_ > 0) {
    quota.denied_until_ = now + std::clamp(reply.retry_after_, kMinDenyTime, kMaxDenyTime);
    quota.retry_at_ = now + reply.retry_after_;
  }
  quota.pending_ = {};
  quota.tries_ = 0;
  return true;
}

void AbandonQuotaRequest(HostQuota& quota) {
  quota.unreported_ += quota.pending_.debit_;
  quota.pending_ = {};
}

QuotaVerdict DecideWithoutOwner(HostQuota& quota, const QuotaLimit& limit,
                                const QuotaBounds& bounds, std::size_t fleet_hosts, double random,
                                Time now) {
  const auto hosts = static_cast<double>(std::max<std::size_t>(fleet_hosts, 1));
  if (!quota.has_local_bucket_) {
    quota.has_local_bucket_ = true;
    const double in_window =
        limit.rate_per_second_ * Seconds(bounds.window_).count() + limit.burst_;
    const double spare = bounds.overage_ * in_window + bounds.slack_;
    quota.local_tokens_ = random < kLocalSpareShare * spare / hosts ? 1 : 0;
    quota.local_updated_ = now;
  }
  const double rate = std::max(kLocalRateShare * limit.rate_per_second_ / hosts, 1e-6);
  quota.local_tokens_ =
      std::min(1.0, quota.local_tokens_ + rate * Seconds(now - quota.local_updated_).count());
  quota.local_updated_ = now;
  if (quota.local_tokens_ < 1) {
    return {QuotaAction::kUnknown,
            std::clamp(ToDuration((1 - quota.local_tokens_) / rate), kMinDenyTime, kMaxDenyTime)};
  }
  quota.local_tokens_ -= 1;
  return {};
}

void RefundQuota(HostQuota& quota, Time admitted_at, Time now) {
  if (now - admitted_at >= kCreditTime) return;
  if (now >= quota.credit_expires_at_) quota.credit_ = 0;
  ++quota.credit_;
  quota.credit_expires_at_ = std::max(quota.credit_expires_at_, admitted_at + kCreditTime);
}

}  // namespace monsoonshelf::gateway
