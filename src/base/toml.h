#pragma once

// The one place that includes toml++. Debian's library is built with exceptions, and the modes with
// and without exceptions have classes of the same name and different layout, so the whole program
// uses the headers in one mode.
#define TOML_HEADER_ONLY 1
#define TOML_EXCEPTIONS 0
// toml++ 3.3 asserts that a table name begins with a key character, but reports the error itself a
// few lines below. The fuzz input tests/fuzz/inputs/settings/table-name-without-key ends a program
// that was built without NDEBUG.
#define TOML_ASSERT(expression) static_assert(true)

#include <toml++/toml.h>
