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

// Identifier of a call that is not idempotent: `<home host>.<incarnation>.<minute>.<random>`. The
// home host is the entry host that stores the outcome of the call.
struct CallId {
  HostName home_;
  Incarnation incarnation_ = 0;
  std::int64_t minute_ = 0;  // Minutes since 1970 on the host that issued the ticket.
  std::string random_;       // 8 to 64 characters of [A-Za-z0-9_-], chosen by the caller.
};

// Parses a call identifier. Error: kCallIdInvalid.
Result<CallId> ParseCallId(std::string_view text);
std::string FormatCallId(const CallId& id);

// Returns the ticket `<host>.<incarnation>.<minute>`, the part of a call identifier that an entry
// host issues. The caller adds the random part.
std::string FormatTicket(const HostName& home, Incarnation incarnation, std::int64_t minute);

// The stored result of a call that is not idempotent.
struct FinishedCall {
  CallOutcome outcome_ = CallOutcome::kUnknown;
  ResultCode code_ = ResultCode::kOk;
  int status_ = 0;  // HTTP status.
  std::string content_type_;
  std::string body_;       // Empty if body_kept_ is false.
  bool body_kept_ = true;  // False if the body exceeded a limit and was dropped.
};

struct OutcomeTableLimits {
  std::size_t max_calls_ = 200'000;
  std::size_t max_body_bytes_ = 4096;  // Body and content type of one call.
  std::size_t max_total_body_bytes_ = 32 << 20;
  std::int64_t retention_minutes_ = 10;  // Maximum age of an accepted call identifier.
  std::int64_t future_minutes_ = 2;      // How far in the future an identifier may be.
};

// Table of the outcomes of calls that are not idempotent, which ensures that each call runs at most
// once.
struct OutcomeTable;
struct OutcomeTableDeleter {
  void operator()(OutcomeTable* table) const;
};
using OutcomeTablePtr = std::unique_ptr<OutcomeTable, OutcomeTableDeleter>;

// Creates the table of one incarnation of a home host.
OutcomeTablePtr MakeOutcomeTable(HostName home, Incarnation incarnation, OutcomeTableLimits limits);

// What BeginAttempt found, and thus whether the call may run.
enum class BeginResult {
  kNew,               // First attempt: the owner of the table must run the call.
  kRunning,           // An earlier attempt is still running.
  kFinished,          // The call has ended; finished_ has its result.
  kExpired,           // Older than the retention: outcome unknown; must not run.
  kOtherIncarnation,  // Issued by another incarnation: outcome unknown; must not run.
  kOtherHome,         // Another entry host is the home host of the call.
  kFuture,            // Issued too far in the future: not run.
  kFull,              // The table is full: not run.
};

struct BeginAnswer {
  BeginResult result_ = BeginResult::kFull;
  FinishedCall finished_;
};

// Registers an attempt to run a call and returns whether it may run. `now_minute` is the wall clock
// in minutes since 1970; if it goes back, the latest value is used.
BeginAnswer BeginAttempt(OutcomeTable& table, const CallId& id, std::int64_t now_minute);

// Stores the result of a running call, and does nothing for other calls. A call with the outcome
// kNotRun also stays in the table, so that a repeated call gets the same answer.
void FinishAttempt(OutcomeTable& table, const CallId& id, FinishedCall finished);

// Returns the number of running and finished calls in the table.
std::size_t CallCount(const OutcomeTable& table);

}  // namespace monsoonshelf::outcomes
