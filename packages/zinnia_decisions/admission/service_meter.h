#pragma once

#include "zinnia_decisions/admission/admission_settings.h"

namespace zinnia {

/** Measures a pool's drain rate, how long grants are held, and the ratio of observed to expected
    service time. */
class ServiceMeter {
 public:
  explicit ServiceMeter(const AdmissionSettings& settings) : m_settings(settings) {}

  void OnAdmitted(double cost, Duration expected);
  void OnFinished(TimePoint now, double cost, Duration held, Duration expected);

  /** Sets whether requests are queued. The measured rate is only meaningful under backlog. */
  void SetBusy(TimePoint now, bool busy);

  /** Returns the cost per second that the pool completes with `capacity` running concurrently. */
  double DrainRate(TimePoint now, double capacity) const;

  /** Predicts the service time of a request in a pool with utilisation `used` (0 to 1).

      The observed slowdown is scaled by the utilisation and decays while nothing finishes.
      Otherwise slow answers during a failure could cause all later requests to be refused, and
      no new measurement would correct the estimate. */
  Duration PredictServiceTime(TimePoint now, Duration expected, double used) const;

  /** Returns the part of the capacity to use. It shrinks when answers take longer than expected,
      since further requests would only queue inside the engines, where they cannot be refused. */
  double UsableCapacityShare() const;

 private:
  double MeasuredRate(TimePoint now) const;
  double DecayFactor(TimePoint now) const;

  AdmissionSettings m_settings;
  double m_mean_cost = 0.0;
  double m_mean_cost_seconds = 0.0;
  double m_rate = 0.0;
  TimePoint m_rate_at{};
  bool m_busy = false;
  TimePoint m_busy_since{};
  double m_service_time_ratio = 1.0;
  double m_service_time_ratio_deviation = 0.0;
};

}  // namespace zinnia
