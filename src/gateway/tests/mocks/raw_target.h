#pragma once

#include <functional>
#include <string>

#include "http/tests/mocks/raw_peer.h"

namespace monsoonshelf::gateway::tests {

// A target that answers probes and sends raw bytes as the response to a request.
class RawTarget {
 public:
  using Connection = http::tests::RawPeer::Connection;

  explicit RawTarget(std::string name) : name_(std::move(name)) {
    peer_.on_bytes_ = [this](Connection& connection) { OnBytes(connection); };
  }

  std::string GetAddress() const { return FormatAddress(peer_.GetAddress()); }

  // Returns the head of a signed success that answers the last request, followed by `headers`.
  std::string SignedHead(const std::string& headers) const {
    return "HTTP/1.1 200 OK\r\nId: " + last_id_ + "\r\nSigned: yes\r\n" + headers + "\r\n";
  }

  // Writes `block` to the connection of the last request if it has sent everything before.
  void SendMore(const std::string& block) {
    if (IsRequestOpen() && request_->stream_->UnsentBytes() == 0) request_->Write(block);
  }
  // Returns whether the connection of the last request is open.
  bool IsRequestOpen() const { return request_ != nullptr && !request_->closed_; }
  bool HasUnsentBytes() const { return request_->stream_->UnsentBytes() > 0; }
  std::uint64_t BytesSent() const {
    return request_ != nullptr ? request_->stream_->BytesSent() : 0;
  }

  std::string name_;
  int requests_received_ = 0;
  int probes_received_ = 0;
  Connection* request_ = nullptr;  // The connection of the last request.
  std::string last_id_;
  // Writes the first bytes of the response to a request.
  std::function<void(Connection&)> on_request_;
  // Writes the response to a probe instead of a valid one.
  std::function<void(Connection&)> on_probe_;

 private:
  void OnBytes(Connection& connection) {
    const std::size_t end = connection.received_.find("\r\n\r\n");
    if (end == std::string::npos) return;
    const std::string text = std::move(connection.received_);
    connection.received_.clear();
    if (text.starts_with("GET /health")) {
      ++probes_received_;
      if (on_probe_) return on_probe_(connection);
      return connection.Write("HTTP/1.1 200 OK\r\nTarget: " + name_ +
                              "\r\nRunning: 0\r\nContent-Length: 0\r\n\r\n");
    }
    ++requests_received_;
    request_ = &connection;
    const std::size_t id = text.find("Id: ");
    last_id_ = text.substr(id + 4, text.find('\r', id) - id - 4);
    if (on_request_) on_request_(connection);
  }

  http::tests::RawPeer peer_;
};

}  // namespace monsoonshelf::gateway::tests
