#pragma once

#include <cstdint>

#include "zinnia_base/time/clock.h"

namespace zinnia {

/** The load of a backend server: its last report, which may be stale, and the requests that this
    instance has sent since then or has in flight. */
struct ServerLoad {
  std::uint32_t reported_running = 0;
  std::uint32_t reported_queued = 0;
  TimePoint reported_at{};
  std::uint32_t sent_since_report = 0;
  std::uint32_t in_flight_here = 0;
  Duration step_time_p50{};
  Duration step_time_p99{};
  Duration empty_step_time{};
  double prefill_tokens_per_second = 0.0;
  double decode_tokens_per_second = 0.0;
};

}  // namespace zinnia
