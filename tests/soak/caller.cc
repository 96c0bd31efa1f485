#include "tests/soak/caller.h"

#include <utility>

#include "base/clock.h"
#include "http/message_writer.h"

namespace monsoonshelf::soak {

namespace {

constexpr Duration kDeadline = std::chrono::milliseconds(2000);
constexpr Duration kDirectoryTimeout = std::chrono::seconds(1);
constexpr Duration kPause = std::chrono::milliseconds(40);

}  // namespace

Caller::Caller(std::string name, std::vector<std::string> directories, Ledger& ledger,
               std::uint64_t seed)
    : name_(std::move(name)),
      directories_(std::move(directories)),
      ledger_(ledger),
      random_(seed),
      timer_(g_main_context_get_thread_default(), [this] { OnTimer(); }) {
  Next(kPause);
}

Caller::~Caller() {
  if (connection_ != nullptr) connection_->Cancel();
}

void Caller::Next(Duration pause) { timer_.Set(Now() + pause); }

void Caller::OnTimer() {
  if (busy_) {
    // The deadline: the caller leaves.
    ++ledger_.lost_;
    connection_->Cancel();
    return Finish();
  }
  if (stopped_) return;
  if (Now() >= addresses_end_) return AskDirectory();
  Send();
}

void Caller::AskDirectory() {
  const std::string& address = directories_[random_() % directories_.size()];
  directory_ = std::make_unique<http::HttpClient>(*ParseAddress(address), http::StreamOptions{}, 1);
  directory_->Call("GET /v1/resolve?name=h&region=r&zone=z HTTP/1.1\r\nHost: h\r\n\r\n", true,
                   kDirectoryTimeout, [this](const http::CallResult& result) {
                     const auto json = nlohmann::json::parse(result.body_, nullptr, false);
                     if (result.status_ == 200 && json.is_object()) {
                       addresses_ = json["addresses"].get<std::vector<std::string>>();
                       addresses_end_ = Now() + std::chrono::seconds(json["ttlS"].get<int>());
                       failed_addresses_.clear();
                     }
                     Next(addresses_.empty() ? kPause * 5 : kPause);
                   });
}

void Caller::Send() {
  std::vector<std::string> usable;
  for (const std::string& address : addresses_) {
    if (!failed_addresses_.contains(address)) usable.push_back(address);
  }
  if (usable.empty()) {
    addresses_end_ = {};
    return Next(kPause);
  }
  const bool listed = std::find(usable.begin(), usable.end(), address_) != usable.end();
  if (connection_ == nullptr || !connection_->IsUsable() || !listed) {
    address_ = usable[random_() % usable.size()];
    connection_ =
        std::make_shared<http::ClientConnection>(*ParseAddress(address_), http::StreamOptions{});
  }
  const bool once = random_() % 2 == 0;
  id_ = name_ + "-" + std::to_string(++number_);
  ledger_.sent_[id_] = once;
  counted_ = recovering_;
  if (counted_) ++ledger_.late_sent_;
  const std::string body = once ? std::string(random_() % 3000, 'b') : std::string();
  const std::string path = std::string(once ? "/once/" : "/safe/") + id_;
  expected_ = "done " + path + body;
  status_ = 0;
  signed_ = false;
  body_.clear();
  busy_ = true;
  connection_->SendRequest(
      http::FormatRequest(once ? "POST" : "GET", path,
                          {{"Host", "h"},
                           {"Attempt-Id", id_},
                           {"Deadline-Ms", std::to_string(kDeadline.count() / 1000)}},
                          body),
      false, *this);
  timer_.Set(Now() + kDeadline);
}

bool Caller::OnHead(http::ResponseHead& head) {
  status_ = head.status_;
  signed_ = http::FindHeader(head.headers_, "Server-Signature") != nullptr;
  const std::string* id = http::FindHeader(head.headers_, "Attempt-Id");
  if (id != nullptr && *id != id_) {
    ledger_.violations_.push_back("answer of " + *id + " to " + id_);
  }
  return true;
}

void Caller::OnBody(std::string& body) {
  body_ += body;
  body.clear();
}

void Caller::OnDone() {
  if (status_ == 200) {
    if (!signed_ || body_ != expected_) ledger_.violations_.push_back("wrong answer to " + id_);
    ++ledger_.answered_;
    if (counted_) ++ledger_.late_answered_;
  } else if (status_ == 503 || status_ == 429 || status_ == 408) {
    ledger_.refused_.push_back(id_);
  } else if (status_ >= 500) {
    ++ledger_.unknown_;
  } else {
    ledger_.violations_.push_back("status " + std::to_string(status_) + " for " + id_);
  }
  Finish();
}

void Caller::OnFailed(http::Failure /*failure*/, bool /*sent*/) {
  ++ledger_.lost_;
  failed_addresses_.insert(address_);
  Finish();
}

void Caller::Finish() {
  busy_ = false;
  Next(kPause);
}

}  // namespace monsoonshelf::soak
