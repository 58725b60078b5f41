#include "zinnia_decisions/forwarding/costs/tracked_answer.h"

#include <utility>

#include "zinnia_decisions/forwarding/costs/answer_length_model.h"

namespace zinnia {

TrackedAnswer::TrackedAnswer(AnswerLengthModel& model, AnswerKey key, double already_sent)
    : m_model(model),
      m_key(std::move(key)),
      m_sent(already_sent),
      m_first_expected(ExpectedLength()) {}

void TrackedAnswer::OnSent(double tokens) {
  if (tokens > m_sent) {
    m_model.OnGrown(m_key, m_sent, tokens);
    m_sent = tokens;
  }
}

void TrackedAnswer::OnEnded() {
  if (m_sent > 0.0) {
    m_model.OnEnded(m_key, m_sent);
    m_model.OnPredicted(m_key, m_first_expected, m_sent);
  }
}

double TrackedAnswer::ExpectedLength() const {
  return m_sent + m_model.Expect(m_key, m_sent).mean;
}

}  // namespace zinnia
