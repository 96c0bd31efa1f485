#pragma once

#include <malloc.h>

#include <algorithm>
#include <cstddef>

namespace monsoonshelf::http::tests {

// Records how far the heap of the process grows above its size at construction. Sanitizers replace
// the allocator, so the growth is 0 there.
class HeapUse {
 public:
  HeapUse() : start_(Allocated()) {}
  void Sample() { max_ = std::max(max_, Allocated()); }
  std::size_t MaxGrowth() const { return max_ > start_ ? max_ - start_ : 0; }

 private:
  static std::size_t Allocated() {
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
  }
  std::size_t start_;
  std::size_t max_ = 0;
};

}  // namespace monsoonshelf::http::tests
