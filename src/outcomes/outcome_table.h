#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/base_types.h"
#include "base/call_outcome.h"
#include "base/result.h"

namespace monsoonshelf::outcomes {

// Parsed form of `<home host>.<incarnation>.<minute>.<random>`.
struct CallId {
  HostName home_;
  Incarnation incarnation_ = 0;
  std::int64_t minute_ = 0;  // Minutes since 1970 by the clock that issued the ticket.
  std::string random_;       // 8 to 64 characters of [A-Za-z0-9_-], chosen by the caller.
};

// Error: kCallIdInvalid.
Result<CallId> ParseCallId(std::string_view text);
std::string FormatCallId(const CallId& id);

// The part of a call identifier that an entry host hands out: `<host>.<incarnation>.<minute>`.
std::string FormatTicket(const HostName& home, Incarnation incarnation, std::int64_t minute);

// The kept result of a call that is not idempotent.
struct FinishedCall {
  CallOutcome outcome_ = CallOutcome::kUnknown;
  ResultCode code_ = ResultCode::kOk;
  int status_ = 0;  // HTTP status.
  std::string content_type_;
  std::string body_;  // Empty when larger than the limit; then body_kept_ is false.
  bool body_kept_ = true;
};

struct OutcomeTableLimits {
  std::size_t max_calls_ = 200'000;
  std::size_t max_body_bytes_ = 4096;
  std::size_t max_total_body_bytes_ = 32 << 20;
  std::int64_t retention_minutes_ = 10;
  std::int64_t future_minutes_ = 2;
};

struct OutcomeTable;
struct OutcomeTableDeleter {
  void operator()(OutcomeTable* table) const;
};
using OutcomeTablePtr = std::unique_ptr<OutcomeTable, OutcomeTableDeleter>;

// The table of one incarnation of a home host.
OutcomeTablePtr MakeOutcomeTable(HostName home, Incarnation incarnation, OutcomeTableLimits limits);

enum class BeginResult {
  kNew,               // First attempt: the caller of BeginAttempt now runs the call.
  kRunning,           // An earlier attempt is still running.
  kFinished,          // The result is in `finished`.
  kExpired,           // Older than the retention: unknown, must not run.
  kOtherIncarnation,  // Issued by an earlier incarnation: unknown, must not run.
  kOtherHome,         // Another entry host is the home of the call.
  kFuture,            // Issued in the future: not run.
  kFull,              // No room: not run.
};

struct BeginAnswer {
  BeginResult result_ = BeginResult::kFull;
  FinishedCall finished_;
};

// Registers an attempt. `now_minute` never decreases between calls.
BeginAnswer BeginAttempt(OutcomeTable& table, const CallId& id, std::int64_t now_minute);

// Records the result of a running call. A call whose outcome is kNotRun stays in the table, so that
// a repeat gets the same answer.
void FinishAttempt(OutcomeTable& table, const CallId& id, FinishedCall finished);

std::size_t CallCount(const OutcomeTable& table);

}  // namespace monsoonshelf::outcomes
