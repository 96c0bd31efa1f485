#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace monsoonshelf::gateway {

// zlib with the length of the text in front, for bodies between entry hosts: a configuration of a
// thousand routes shrinks to a tenth, and the links of small hosts are slow.
std::string Compress(std::string_view text);
// Nothing if the bytes are damaged or longer than `max_bytes`.
std::optional<std::string> Decompress(std::string_view bytes, std::size_t max_bytes);

}  // namespace monsoonshelf::gateway
