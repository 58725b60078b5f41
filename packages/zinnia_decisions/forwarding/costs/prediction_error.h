#pragma once

#include "zinnia_base/time/clock.h"

namespace zinnia {

/** Mean absolute errors of recently predicted lengths, relative to the mean of the actual ones. */
class PredictionError {
 public:
  explicit PredictionError(const Clock& clock) : m_clock(clock) {}

  /** `unlearned`: the estimate by the hint or the mean alone. */
  void Add(double predicted, double unlearned, double actual);

  bool HasAny() const { return m_actual > 0.0; }
  double OfModel() const { return Relative(m_model_error); }
  double OfHintOrMean() const { return Relative(m_unlearned_error); }

 private:
  double Relative(double error) const { return m_actual > 0.0 ? error / m_actual : 0.0; }

  const Clock& m_clock;
  TimePoint m_changed_at{};
  double m_model_error = 0.0;
  double m_unlearned_error = 0.0;
  double m_actual = 0.0;
};

}  // namespace zinnia
