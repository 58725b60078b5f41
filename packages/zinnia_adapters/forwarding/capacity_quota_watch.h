#pragma once

#include <cstddef>
#include <optional>

#include "zinnia_base/time/clock.h"

namespace zinnia {

class FleetQuotas;
class LoadTracker;
class Logger;
class Metrics;
struct ForwardingView;

/** Logs this instance's demand, quotas and use of scarce servers, and sets gauges of them.

    Gauges are numbered by utilization, since their number is bounded and servers come and go. The
    log names the servers. The quotas are not enforced. */
class CapacityQuotaWatch {
 public:
  /** All references must outlive the object. */
  CapacityQuotaWatch(const Clock& clock,
                     Logger& logger,
                     Metrics& metrics,
                     const FleetQuotas& quotas,
                     const LoadTracker& loads);

  /** Call after each report on the use of servers. Does nothing if the last time is recent. */
  void OnReports(const ForwardingView& view);

 private:
  const Clock& m_clock;
  Logger& m_logger;
  Metrics& m_metrics;
  const FleetQuotas& m_quotas;
  const LoadTracker& m_loads;
  std::optional<TimePoint> m_gauged_at;
  std::optional<TimePoint> m_logged_at;
  std::size_t m_gauges = 0;
};

}  // namespace zinnia
