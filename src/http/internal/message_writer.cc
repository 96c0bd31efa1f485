#include "http/message_writer.h"

#include <array>
#include <cstdio>

namespace monsoonshelf::http {

namespace {

void AppendHeaders(std::string& text, const Headers& headers) {
  for (const auto& [name, value] : headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
}

std::string StatusLine(int status) {
  return "HTTP/1.1 " + std::to_string(status) + " " + std::string(ReasonPhrase(status)) + "\r\n";
}

}  // namespace

std::string_view ReasonPhrase(int status) {
  struct Entry {
    int status_;
    std::string_view phrase_;
  };
  static constexpr std::array<Entry, 15> kPhrases = {{
      {200, "OK"},
      {204, "No Content"},
      {400, "Bad Request"},
      {404, "Not Found"},
      {405, "Method Not Allowed"},
      {408, "Request Timeout"},
      {413, "Content Too Large"},
      {421, "Misdirected Request"},
      {429, "Too Many Requests"},
      {431, "Request Header Fields Too Large"},
      {500, "Internal Server Error"},
      {501, "Not Implemented"},
      {502, "Bad Gateway"},
      {503, "Service Unavailable"},
      {504, "Gateway Timeout"},
  }};
  for (const Entry& entry : kPhrases) {
    if (entry.status_ == status) return entry.phrase_;
  }
  return "Status";
}

std::string FormatRequest(const std::string& method, const std::string& target,
                          const Headers& headers, std::string_view body) {
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  AppendHeaders(text, headers);
  const bool may_have_body = method != "GET" && method != "HEAD";
  if (!body.empty() || may_have_body) {
    text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
  }
  text.append("\r\n").append(body);
  return text;
}

std::string FormatResponseHead(int status, const Headers& headers, std::uint64_t body_bytes,
                               bool close) {
  std::string text = StatusLine(status);
  AppendHeaders(text, headers);
  text.append("Content-Length: ").append(std::to_string(body_bytes)).append("\r\n");
  if (close) text.append("Connection: close\r\n");
  text.append("\r\n");
  return text;
}

std::string FormatChunkedHead(int status, const Headers& headers, bool close) {
  std::string text = StatusLine(status);
  AppendHeaders(text, headers);
  text.append("Transfer-Encoding: chunked\r\n");
  if (close) text.append("Connection: close\r\n");
  text.append("\r\n");
  return text;
}

std::string FormatChunk(std::string_view bytes) {
  std::array<char, 32> size{};
  const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  std::string text(size.data(), static_cast<std::size_t>(length));
  text.append(bytes).append("\r\n");
  return text;
}

}  // namespace monsoonshelf::http
