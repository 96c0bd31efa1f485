#pragma once

#include <string>

#include "gateway/icall_format.h"
#include "http/message_writer.h"

namespace monsoonshelf::gateway::tests {

// Minimal call format that transfers all data the gateway needs.
class FakeFormat : public ICallFormat {
 public:
  CallInfo ReadCallInfo(const http::RequestHead& head) const override {
    CallInfo info;
    if (const auto* id = http::FindHeader(head.headers_, "Id")) info.id_ = *id;
    if (const auto* left = http::FindHeader(head.headers_, "Left-Ms")) {
      info.time_left_ = std::chrono::milliseconds(std::stoi(*left));
    }
    if (const auto* key = http::FindHeader(head.headers_, "Key")) {
      info.credential_ = {Credential::Kind::kKey, DigestKey(*key)};
    }
    return info;
  }
  std::string FormatTargetRequest(const http::RequestHead& head, std::string_view body,
                                  const TargetId& target, Duration time_left,
                                  const TargetCredentials& credentials) const override {
    http::Headers headers = head.headers_;
    http::RemoveConnectionHeaders(headers);
    http::RemoveHeader(headers, "Content-Length");
    http::RemoveHeader(headers, "Left-Ms");
    headers.emplace_back("Left-Ms", std::to_string(time_left.count() / 1000));
    headers.emplace_back("Target", target);
    if (credentials.replaces_key_) {
      http::RemoveHeader(headers, "Key");
      http::RemoveHeader(headers, "Team");
      if (!credentials.team_.empty()) headers.emplace_back("Team", credentials.team_);
    }
    return http::FormatRequest(head.method_, head.target_, headers, body);
  }
  TargetResponseInfo ReadTargetResponse(const http::ResponseHead& head) const override {
    TargetResponseInfo answer;
    if (const auto* id = http::FindHeader(head.headers_, "Id")) answer.call_id_ = *id;
    answer.is_signed_ = http::FindHeader(head.headers_, "Signed") != nullptr;
    answer.not_run_ = http::FindHeader(head.headers_, "Not-Run") != nullptr;
    answer.misdirected_ = head.status_ == 421;
    answer.notice_ = ReadNotice(head);
    answer.is_encoded_ = http::FindHeader(head.headers_, "Content-Encoding") != nullptr;
    return answer;
  }
  http::Headers HeadersForCaller(const http::ResponseHead& head) const override {
    http::Headers headers = head.headers_;
    http::RemoveConnectionHeaders(headers);
    http::RemoveHeader(headers, "Content-Length");
    return headers;
  }
  http::Headers HeadersForLocalResponse(const std::string& call_id) const override {
    return {{"Id", call_id}};
  }
  std::string FormatProbeRequest(const std::string& address,
                                 const std::string& path) const override {
    return http::FormatRequest("GET", path, {{"Host", address}}, {});
  }
  ProbeResult ReadProbeResponse(const http::ResponseHead& head) const override {
    ProbeResult answer;
    answer.healthy_ = head.status_ == 200;
    if (const auto* id = http::FindHeader(head.headers_, "Id")) answer.call_id_ = *id;
    if (const auto* target = http::FindHeader(head.headers_, "Target")) answer.target_ = *target;
    if (const auto* running = http::FindHeader(head.headers_, "Running")) {
      answer.load_ = TargetLoad{std::stoi(*running), 0, 2, 100};
    }
    answer.notice_ = ReadNotice(head);
    if (const auto* cold = http::FindHeader(head.headers_, "Cold-Ms")) {
      answer.remaining_cold_time_ = std::chrono::milliseconds(std::stoi(*cold));
    }
    return answer;
  }
  bool IsReadinessQuery(const http::RequestHead& head) const override {
    return head.target_ == "/ready";
  }
  std::optional<DirectoryQuery> ReadDirectoryQuery(const http::RequestHead& head) const override {
    if (head.target_ != "/directory") return std::nullopt;
    return DirectoryQuery{};
  }
  std::string FormatDirectoryResponse(const std::vector<std::string>& addresses,
                                      Duration /*time_to_live*/) const override {
    std::string text;
    for (const std::string& address : addresses) text += address + " ";
    return text;
  }

 private:
  static TargetNotice ReadNotice(const http::ResponseHead& head) {
    TargetNotice notice;
    notice.leaving_ = http::FindHeader(head.headers_, "Leaving") != nullptr;
    if (const auto* pause = http::FindHeader(head.headers_, "Pause-Ms")) {
      notice.pause_ = std::chrono::milliseconds(std::stoi(*pause));
    }
    return notice;
  }
};

}  // namespace monsoonshelf::gateway::tests
