#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "gateway/quota.h"

namespace monsoonshelf::gateway {

// Simulates the hosts of a fleet and the owners of one team on a virtual clock: messages take time,
// are lost or arrive twice, and owners stop and start. Each request of the team arrives at a random
// host.
class QuotaModel {
 public:
  struct Load {
    int hosts_ = 136;
    QuotaLimit limit_;
    double seconds_ = 20;
    // Requests of the team per second at a time.
    std::function<double(double)> rate_;
    // Returns whether messages pass from one host to another at a time. Hosts 0 and 1 are the
    // owners by rank.
    std::function<bool(int, int, double)> passes_ = [](int, int, double) { return true; };
    // Owners that lose their state at a time.
    std::vector<std::pair<double, int>> restarts_;
    double loss_ = 0;
    double duplicates_ = 0;
    std::map<double, QuotaLimit> changes_;  // Of the limit.
  };
  struct Result {
    int asked_ = 0;
    int admitted_ = 0;
    int ideal_ = 0;    // Admitted by one token bucket for all hosts.
    int unknown_ = 0;  // Rejected without an owner.
    int messages_ = 0;
    double mean_wait_ms_ = 0;
    double max_in_window_ = 0;
    std::vector<double> admissions_;
  };

  QuotaModel(Load load, std::uint64_t seed) : load_(std::move(load)), random_(seed) {
    hosts_.resize(static_cast<std::size_t>(load_.hosts_));
    // The hosts started ten seconds before the first request.
    hosts_[0].owned_.updated_ = Time{} + std::chrono::seconds(990);
  }

  Result Run() {
    constexpr double kStep = 0.001;
    double ideal_tokens = std::max(1.0, load_.limit_.burst_);
    std::uniform_real_distribution<double> uniform(0, 1);
    for (now_ = 0; now_ < load_.seconds_; now_ += kStep) {
      for (const auto& [at, limit] : load_.changes_) {
        if (at <= now_ && at > now_ - kStep) load_.limit_ = limit;
      }
      for (const auto& [at, host] : load_.restarts_) {
        if (at > now_ || at <= now_ - kStep) continue;
        Host& restarted = hosts_[static_cast<std::size_t>(host)];
        const Incarnation incarnation = restarted.incarnation_ + 1;
        restarted = {};
        restarted.incarnation_ = incarnation;
        restarted.quota_.must_ask_until_ = Now() + kMustAskAfterStart;
        if (host == 0) restarted.owned_.updated_ = Now();
      }
      ideal_tokens = std::min(ideal_tokens + kStep * load_.limit_.rate_per_second_,
                              std::max(1.0, load_.limit_.burst_));
      const double expected = load_.rate_(now_) * kStep;
      const int arrivals = static_cast<int>(expected) +
                           (uniform(random_) < expected - static_cast<int>(expected) ? 1 : 0);
      for (int i = 0; i < arrivals; ++i) {
        ++result_.asked_;
        if (ideal_tokens >= 1) {
          ideal_tokens -= 1;
          ++result_.ideal_;
        }
        Arrive(random_() % hosts_.size());
      }
      while (!events_.empty() && events_.begin()->first <= now_) {
        const auto event = events_.extract(events_.begin());
        event.mapped()();
      }
      for (std::size_t i = 0; i < hosts_.size(); ++i) CheckTimeout(i);
    }
    result_.mean_wait_ms_ = 1000 * waited_ / std::max(1, result_.admitted_);
    return result_;
  }

  // Returns the largest number of admissions in any window.
  static int MaxInWindow(const Result& result, double window, double from = 0) {
    std::size_t begin = 0;
    std::size_t most = 0;
    for (std::size_t end = 0; end < result.admissions_.size(); ++end) {
      while (result.admissions_[end] - result.admissions_[begin] > window) ++begin;
      if (result.admissions_[begin] >= from) most = std::max(most, end - begin + 1);
    }
    return static_cast<int>(most);
  }

 private:
  struct Host {
    HostQuota quota_;
    OwnedQuota owned_;
    std::deque<double> waiting_;  // Arrival times.
    int owner_ = 0;
    double suspected_until_[2] = {0, 0};
    int failed_owners_ = 0;
    std::map<std::size_t, double> heard_;
    Incarnation incarnation_ = 1;
  };

  Time Now() const { return Time{} + ToDuration(now_ + 1000); }
  static Duration ToDuration(double seconds) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
  }

  void Arrive(std::size_t index) {
    Host& host = hosts_[index];
    const QuotaVerdict verdict = DecideQuota(host.quota_, Now());
    if (verdict.action_ == QuotaAction::kWait) {
      host.waiting_.push_back(now_);
    } else {
      Finish(verdict, now_);
    }
    SendNext(index);
  }

  void Finish(const QuotaVerdict& verdict, double arrived) {
    if (verdict.action_ == QuotaAction::kUnknown) ++result_.unknown_;
    if (verdict.action_ != QuotaAction::kAdmit) return;
    ++result_.admitted_;
    waited_ += now_ - arrived;
    result_.admissions_.push_back(now_);
  }

  void SendNext(std::size_t index) {
    Host& host = hosts_[index];
    if (host.quota_.pending_.sequence_ != 0) return;
    const QuotaRequest request =
        NextQuotaRequest(host.quota_, "t", static_cast<int>(host.waiting_.size()), Now());
    if (request.sequence_ == 0) return;
    host.owner_ = host.suspected_until_[0] <= now_ ? 0 : 1;
    SendRequest(index);
  }

  void SendRequest(std::size_t index) {
    const int owner = hosts_[index].owner_;
    const QuotaRequest request = hosts_[index].quota_.pending_;
    const Incarnation incarnation = hosts_[index].incarnation_;
    Deliver(static_cast<int>(index), owner, [this, index, owner, request, incarnation] {
      Host& at = hosts_[static_cast<std::size_t>(owner)];
      at.heard_[index] = now_;
      const auto heard = static_cast<std::size_t>(
          std::count_if(at.heard_.begin(), at.heard_.end(),
                        [this](const auto& item) { return now_ - item.second <= 2; }));
      const bool hears_first = owner == 1 && load_.passes_(0, 1, now_) && load_.passes_(1, 0, now_);
      const double share = RefillShare({owner == 0, hears_first, heard, hosts_.size()});
      const QuotaReply reply =
          ApplyQuotaRequest(at.owned_, load_.limit_, {}, share,
                            {"host" + std::to_string(index), incarnation}, request, Now());
      Deliver(owner, static_cast<int>(index), [this, index, reply] { Receive(index, reply); });
      if (!TakeQuotaNotice(at.owned_, Now())) return;
      QuotaReply notice;
      notice.must_ask_for_ = std::chrono::milliseconds(1500);
      for (std::size_t other = 0; other < hosts_.size(); ++other) {
        Deliver(owner, static_cast<int>(other), [this, other, notice] { Receive(other, notice); });
      }
    });
  }

  void Receive(std::size_t index, const QuotaReply& reply) {
    Host& host = hosts_[index];
    if (!ApplyQuotaReply(host.quota_, reply, Now())) return;
    host.failed_owners_ = 0;
    Resolve(host);
    SendNext(index);
  }

  void Resolve(Host& host) {
    while (!host.waiting_.empty()) {
      const QuotaVerdict verdict = DecideQuota(host.quota_, Now());
      if (verdict.action_ == QuotaAction::kWait) return;
      Finish(verdict, host.waiting_.front());
      host.waiting_.pop_front();
    }
  }

  void CheckTimeout(std::size_t index) {
    Host& host = hosts_[index];
    if (host.quota_.pending_.sequence_ != 0 &&
        Now() - host.quota_.pending_since_ >= kQuotaReplyTimeout) {
      host.quota_.pending_since_ = Now();
      if (host.quota_.tries_++ == 0) return SendRequest(index);
      host.quota_.tries_ = 0;
      host.suspected_until_[host.owner_] = now_ + 1;
      AbandonQuotaRequest(host.quota_);
      if (++host.failed_owners_ >= 2) {
        host.failed_owners_ = 0;
        host.quota_.unreported_ = 0;
        std::uniform_real_distribution<double> uniform(0, 1);
        for (; !host.waiting_.empty(); host.waiting_.pop_front()) {
          Finish(DecideWithoutOwner(host.quota_, load_.limit_, {}, hosts_.size(), uniform(random_),
                                    Now()),
                 host.waiting_.front());
        }
      }
    }
    if (host.quota_.pending_.sequence_ == 0) {
      Resolve(host);
      SendNext(index);
    }
  }

  void Deliver(int from, int to, const std::function<void()>& receive) {
    ++result_.messages_;
    std::uniform_real_distribution<double> uniform(0, 1);
    if (!load_.passes_(from, to, now_) || uniform(random_) < load_.loss_) return;
    const int copies = uniform(random_) < load_.duplicates_ ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      // On the way, and until a busy host runs.
      events_.emplace(now_ + 0.0035 + 0.01 * uniform(random_), receive);
    }
  }

  Load load_;
  std::mt19937_64 random_;
  std::vector<Host> hosts_;
  std::multimap<double, std::function<void()>> events_;
  double now_ = 0;
  double waited_ = 0;
  Result result_;
};

}  // namespace monsoonshelf::gateway
