#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "zinnia_base/errors/result.h"

namespace zinnia {

/** Settings of the at-most-once protocol, documented in docs/operations/once.md. */
struct OnceSettings {
  /** Used only to create the store's layout record, which takes precedence once it exists. */
  std::uint32_t partitions = 16;

  /** Rate limit of store writes for all partitions together, divided equally among them. */
  double store_writes_per_second = 200.0;

  /** Number of writes that an idle partition may make without delay. */
  double write_burst = 4.0;

  /** The longest that an outcome is delayed to share a write with an intent. */
  std::chrono::milliseconds outcome_delay{50};

  /** The time within which Begin calls back. */
  std::chrono::milliseconds begin_timeout{2'000};

  /** How long after Begin was called a granted request may be dispatched. */
  std::chrono::milliseconds valid_for{10'000};

  /** How long a key is kept, in wall time. */
  std::chrono::milliseconds retention{3'600'000};

  /** Largest difference between wall clocks; added to the retention before a segment is deleted. */
  std::chrono::milliseconds clock_skew{300'000};

  std::chrono::milliseconds retry_after{1'000};

  /** How long writes are suspended and Begin is refused after a store error. */
  std::chrono::milliseconds store_pause{200};

  std::chrono::milliseconds retry_pause{25};
  std::chrono::milliseconds tick{500};

  /** How long a call to a holder may take before it is retried. */
  std::chrono::milliseconds call_timeout{700};

  /** How long calls to a holder may fail before the partition is taken over. Longer than a holder
      with a slow store takes to reply (three quarters of begin_timeout), so that a slow store alone
      causes no takeover. */
  std::chrono::milliseconds takeover_after{1'750};

  /** The same if connections to the holder are refused. */
  std::chrono::milliseconds refused_takeover_after{400};

  /** How long a holder may leave calls and probes without a reply before all its partitions are
      taken over. Probes need no store call, so they are not delayed by a slow store. */
  std::chrono::milliseconds silent_takeover_after{800};

  /** Interval between probes of a suspected instance. */
  std::chrono::milliseconds sign_of_life_interval{100};

  /** Additional takeover delay for each instance that ranks higher in the order of preference, so
      that instances do not compete for a lost holder's partitions. */
  std::chrono::milliseconds takeover_stagger{25};

  /** Maximum number of concurrent takeovers from lost holders per instance. Each has at most one
      store call in flight. */
  std::size_t most_takeovers = 8;

  /** Minimum time between two takeovers of one partition by the same instance. */
  std::chrono::milliseconds takeover_pause{5'000};

  /** How long reporting an outcome is retried. */
  std::chrono::milliseconds report_for{600'000};

  /** How long a planned stop waits for the partitions to be released in the store. */
  std::chrono::milliseconds hand_over_timeout{3'000};

  std::size_t segment_bytes = std::size_t{64} * 1024;
  std::size_t most_write_bytes = std::size_t{512} * 1024;
  std::size_t most_answer_bytes = std::size_t{8} * 1024;

  /** Maximum size of the recorded answers' bodies that a partition keeps in memory. Beyond that,
      the oldest are dropped and their answers marked with `body_dropped`. */
  std::size_t most_recorded_bytes = std::size_t{2} * 1024 * 1024;
  std::size_t most_entries = 100'000;
  std::size_t most_queued = 1'024;
  std::size_t most_reports = 4'096;
};

/** Fails with kInvalidSettings naming the field. */
Result<void> CheckOnceSettings(const OnceSettings& settings);

}  // namespace zinnia
