#pragma once

#include <glib.h>
#include <libsoup/soup.h>

#include <memory>
#include <string>

namespace monsoonshelf::standins {

struct GObjectDeleter {
  void operator()(gpointer object) const { g_object_unref(object); }
};
template <typename T>
using GObjectPtr = std::unique_ptr<T, GObjectDeleter>;

inline std::int64_t MonotonicMicroseconds() { return g_get_monotonic_time(); }

// Returns an empty string if the header is missing.
inline std::string HeaderValue(SoupMessageHeaders* headers, const char* name) {
  const char* value = soup_message_headers_get_one(headers, name);
  return value == nullptr ? "" : value;
}

inline std::string QueryValue(GHashTable* query, const char* name, const char* fallback) {
  const auto* value =
      query == nullptr ? nullptr : static_cast<const char*>(g_hash_table_lookup(query, name));
  return value == nullptr ? fallback : value;
}

inline void SetResponse(SoupServerMessage* message, int status, const std::string& type,
                        const std::string& body) {
  soup_server_message_set_status(message, status, nullptr);
  soup_server_message_set_response(message, type.c_str(), SOUP_MEMORY_COPY, body.data(),
                                   body.size());
}

// Sends a request and blocks until the response is complete. Returns the body; `status` is set to
// the HTTP status, or to 0 if there was no response.
inline std::string FetchText(const std::string& method, const std::string& url, int* status) {
  GObjectPtr<SoupSession> session(soup_session_new_with_options("timeout", 5, nullptr));
  GObjectPtr<SoupMessage> message(soup_message_new(method.c_str(), url.c_str()));
  *status = 0;
  if (!message) return "";
  GError* error = nullptr;
  GBytes* bytes = soup_session_send_and_read(session.get(), message.get(), nullptr, &error);
  if (bytes == nullptr) {
    g_clear_error(&error);
    return "";
  }
  gsize size = 0;
  const auto* data = static_cast<const char*>(g_bytes_get_data(bytes, &size));
  std::string body(data == nullptr ? "" : data, size);
  g_bytes_unref(bytes);
  *status = static_cast<int>(soup_message_get_status(message.get()));
  return body;
}

}  // namespace monsoonshelf::standins
