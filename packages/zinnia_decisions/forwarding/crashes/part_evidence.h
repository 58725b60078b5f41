#pragma once

#include <algorithm>
#include <cstddef>

#include "zinnia_base/time/clock.h"

// Shared by the files of PartQuarantine.

namespace zinnia::part_evidence {

/** What a moment counts in which a server ended under a request with the part: one whose stream had
    just begun, and one of which nothing shows whether it had. */
inline constexpr int kBegunWeight = 2;
inline constexpr int kUncertainWeight = 1;

/** Four moments with requests that had just begun. */
inline constexpr std::size_t kLeastStarts = 4;
inline constexpr int kProofWeight = static_cast<int>(kLeastStarts) * kBegunWeight;

/** Moments with requests that were sent on probation which prove a part. */
inline constexpr int kLeastTrials = 2;

/** Moments after which a part is on probation, whatever they count. */
inline constexpr int kLeastMomentsOfSuspect = 2;

/** The last of these crashes. */
template <typename Crashes>
TimePoint LastOf(const Crashes& crashes) {
  TimePoint last{};
  for (const auto& [server, crash] : crashes) {
    last = std::max(last, crash.at);
  }
  return last;
}

}  // namespace zinnia::part_evidence
