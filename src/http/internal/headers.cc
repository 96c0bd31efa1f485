#include <algorithm>
#include <array>
#include <cctype>

#include "http/http_types.h"

namespace monsoonshelf::http {

bool EqualsIgnoreCase(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         std::equal(left.begin(), left.end(), right.begin(), [](unsigned char a, unsigned char b) {
           return std::tolower(a) == std::tolower(b);
         });
}

const std::string* FindHeader(const Headers& headers, std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (EqualsIgnoreCase(key, name)) return &value;
  }
  return nullptr;
}

void RemoveHeader(Headers& headers, std::string_view name) {
  std::erase_if(headers,
                [name](const auto& header) { return EqualsIgnoreCase(header.first, name); });
}

void RemoveConnectionHeaders(Headers& headers) {
  std::vector<std::string> named;
  for (const auto& [key, value] : headers) {
    if (!EqualsIgnoreCase(key, "Connection")) continue;
    std::size_t begin = 0;
    while (begin < value.size()) {
      const std::size_t end = std::min(value.find(',', begin), value.size());
      std::string token = value.substr(begin, end - begin);
      std::erase_if(token, [](unsigned char letter) { return std::isspace(letter) != 0; });
      if (!token.empty()) named.push_back(std::move(token));
      begin = end + 1;
    }
  }
  static constexpr std::array<std::string_view, 10> kNames = {"Connection",
                                                              "Keep-Alive",
                                                              "Proxy-Connection",
                                                              "Proxy-Authenticate",
                                                              "Proxy-Authorization",
                                                              "TE",
                                                              "Trailer",
                                                              "Transfer-Encoding",
                                                              "Upgrade",
                                                              "Expect"};
  std::erase_if(headers, [&named](const auto& header) {
    const auto is_name = [&header](std::string_view name) {
      return EqualsIgnoreCase(header.first, name);
    };
    return std::any_of(kNames.begin(), kNames.end(), is_name) ||
           std::any_of(named.begin(), named.end(), is_name);
  });
}

std::size_t HeadBytes(const RequestHead& head) {
  // Short strings are stored in the string object.
  static const std::size_t in_place_bytes = std::string().capacity();
  const auto heap_bytes = [](const std::string& text) {
    return text.capacity() > in_place_bytes ? text.capacity() + 1 : 0;
  };
  std::size_t bytes = head.headers_.capacity() * sizeof(Headers::value_type) +
                      heap_bytes(head.method_) + heap_bytes(head.target_);
  for (const auto& [name, value] : head.headers_) bytes += heap_bytes(name) + heap_bytes(value);
  return bytes;
}

}  // namespace monsoonshelf::http
