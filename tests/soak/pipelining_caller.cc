#include "tests/soak/pipelining_caller.h"

#include <utility>

#include "base/clock.h"
#include "http/message_parser.h"
#include "http/message_writer.h"

namespace monsoonshelf::soak {

namespace {

constexpr Duration kBurstInterval = std::chrono::milliseconds(250);
constexpr Duration kDeadline = std::chrono::milliseconds(2000);
// Responses to requests that wait for their turn may come later than the deadline.
constexpr Duration kGiveUpTime = std::chrono::seconds(6);
constexpr std::size_t kMaxBurst = 5;
// The gateway streams responses above 1 MiB.
constexpr std::uint64_t kMaxLargeResponse = 2'000'000;

}  // namespace

PipeliningCaller::PipeliningCaller(std::string name, const Host& host, SoakResults& results,
                                   std::uint64_t seed)
    : name_(std::move(name)),
      host_(host),
      results_(results),
      random_(seed),
      timer_(g_main_context_get_thread_default(), [this] { OnTimer(); }) {
  timer_.Set(Now() + kBurstInterval);
}

PipeliningCaller::~PipeliningCaller() = default;

void PipeliningCaller::OnTimer() {
  timer_.Set(Now() + kBurstInterval);
  if (waiting_.empty()) {
    if (!stopped_) SendBurst();
    return;
  }
  const Duration stalled = results_.stalled_ - stalled_before_;
  if (Now() - burst_at_ > kGiveUpTime + stalled) Close(http::Failure::kNone, true);
}

void PipeliningCaller::SendBurst() {
  if (stream_ == nullptr) {
    stream_ = http::Stream::Connect(*ParseAddress(host_.FrontAddress()), *this, {});
  }
  burst_at_ = Now();
  stalled_before_ = results_.stalled_;
  std::string bytes;
  for (std::size_t count = 2 + random_() % (kMaxBurst - 1); count > 0; --count) {
    bytes += MakeRequest();
  }
  stream_->Write(bytes);
}

std::string PipeliningCaller::MakeRequest() {
  const bool non_idempotent = random_() % 5 == 0;
  const std::string id = name_ + "-" + std::to_string(++number_);
  const std::string body = non_idempotent ? "body" : "";
  std::string path = std::string(non_idempotent ? "/once/" : "/safe/") + id;
  if (random_() % 30 == 0) path += "/large-" + std::to_string(random_() % kMaxLargeResponse);
  const Time now = Now();
  results_.sent_[id] = {non_idempotent, host_.FrontAddress(), now};
  waiting_.push_back({{id, host_.FrontAddress(), {}, now, now}, ExpectedBody(path, body)});
  return http::FormatRequest(non_idempotent ? "POST" : "GET", path,
                             {{"Host", "h"},
                              {"Attempt-Id", id},
                              {"Deadline-Ms", std::to_string(kDeadline.count() / 1000)}},
                             body);
}

void PipeliningCaller::OnDataReceived() {
  std::string& input = stream_->InputBuffer();
  while (!input.empty()) {
    if (waiting_.empty()) {
      results_.violations_.push_back("bytes without a request at " + name_);
      return Close(http::Failure::kNone, true);
    }
    if (parser_ == nullptr) parser_ = std::make_unique<http::ResponseParser>(false);
    input.erase(0, parser_->Feed(input));
    if (parser_->Error() != http::ParseError::kNone) {
      results_.violations_.push_back("malformed response at " + name_);
      return Close(http::Failure::kMalformed, false);
    }
    if (!parser_->IsDone()) return;
    const auto parser = std::move(parser_);
    OnResponse(parser->Head(), parser->Body());
    if (stream_ == nullptr) return;
  }
}

void PipeliningCaller::OnResponse(const http::ResponseHead& head, const std::string& body) {
  const Request request = std::move(waiting_.front());
  waiting_.pop_front();
  const std::string& id = request.sent_.id_;
  const std::string* response_id = http::FindHeader(head.headers_, "Attempt-Id");
  const bool has_signature = http::FindHeader(head.headers_, "Server-Signature") != nullptr;
  if (response_id != nullptr && *response_id != id) {
    results_.violations_.push_back("response to " + *response_id + " received in the turn of " +
                                   id);
  }
  if (head.status_ == 200) {
    if (!has_signature || body != request.expected_body_) {
      results_.violations_.push_back("wrong body or missing signature in the response to " + id);
    }
    ++results_.answered_;
    results_.OnNoticeReceived(id);
  } else if (head.status_ == 503 || head.status_ == 429 || head.status_ == 408) {
    results_.refused_.push_back(id);
  } else if (head.status_ >= 500) {
    ++results_.unknown_;
  } else {
    results_.violations_.push_back("unexpected status " + std::to_string(head.status_) + " for " +
                                   id);
  }
  if (waiting_.empty() && !head.keep_alive_) stream_.reset();
}

void PipeliningCaller::Close(http::Failure failure, bool gave_up) {
  // A response that its target broke off ends the connection, and with it the requests behind.
  const bool broken_off = parser_ != nullptr && parser_->HasHead();
  for (Request& request : waiting_) {
    ++results_.without_response_;
    // A request behind others that no target got counts as not read; the caller may repeat it.
    if (!results_.work_.contains(request.sent_.id_)) continue;
    if (broken_off && &request != &waiting_.front()) continue;
    request.sent_.failure_ = failure;
    request.sent_.gave_up_ = gave_up;
    request.sent_.ended_ = Now();
    request.sent_.ended_after_ = results_.last_poll_;
    request.sent_.description_ = "sent with others at once";
    results_.lost_.push_back(request.sent_);
  }
  waiting_.clear();
  parser_.reset();
  stream_.reset();
}

}  // namespace monsoonshelf::soak
