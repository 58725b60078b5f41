#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "zinnia_base/errors/result.h"

namespace zinnia {

/** Limits and intervals of the at-most-once protocol; docs/operations/once.md explains each. */
struct OnceSettings {
  /** Used only to write the store's layout record; afterwards that record decides. */
  std::uint32_t partitions = 16;

  /** What all partitions together may write, each having an equal part. */
  double store_writes_per_second = 200.0;

  /** Writes that a partition which was idle may make without waiting. */
  double write_burst = 4.0;

  /** How long an outcome waits for an intent to share its write. */
  std::chrono::milliseconds outcome_delay{50};

  /** The longest that Begin takes to answer. */
  std::chrono::milliseconds begin_timeout{2'000};

  /** How long after Begin was called a granted request may be dispatched. */
  std::chrono::milliseconds valid_for{10'000};

  /** How long a key is remembered, in wall time. */
  std::chrono::milliseconds retention{3'600'000};

  /** Added to the retention before anything is dropped: how far wall clocks may differ. */
  std::chrono::milliseconds clock_skew{300'000};

  std::chrono::milliseconds retry_after{1'000};

  /** After a refusal by the store, this long nothing is sent to it and every Begin is refused. */
  std::chrono::milliseconds store_pause{200};

  std::chrono::milliseconds retry_pause{25};
  std::chrono::milliseconds tick{500};

  /** How long an asker waits for a holder's answer before it asks again. */
  std::chrono::milliseconds call_timeout{700};

  /** How long a holder may be silent before an asker takes the partition over. Longer than a holder
      with a slow store takes to answer (three quarters of begin_timeout), so that a slow store
      alone moves no role. */
  std::chrono::milliseconds takeover_after{1'750};

  /** The same for a holder that cannot be connected to. */
  std::chrono::milliseconds refused_takeover_after{400};

  /** How long a holder may leave calls and signs of life unanswered before all its partitions are
      taken over. Signs of life need no store, so a slow store alone makes no holder silent. */
  std::chrono::milliseconds silent_takeover_after{800};

  /** How often an instance that leaves calls unanswered is asked for a sign of life. */
  std::chrono::milliseconds sign_of_life_interval{100};

  /** How much later each next instance in the order of preference tries to take a lost holder's
      partition, so that not all of them spend store calls on it. */
  std::chrono::milliseconds takeover_stagger{25};

  /** Partitions of lost holders that one instance takes over at once; each has at most one store
      call under way. */
  std::size_t most_takeovers = 8;

  /** The least time between two takeovers of one partition by one instance. */
  std::chrono::milliseconds takeover_pause{5'000};

  /** How long outcomes are offered to holders before they are given up. */
  std::chrono::milliseconds report_for{600'000};

  /** How long a planned stop waits for the store to take the hand-over. */
  std::chrono::milliseconds hand_over_timeout{3'000};

  std::size_t segment_bytes = std::size_t{64} * 1024;
  std::size_t most_write_bytes = std::size_t{512} * 1024;
  std::size_t most_answer_bytes = std::size_t{8} * 1024;

  /** Bodies of recorded answers that one partition keeps in memory; beyond, the oldest are dropped
      and their keys answered without a body (`body_dropped`). */
  std::size_t most_recorded_bytes = std::size_t{2} * 1024 * 1024;
  std::size_t most_entries = 100'000;
  std::size_t most_queued = 1'024;
  std::size_t most_reports = 4'096;
};

/** Fails with kInvalidSettings naming the field. */
Result<void> CheckOnceSettings(const OnceSettings& settings);

}  // namespace zinnia
