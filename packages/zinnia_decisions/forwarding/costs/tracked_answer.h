#pragma once

#include "zinnia_decisions/forwarding/costs/answer_length_estimator.h"

namespace zinnia {

class AnswerLengthModel;

/** One answer whose length is predicted, and which the model learns from. */
class TrackedAnswer {
 public:
  /** `already_sent`: tokens of an answer that the caller resumes, by an earlier request. The model
      must outlive this object. */
  TrackedAnswer(AnswerLengthModel& model, AnswerKey key, double already_sent);

  /** `tokens`: in all so far. */
  void OnSent(double tokens);

  /** The answer has ended well. Nothing is learned if its events don't tell its length. */
  void OnEnded();

  double Sent() const { return m_sent; }

  /** Expected length in tokens: what was sent, and the rest. */
  double ExpectedLength() const;

  /** What was expected before this request's first token. */
  double FirstExpectedLength() const { return m_first_expected; }

 private:
  AnswerLengthModel& m_model;
  const AnswerKey m_key;
  double m_sent = 0.0;
  double m_first_expected = 0.0;
};

}  // namespace zinnia
