#include "zinnia_decisions/forwarding/costs/prediction_error.h"

#include <cmath>

#include "zinnia_decisions/forwarding/costs/answer_length_decay.h"

namespace zinnia {

void PredictionError::Add(double predicted, double unlearned, double actual) {
  const double decay = AnswerLengthDecay(m_clock.Now() - m_changed_at);
  m_changed_at = m_clock.Now();
  m_model_error = m_model_error * decay + std::abs(predicted - actual);
  m_unlearned_error = m_unlearned_error * decay + std::abs(unlearned - actual);
  m_actual = m_actual * decay + actual;
}

}  // namespace zinnia
