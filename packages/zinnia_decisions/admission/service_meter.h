#pragma once

#include "zinnia_decisions/admission/admission_settings.h"

namespace zinnia {

/** Measures how fast a pool gets work done: cost finished a second, time a grant is held, and how
    far that time goes beyond what was expected. */
class ServiceMeter {
 public:
  explicit ServiceMeter(const AdmissionSettings& settings) : m_settings(settings) {}

  void OnAdmitted(double cost, Duration expected);
  void OnFinished(TimePoint now, double cost, Duration held, Duration expected);

  /** Tells whether work is waiting; the measured rate means something only while it is. */
  void SetBusy(TimePoint now, bool busy);

  /** Cost a second that the pool works off if `capacity` runs at once. */
  double DrainRate(TimePoint now, double capacity) const;

  /** How long work that is expected to take `expected` may really take in a pool of which the part
      `used` (0 to 1) is in use.

      The observed stretch comes from load, so it counts only as far as the pool is used, and it
      fades while nothing finishes. Without that, a failure that stretched the last answers beyond
      every deadline would have all further requests refused, and as then nothing finishes, nothing
      would ever correct it; one notices refusals for deadlines in an idle pool. */
  Duration Stretched(TimePoint now, Duration expected, double used) const;

  /** Part of the capacity that is worth using. Answers that take longer than expected say that
      batches are full and further work only waits in engines, where it can no longer be refused;
      one notices admitted requests that miss their deadlines. */
  double UsefulConcurrency() const;

 private:
  double MeasuredRate(TimePoint now) const;
  double Fading(TimePoint now) const;

  AdmissionSettings m_settings;
  double m_mean_cost = 0.0;
  double m_mean_cost_seconds = 0.0;
  double m_rate = 0.0;
  TimePoint m_rate_at{};
  bool m_busy = false;
  TimePoint m_busy_since{};
  double m_stretch = 1.0;
  double m_stretch_deviation = 0.0;
};

}  // namespace zinnia
