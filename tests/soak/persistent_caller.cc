#include "tests/soak/persistent_caller.h"

#include <sys/socket.h>

#include <algorithm>
#include <limits>
#include <utility>

#include "base/clock.h"
#include "http/message_parser.h"
#include "http/message_writer.h"
#include "http/socket_address.h"
#include "http/stream.h"

namespace monsoonshelf::soak {

namespace {

using std::chrono::milliseconds;

constexpr Duration kTimerInterval = milliseconds(5);
// Above the route timeout of 1.5 s and the time of a slow reader.
constexpr Duration kGiveUpTime = milliseconds(5000);
constexpr int kDeadlineMs = 2000;
constexpr Duration kReconnectInterval = milliseconds(30);
// Socket buffer of a slow reader, and the time in which it reads a response.
constexpr int kSmallBufferBytes = 64 * 1024;
constexpr int kSlowReadMs = 1000;
// Sizes of large responses. The gateway streams responses above 1 MiB. The socket of the gateway
// takes about 2.6 MB on loopback, so only larger ones stay in the buffer of the process.
constexpr int kMinLargeBytes = 100'000;
constexpr int kMinUnsentBytes = 3'000'000;

int OpenSocket(const std::string& address, bool small_buffer) {
  const http::SocketAddress peer = http::ToSocketAddress(*ParseAddress(address));
  const int descriptor = socket(peer.Family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (small_buffer) {
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &kSmallBufferBytes, sizeof(kSmallBufferBytes));
  }
  // The result is reported by the stream.
  (void)connect(descriptor, peer.Get(), peer.length_);
  return descriptor;
}

}  // namespace

class PersistentCaller::Connection : private http::IStreamHandler {
 public:
  explicit Connection(PersistentCaller& caller) : caller_(caller) { PlanSend(Now(), 0, 1000); }

  // Plans the next request at a random time between two times after `time`, in milliseconds.
  void PlanSend(Time time, int first_ms, int last_ms) {
    send_at_ = time + milliseconds(Random(first_ms, last_ms));
  }

  bool IsBusy() const { return busy_; }

  void Advance(Time now) {
    if (busy_) return AdvanceRequest(now);
    if (now < send_at_ || caller_.stopped_) return;
    if (stream_ == nullptr) {
      small_buffer_ = Random(0, 2) == 0;
      stream_ =
          http::Stream::Adopt(OpenSocket(caller_.host_.FrontAddress(), small_buffer_), *this, {});
      // Some connections wait before their first request.
      if (Random(0, 2) == 0) return PlanSend(now, 10, 300);
    }
    Send(now);
  }

 private:
  int Random(int first, int last) {
    return std::uniform_int_distribution<int>(first, last)(caller_.random_);
  }

  void Send(Time now) {
    const bool non_idempotent = Random(0, 1) == 0;
    const bool large = small_buffer_ || Random(0, 7) == 0;
    const std::string id = caller_.name_ + "-" + std::to_string(++caller_.number_);
    std::string path = std::string(non_idempotent ? "/once/" : "/safe/") + id;
    const int bytes = Random(Random(0, 2) == 0 ? kMinLargeBytes : kMinUnsentBytes, kMaxLargeBytes);
    if (large) path += "/large-" + std::to_string(bytes);
    pause_ = milliseconds(kSlowReadMs) / (1 + bytes / kSmallBufferBytes);
    const std::string body(non_idempotent ? static_cast<std::size_t>(Random(0, 3000)) : 0, 'b');
    const std::string request = http::FormatRequest(
        non_idempotent ? "POST" : "GET", path,
        {{"Host", "h"}, {"Attempt-Id", id}, {"Deadline-Ms", std::to_string(kDeadlineMs)}}, body);
    caller_.results_.sent_[id] = {non_idempotent, caller_.host_.FrontAddress(), now};
    expected_body_ = ExpectedBody(path, body);
    parser_ = std::make_unique<http::ResponseParser>(false);
    body_.clear();
    busy_ = true;
    give_up_at_ = now + kGiveUpTime;
    stalled_before_ = caller_.results_.stalled_;
    abandon_after_ = Random(0, 9) == 0 ? static_cast<std::size_t>(Random(1, bytes))
                                       : std::numeric_limits<std::size_t>::max();
    bytes_sent_before_ = stream_->BytesSent();
    const bool in_parts = Random(0, 3) == 0;
    const auto size = static_cast<int>(request.size());
    const auto first = static_cast<std::size_t>(in_parts ? Random(1, size - 1) : size);
    rest_ = request.substr(first);
    rest_at_ = now + milliseconds(Random(5, 400));
    request_ = {id, caller_.host_.FrontAddress(), {}, now, now};
    stream_->Write(std::string_view(request).substr(0, first));
  }

  void AdvanceRequest(Time now) {
    if (!rest_.empty() && now >= rest_at_) {
      request_.last_byte_sent_ = now;
      stream_->Write(std::exchange(rest_, {}));
    }
    if (reading_paused_ && now >= resume_at_) {
      reading_paused_ = false;
      stream_->PauseReading(false);
    }
    if (now < give_up_at_ + (caller_.results_.stalled_ - stalled_before_)) return;
    request_.gave_up_ = true;
    EndWithoutResponse(http::Failure::kNone);
  }

  void OnConnected() override {}
  void OnOutputFlushed() override {}

  void OnDataReceived() override {
    if (!busy_) {
      caller_.results_.violations_.push_back("bytes without a request at " + caller_.name_);
      stream_.reset();
      return;
    }
    std::string& input = stream_->InputBuffer();
    input.erase(0, parser_->Feed(input));
    body_ += std::exchange(parser_->Body(), {});
    if (parser_->Error() != http::ParseError::kNone) {
      caller_.results_.violations_.push_back("malformed response to " + request_.id_);
      return EndWithoutResponse(http::Failure::kMalformed);
    }
    if (parser_->IsDone()) return FinishResponse();
    if (body_.size() >= abandon_after_) return Abandon();
    // The time is limited, also if the soak runs late.
    if (!small_buffer_ || Now() > request_.last_byte_sent_ + 2 * milliseconds(kSlowReadMs)) return;
    reading_paused_ = true;
    resume_at_ = Now() + pause_;
    stream_->PauseReading(true);
  }

  void Abandon() {
    ++caller_.results_.abandoned_;
    busy_ = false;
    reading_paused_ = false;
    stream_.reset();
    PlanSend(Now(), 50, 1500);
  }

  void FinishResponse() {
    SoakResults& results = caller_.results_;
    const http::ResponseHead& head = parser_->Head();
    const bool has_signature = http::FindHeader(head.headers_, "Server-Signature") != nullptr;
    const std::string* id = http::FindHeader(head.headers_, "Attempt-Id");
    if (id == nullptr || *id != request_.id_)
      results.violations_.push_back("wrong Attempt-Id in the response to " + request_.id_);
    if (head.status_ == 200) {
      ++results.answered_;
      if (!has_signature || body_ != expected_body_)
        results.violations_.push_back(DescribeWrongResponse(has_signature));
    } else if (head.status_ == 503 || head.status_ == 429 || head.status_ == 408) {
      results.refused_.push_back(request_.id_);
    } else if (head.status_ < 500) {
      results.violations_.push_back("unexpected status " + std::to_string(head.status_) + " for " +
                                    request_.id_);
    } else {
      ++results.unknown_;
      if (!has_signature) AddLostRequest("status " + std::to_string(head.status_));
    }
    busy_ = false;
    reading_paused_ = false;
    // The rest of a request that was rejected early must not follow.
    if (!head.keep_alive_ || !rest_.empty()) {
      stream_.reset();
    } else {
      stream_->PauseReading(false);
    }
    PlanSend(Now(), 50, 1500);
  }

  std::string DescribeWrongResponse(bool has_signature) const {
    const auto difference =
        std::mismatch(body_.begin(), body_.end(), expected_body_.begin(), expected_body_.end());
    return "wrong body for " + request_.id_ + " at " + request_.address_ + ", " +
           std::to_string(body_.size()) + " of " + std::to_string(expected_body_.size()) +
           " bytes, first difference at " + std::to_string(difference.first - body_.begin()) +
           (has_signature ? "" : ", no signature");
  }

  void OnClosed(http::Failure failure) override {
    if (busy_) return EndWithoutResponse(failure);
    stream_.reset();
  }

  void EndWithoutResponse(http::Failure failure) {
    // A refused connection has sent nothing.
    request_.failure_ = failure;
    if (stream_->BytesSent() > bytes_sent_before_) {
      AddLostRequest((rest_.empty() ? "" : "first part only, ") + std::to_string(body_.size()) +
                     " of " + std::to_string(expected_body_.size()) + " bytes received");
    }
    ++caller_.results_.without_response_;
    busy_ = false;
    reading_paused_ = false;
    stream_.reset();
    send_at_ = Now() + kReconnectInterval;
  }

  void AddLostRequest(const std::string& description) {
    request_.description_ = description;
    request_.ended_ = Now();
    request_.ended_after_ = caller_.results_.last_poll_;
    caller_.results_.lost_.push_back(request_);
  }

  PersistentCaller& caller_;
  std::unique_ptr<http::Stream> stream_;
  std::unique_ptr<http::ResponseParser> parser_;
  LostRequest request_;  // The current request, in case it gets lost.
  std::string rest_;     // Part of the request that is sent at rest_at_.
  std::string expected_body_;
  std::string body_;
  std::uint64_t bytes_sent_before_ = 0;
  std::size_t abandon_after_ = 0;  // Bytes after which the caller closes the connection.
  Duration stalled_before_{};
  Duration pause_{};
  Time send_at_{};
  Time rest_at_{};
  Time resume_at_{};
  Time give_up_at_{};
  bool small_buffer_ = false;
  bool busy_ = false;
  bool reading_paused_ = false;
};

PersistentCaller::PersistentCaller(const std::string& name, const Host& host, int connections,
                                   SoakResults& results, std::uint64_t seed)
    : name_(name),
      host_(host),
      results_(results),
      random_(seed),
      timer_(g_main_context_get_thread_default(), [this] { OnTimer(); }) {
  for (int i = 0; i < connections; ++i) {
    connections_.push_back(std::make_unique<Connection>(*this));
  }
  timer_.Set(Now() + kTimerInterval);
}

PersistentCaller::~PersistentCaller() = default;

void PersistentCaller::OnTimer() {
  const Time now = Now();
  const std::vector<Time>& signals = host_.Stops().signals_;
  if (planned_stop_ != signals.size()) {
    planned_stop_ = signals.size();
    // The end of the last stop is the best guess for this one. A third of the connections keep
    // their plan, and the others stay idle until the stop is near its end.
    const Time end = signals.back() + host_.LastStopDuration();
    for (const auto& connection : connections_) {
      const auto choice = random_() % 3;
      if (choice == 1) connection->PlanSend(end, -1200, 0);
      if (choice == 2) connection->PlanSend(end, -60, 60);
    }
  }
  for (const auto& connection : connections_) connection->Advance(now);
  timer_.Set(now + kTimerInterval);
}

}  // namespace monsoonshelf::soak
