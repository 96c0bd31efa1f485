#pragma once

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "gateway/rollout.h"

namespace monsoonshelf::gateway {

// Simulates the hosts, targets and the deciding host of one roll-out on a virtual clock. Requests
// arrive at random hosts; reports and replies are lost at random.
class RolloutModel {
 public:
  struct Request {
    double at_ = 0;
    bool is_new_ = false;
    int target_ = 0;   // Of its version.
    int running_ = 0;  // Requests at the target, with this one.
    int route_ = 0;
  };
  struct Effect {
    double failures_ = 0.005;
    double factor_ = 1;  // Of the response time.
  };
  struct Load {
    int hosts_ = 133;
    double rate_ = 210;  // Requests per second of the service.
    double seconds_ = 60;
    int targets_ = 70;  // Of each version.
    int routes_ = 4;
    double loss_ = 0.02;
    std::function<Effect(const Request&)> effect_ = [](const Request&) { return Effect{}; };
    std::function<double(double)> rate_factor_ = [](double) { return 1.0; };
  };
  struct Result {
    int requests_ = 0;
    int exposed_ = 0;
    int bad_ = 0;   // Bad responses of the new version beyond those of a good one.
    int late_ = 0;  // Sent later than 5 s after the 50th bad response.
    double condemned_at_ = -1;
    int bad_until_condemned_ = 0;
    std::string fault_;
  };

  RolloutModel(Load load, std::uint64_t seed) : load_(std::move(load)), random_(seed) {}

  Result Run() {
    std::vector<ExposureCandidate> candidates;
    candidates.reserve(static_cast<std::size_t>(load_.targets_));
    for (int i = 0; i < load_.targets_; ++i) {
      candidates.push_back({std::to_string(i), std::string(1, static_cast<char>('a' + i % 3))});
    }
    exposed_targets_ = SelectExposedTargets("s", candidates);
    hosts_.resize(load_.hosts_);
    for (Host& host : hosts_) {
      host.credit_ = Uniform();
      host.report_at_ = Uniform() * 0.5;
    }
    constexpr double kStep = 0.01;
    for (double now = 0; now < load_.seconds_; now += kStep) {
      const double mean = load_.rate_ * load_.rate_factor_(now) * kStep;
      const int arrivals = std::poisson_distribution<int>(mean)(random_);
      for (int i = 0; i < arrivals; ++i) Send(now);
      EndResponses(now);
      for (std::size_t i = 0; i < hosts_.size(); ++i) ExchangeReport(i, now);
      if (now >= decide_at_) Decide(now);
    }
    return result_;
  }

 private:
  struct Host {
    double credit_ = 0;
    double report_at_ = 0;
    Time confirmed_at_{};
    RolloutReport report_;
  };
  struct Response {
    double at_;
    double took_;
    std::size_t host_;
    Request request_;
    bool is_failure_;
    bool is_bad_;
    bool operator<(const Response& other) const { return at_ > other.at_; }
  };

  static Time At(double seconds) {
    return Time{} + std::chrono::microseconds(static_cast<std::int64_t>((seconds + 100) * 1e6));
  }
  double Uniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  void Send(double now) {
    const auto index = static_cast<std::size_t>(Uniform() * load_.hosts_);
    Host& host = hosts_[index];
    ++result_.requests_;
    Request request{now, false, 0, 0, static_cast<int>(Uniform() * load_.routes_)};
    request.is_new_ = host.report_.notice_ == RolloutNotice::kGoOn &&
                      MayExpose(host.confirmed_at_, At(now)) &&
                      TakeExposure(host.credit_, ExposedShare({}));
    request.target_ = request.is_new_
                          ? std::stoi(exposed_targets_[static_cast<std::size_t>(
                                Uniform() * static_cast<double>(exposed_targets_.size()))])
                          : static_cast<int>(Uniform() * load_.targets_);
    request.running_ = ++running_[{request.is_new_, request.target_}];
    if (request.is_new_) {
      ++result_.exposed_;
      if (fiftieth_bad_at_ >= 0 && now > fiftieth_bad_at_ + 5) ++result_.late_;
    }
    const Effect effect = load_.effect_(request);
    const double took = std::lognormal_distribution<double>(std::log(0.15), 0.35)(random_);
    const bool is_failure = Uniform() < effect.failures_;
    const bool is_bad = request.is_new_ && (is_failure || effect.factor_ > 2);
    responses_.push(
        {now + took * effect.factor_, took * effect.factor_, index, request, is_failure, is_bad});
  }

  void EndResponses(double now) {
    while (!responses_.empty() && responses_.top().at_ <= now) {
      const Response response = responses_.top();
      responses_.pop();
      --running_[{response.request_.is_new_, response.request_.target_}];
      RouteCounts& counts =
          hosts_[response.host_].report_.counts_[std::to_string(response.request_.route_)];
      AddResponse(response.request_.is_new_ ? counts.new_[std::to_string(response.request_.target_)]
                                            : counts.old_,
                  response.is_failure_,
                  std::chrono::microseconds(static_cast<std::int64_t>(response.took_ * 1e6)));
      if (response.is_bad_ && ++result_.bad_ == 50) fiftieth_bad_at_ = now;
    }
  }

  void ExchangeReport(std::size_t index, double now) {
    Host& host = hosts_[index];
    if (now < host.report_at_) return;
    host.report_at_ += 0.5;
    if (Uniform() < load_.loss_) return;
    ApplyReport(tally_, std::to_string(index), host.report_, At(now));
    if (Uniform() < load_.loss_) return;
    host.report_.notice_ = std::max(host.report_.notice_, notice_);
    host.confirmed_at_ = At(now);
  }

  void Decide(double now) {
    decide_at_ = now + 0.25;
    if (notice_ == RolloutNotice::kCondemned) return;
    result_.fault_ = FindFault(tally_, At(now));
    if (result_.fault_.empty()) return;
    notice_ = RolloutNotice::kCondemned;
    result_.condemned_at_ = now;
    result_.bad_until_condemned_ = result_.bad_;
  }

  Load load_;
  Random random_;
  Result result_;
  std::vector<TargetId> exposed_targets_;
  std::vector<Host> hosts_;
  std::map<std::pair<bool, int>, int> running_;
  std::priority_queue<Response> responses_;
  RolloutTally tally_;
  RolloutNotice notice_ = RolloutNotice::kGoOn;
  double decide_at_ = 0;
  double fiftieth_bad_at_ = -1;
};

}  // namespace monsoonshelf::gateway
