#pragma once

// Include this header instead of toml++/toml.h. Debian builds the toml++ library with exceptions,
// and the classes of the modes with and without exceptions have the same names but different
// layouts. The whole program must therefore use toml++ header-only and in the same mode.
#define TOML_HEADER_ONLY 1
#define TOML_EXCEPTIONS 0
// toml++ 3.3 asserts that a table name begins with a key character, although it reports this error
// a few lines later. With the assertion, the fuzz input
// tests/fuzz/inputs/settings/table-name-without-key aborts a program built without NDEBUG.
#define TOML_ASSERT(expression) static_assert(true)

#include <toml++/toml.h>
