#pragma once

#include <array>
#include <cstddef>
#include <string>
#include <string_view>

namespace zinnia {

/** Why what a server sent is not an answer. From kHeadTooLong on: a bound of AnswerLimits. */
enum class AnswerFaultKind {
  kMalformed,
  kCutShort,
  kUnexpectedStatus,
  kUnknownEncoding,
  kHeadTooLong,
  kTooManyInterimHeads,
  kInterimHeadsTooLong,
  kLineTooLong,
  kBodyTooLong,
  kEventTooLong,
};

inline std::string_view NameOf(AnswerFaultKind kind) {
  static constexpr std::array<std::string_view, 10> kNames = {
      "malformed",     "cut_short",     "unexpected_status", "unknown_encoding", "head_bytes",
      "interim_heads", "interim_bytes", "line_bytes",        "body_bytes",       "event_bytes"};
  return kNames.at(static_cast<std::size_t>(kind));
}

struct AnswerFault {
  AnswerFaultKind kind = AnswerFaultKind::kMalformed;
  std::string detail;

  bool IsBound() const { return kind >= AnswerFaultKind::kHeadTooLong; }
};

}  // namespace zinnia
