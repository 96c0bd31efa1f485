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

// The error object of every failed Result in this project.
struct Error {
  ResultCode code_ = ResultCode::kInternal;
  std::string message_;
};

// Returns a failed result with a code and a message for operators.
inline leaf::error_id Fail(ResultCode code, std::string message) {
  return leaf::new_error(Error{code, std::move(message)});
}

// Calls `attempt`, a function that returns Result<T>, and returns its value. If `attempt` fails,
// returns the T that `on_error` returns for the Error.
template <typename Attempt, typename OnError>
auto Recover(Attempt&& attempt, OnError&& on_error) {
  return leaf::try_handle_all(
      std::forward<Attempt>(attempt), [&](const Error& error) { return on_error(error); },
      [&] {
        return on_error(Error{ResultCode::kInternal, "unspecified error"});
      });
}

// A value, or the error if there is no value.
template <typename T>
struct ValueOrError {
  std::optional<T> value_;
  Error error_;
};

// Calls `attempt`, a function that returns Result<T>, and returns its value or its error as plain
// data. Use it to replace one failure by another: in Boost 1.81, leaf::try_handle_some overwrites
// the error object of a new failure that a handler returns, so the new failure must be returned
// outside of the handlers.
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
