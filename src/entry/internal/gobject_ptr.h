#pragma once

#include <glib-object.h>

#include <memory>

namespace monsoonshelf::entry {

struct GObjectUnref {
  void operator()(void* object) const { g_object_unref(object); }
};
template <typename T>
using GObjectPtr = std::unique_ptr<T, GObjectUnref>;

// Returns a new reference to the object.
template <typename T>
GObjectPtr<T> Ref(T* object) {
  return GObjectPtr<T>(static_cast<T*>(g_object_ref(object)));
}

struct GErrorFree {
  void operator()(GError* error) const { g_error_free(error); }
};
using GErrorPtr = std::unique_ptr<GError, GErrorFree>;

}  // namespace monsoonshelf::entry
