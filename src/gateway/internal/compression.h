#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace monsoonshelf::gateway {

// Compresses bodies that entry hosts send to each other, with zlib and a length prefix. A
// configuration of a thousand routes shrinks to a tenth, and small hosts have slow links. Returns
// an empty string if memory is exhausted.
std::string Compress(std::string_view text);
// Returns std::nullopt if the bytes are corrupt or the text is longer than `max_bytes`.
std::optional<std::string> Decompress(std::string_view bytes, std::size_t max_bytes);

}  // namespace monsoonshelf::gateway
