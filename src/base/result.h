#pragma once

#include <boost/leaf.hpp>
#include <optional>
#include <string>
#include <utility>

#include "base/result_codes.h"

namespace monsoonshelf {

namespace leaf = boost::leaf;

template <typename T>
using Result = leaf::result<T>;

// The error object that every failed Result of this project carries.
struct Error {
  ResultCode code_ = ResultCode::kInternal;
  std::string message_;
};

// Returns a failed result with a code and a message for people.
inline leaf::error_id Fail(ResultCode code, std::string message) {
  return leaf::new_error(Error{code, std::move(message)});
}

// Calls `attempt`, a function that returns Result<T>, and passes a failure to `on_error`, which
// returns the T to use instead.
template <typename Attempt, typename OnError>
auto Recover(Attempt&& attempt, OnError&& on_error) {
  return leaf::try_handle_all(
      std::forward<Attempt>(attempt), [&](const Error& error) { return on_error(error); },
      [&] {
        return on_error(Error{ResultCode::kInternal, "unspecified error"});
      });
}

// A value, or the error in place of it.
template <typename T>
struct ValueOrError {
  std::optional<T> value_;
  Error error_;
};

// Calls `attempt`, a function that returns Result<T>, and keeps its error as a plain value. A new
// failure must be returned outside of the handlers of LEAF: in Boost 1.81, try_handle_some replaces
// the error object of a failure that its handler returns.
template <typename T, typename Attempt>
ValueOrError<T> Capture(Attempt&& attempt) {
  Error failure;
  auto value = Recover(
      [&]() -> Result<std::optional<T>> {
        BOOST_LEAF_AUTO(result, attempt());
        return std::optional<T>(std::move(result));
      },
      [&failure](const Error& error) {
        failure = error;
        return std::optional<T>();
      });
  return {std::move(value), std::move(failure)};
}

}  // namespace monsoonshelf
