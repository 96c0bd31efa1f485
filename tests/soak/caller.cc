#include "tests/soak/caller.h"

#include <algorithm>
#include <utility>

#include "base/clock.h"
#include "http/message_writer.h"

namespace monsoonshelf::soak {

namespace {

constexpr Duration kDeadline = std::chrono::milliseconds(2000);
constexpr Duration kDirectoryTimeout = std::chrono::seconds(1);
constexpr Duration kRequestInterval = std::chrono::milliseconds(40);
// The gateway streams responses above 1 MiB.
constexpr std::uint64_t kMaxQuickBytes = 3'000'000;

}  // namespace

Caller::Caller(std::string name, std::vector<std::string> directories, SoakResults& results,
               std::uint64_t seed)
    : name_(std::move(name)),
      directories_(std::move(directories)),
      results_(results),
      random_(seed),
      timer_(g_main_context_get_thread_default(), [this] { OnTimer(); }) {
  ScheduleNext(kRequestInterval);
}

Caller::~Caller() {
  if (connection_ != nullptr) connection_->Cancel();
}

void Caller::ScheduleNext(Duration pause) { timer_.Set(Now() + pause); }

void Caller::OnTimer() {
  if (request_in_progress_) {
    // The deadline has passed: the caller closes the connection.
    if (results_.stalled_ != stalled_before_) {
      const Duration stalled =
          results_.stalled_ - std::exchange(stalled_before_, results_.stalled_);
      return timer_.Set(Now() + stalled);
    }
    ++results_.without_response_;
    request_.gave_up_ = true;
    AddLostRequest(http::Failure::kNone);
    connection_->Cancel();
    return Finish();
  }
  if (stopped_) return;
  if (Now() >= addresses_expire_at_) return QueryDirectory();
  Send();
}

void Caller::QueryDirectory() {
  const std::string& address = directories_[random_() % directories_.size()];
  directory_client_ =
      std::make_unique<http::HttpClient>(*ParseAddress(address), http::StreamOptions{}, 1);
  directory_client_->Call(
      "GET /v1/resolve?name=h&region=r&zone=z HTTP/1.1\r\nHost: h\r\n\r\n", true, kDirectoryTimeout,
      [this](const http::CallResult& result) {
        const auto json = nlohmann::json::parse(result.body_, nullptr, false);
        if (result.status_ == 200 && json.is_object()) {
          addresses_ = json["addresses"].get<std::vector<std::string>>();
          addresses_expire_at_ = Now() + std::chrono::seconds(json["ttlS"].get<int>());
          failed_addresses_.clear();
        }
        ScheduleNext(addresses_.empty() ? kRequestInterval * 5 : kRequestInterval);
      });
}

void Caller::Send() {
  std::vector<std::string> usable;
  for (const std::string& address : addresses_) {
    if (!failed_addresses_.contains(address)) usable.push_back(address);
  }
  if (usable.empty()) {
    addresses_expire_at_ = {};
    return ScheduleNext(kRequestInterval);
  }
  const bool listed = std::find(usable.begin(), usable.end(), address_) != usable.end();
  if (connection_ == nullptr || !connection_->IsUsable() || !listed) {
    address_ = usable[random_() % usable.size()];
    connection_ =
        std::make_shared<http::ClientConnection>(*ParseAddress(address_), http::StreamOptions{});
  }
  const bool non_idempotent = random_() % 2 == 0;
  id_ = name_ + "-" + std::to_string(++number_);
  results_.sent_[id_] = {non_idempotent, address_, Now()};
  counts_for_recovery_ = counting_recovery_;
  if (counts_for_recovery_) ++results_.sent_after_recovery_;
  const std::string body = non_idempotent ? std::string(random_() % 3000, 'b') : std::string();
  std::string path = std::string(non_idempotent ? "/once/" : "/safe/") + id_;
  if (random_() % 40 == 0) path += "/large-" + std::to_string(random_() % kMaxQuickBytes);
  expected_body_ = ExpectedBody(path, body);
  request_ = {id_, address_, {}, Now(), Now()};
  status_ = 0;
  has_signature_ = false;
  body_.clear();
  request_in_progress_ = true;
  stalled_before_ = results_.stalled_;
  connection_->SendRequest(
      http::FormatRequest(non_idempotent ? "POST" : "GET", path,
                          {{"Host", "h"},
                           {"Attempt-Id", id_},
                           {"Deadline-Ms", std::to_string(kDeadline.count() / 1000)}},
                          body),
      false, *this);
  timer_.Set(Now() + kDeadline);
}

bool Caller::OnHead(http::ResponseHead& head) {
  status_ = head.status_;
  has_signature_ = http::FindHeader(head.headers_, "Server-Signature") != nullptr;
  const std::string* id = http::FindHeader(head.headers_, "Attempt-Id");
  if (id != nullptr && *id != id_) {
    results_.violations_.push_back("response to " + *id + " received for " + id_);
  }
  return true;
}

void Caller::OnBody(std::string& body) {
  body_ += body;
  body.clear();
}

void Caller::OnDone() {
  if (status_ == 200) {
    if (!has_signature_ || body_ != expected_body_)
      results_.violations_.push_back("wrong body or missing signature in the response to " + id_);
    ++results_.answered_;
    results_.OnNoticeReceived(id_);
    if (counts_for_recovery_) ++results_.answered_after_recovery_;
  } else if (status_ == 503 || status_ == 429 || status_ == 408) {
    results_.refused_.push_back(id_);
  } else if (status_ >= 500) {
    ++results_.unknown_;
    if (!has_signature_) AddLostRequest(http::Failure::kNone);
  } else {
    results_.violations_.push_back("unexpected status " + std::to_string(status_) + " for " + id_);
  }
  Finish();
}

void Caller::OnFailed(http::Failure failure, bool sent) {
  ++results_.without_response_;
  if (sent) AddLostRequest(failure);
  failed_addresses_.insert(address_);
  Finish();
}

void Caller::AddLostRequest(http::Failure failure) {
  request_.failure_ = failure;
  request_.ended_ = Now();
  request_.ended_after_ = results_.last_poll_;
  request_.description_ = "status " + std::to_string(status_) + ", " +
                          std::to_string(body_.size()) + " of " +
                          std::to_string(expected_body_.size()) + " bytes received";
  results_.lost_.push_back(request_);
}

void Caller::Finish() {
  request_in_progress_ = false;
  ScheduleNext(kRequestInterval);
}

}  // namespace monsoonshelf::soak
