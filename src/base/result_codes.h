#pragma once

#include <span>
#include <string_view>

namespace monsoonshelf {

// Result codes. Each module has its own range of numbers. docs/result-codes.md explains each code.
enum class ResultCode : int {
  kOk = 0,
  // base: 1-99
  kInternal = 1,
  kUsage = 2,
  kFileUnreadable = 3,
  // settings: 100-199
  kSettingsSyntax = 100,
  kSettingsUnknownKey = 101,
  kSettingsInvalidValue = 102,
  kSettingsMissingKey = 103,
  // records: 200-299
  kRecordSyntax = 200,
  kRecordUnknownKind = 201,
  kRecordUnknownSchema = 202,
  kRecordInvalidField = 203,
  kRecordMissingField = 204,
  kRecordTooLarge = 205,
  kRecordLimitReached = 206,
  kRecordStaleVersion = 207,
  // statechart: 300-349
  kChartSyntax = 300,
  kChartInvalid = 301,
  // configuration: 350-399
  kConfigurationMissing = 350,
  kConfigurationDeltaInvalid = 351,
  // outcomes: 400-449
  kOutcomeTableFull = 400,
  kCallIdInvalid = 401,
  kCallIdExpired = 402,
  kCallIdOtherIncarnation = 403,
  kCallStillRunning = 404,
  kHomeHostUnreachable = 405,
  kCallIdFromFuture = 406,
  // dispatch: 450-549
  kNoTarget = 450,
  kQueueFull = 451,
  kDeadlineTooShort = 452,
  kDeadlinePassed = 453,
  kTargetRefused = 454,
  kRetryBudgetSpent = 455,
  kOverloaded = 456,
  kTargetConnectionLost = 457,
  kTargetUnreachable = 458,
  kTargetAnswerInvalid = 459,
  kCallCancelled = 460,
  // coordination: 550-649
  kHostIsolated = 550,
  kNotAssigned = 551,
  kLeaseLapsed = 552,
  kDuplicateAddress = 553,
  kPeerListInvalid = 554,
  kDuplicateName = 555,
  // platform: 650-699
  kPlatformUnreachable = 650,
  kPlatformTimeout = 651,
  kPlatformConflict = 652,
  kPlatformNotFound = 653,
  kPlatformInvalidAnswer = 654,
  kPlatformBudgetSpent = 655,
  // peer: 700-749
  kPeerMessageMalformed = 700,
  kPeerMessageUnsigned = 701,
  kPeerMessageReplayed = 702,
  kPeerMessageTooLarge = 703,
  kPeerMessageVersion = 704,
  kPeerUnknownSender = 705,
  kPeerSocket = 706,
  // entry: 750-849
  kRequestMalformed = 750,
  kHeaderTooLarge = 751,
  kBodyTooLarge = 752,
  kUnknownService = 753,
  kDeadlineInvalid = 754,
  kCallIdMissing = 755,
  kDepthExceeded = 756,
  kForwardLoop = 757,
  kHostStopping = 758,
  kMemoryLimit = 759,
  kForwardFailed = 760,
  kNotReady = 761,
  kListenFailed = 762,
  kStopCutCalls = 763,
  // timeline: 850-899
  kLogLineMalformed = 850,
};

struct ResultCodeEntry {
  ResultCode code_;
  std::string_view name_;
  std::string_view description_;
};

// Returns all codes with names and one-line descriptions, ordered by number.
std::span<const ResultCodeEntry> ResultCodes();

// Returns the name of a code, or "invalid" if the code is unknown.
std::string_view ResultCodeName(ResultCode code);

}  // namespace monsoonshelf
