#include "gateway/internal/compression.h"

#include <zlib.h>

#include <array>
#include <cstdint>
#include <cstring>

namespace monsoonshelf::gateway {

namespace {

// Number of bytes of the uncompressed text, in native byte order: all hosts of a fleet use the
// same.
using LengthPrefix = std::uint64_t;

}  // namespace

std::string Compress(std::string_view text) {
  const LengthPrefix length = text.size();
  uLongf size = compressBound(text.size());
  std::string bytes(sizeof(length) + size, '\0');
  std::memcpy(bytes.data(), &length, sizeof(length));
  auto* out = reinterpret_cast<Bytef*>(bytes.data() + sizeof(length));
  // With a buffer of compressBound() bytes and a valid level, only an allocation can fail.
  if (compress2(out, &size, reinterpret_cast<const Bytef*>(text.data()), text.size(),
                Z_BEST_SPEED) != Z_OK) {
    return {};
  }
  bytes.resize(sizeof(length) + size);
  return bytes;
}

std::optional<std::string> Decompress(std::string_view bytes, std::size_t max_bytes) {
  LengthPrefix length = 0;
  if (bytes.size() < sizeof(length)) return std::nullopt;
  std::memcpy(&length, bytes.data(), sizeof(length));
  if (length > max_bytes) return std::nullopt;
  bytes.remove_prefix(sizeof(length));
  std::string text(length, '\0');
  uLongf size = length;
  const int result = uncompress(reinterpret_cast<Bytef*>(text.data()), &size,
                                reinterpret_cast<const Bytef*>(bytes.data()), bytes.size());
  if (result != Z_OK || size != length) return std::nullopt;
  return text;
}

}  // namespace monsoonshelf::gateway
