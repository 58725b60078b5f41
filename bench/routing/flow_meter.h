#pragma once

#include <vector>

#include "bench/support/simulation.h"

namespace zinnia::bench {

/** Measures one run: tokens, times and refusals between `begin` and `end`. */
class FlowMeter final : public OutcomeListener {
 public:
  FlowMeter(TimePoint begin, TimePoint end) : m_begin(begin), m_end(end) {}

  void SetClock(const Clock& clock) { m_clock = &clock; }
  void OnToken(const OfferedRequest& request, Duration since_last, bool first) override;
  void OnAnswered(const OfferedRequest& request, bool steady) override;
  void OnRefused(const OfferedRequest& request, const Error& error, bool at_once) override;
  void OnFailed(const OfferedRequest& request) override;

  double TokensPerSecond() const;

  /** Tokens a second of the answers that kept both limits from their first token to their last. */
  double TokensPerSecondInTime() const;
  double FirstTokenP95Milliseconds() const { return P95Milliseconds(m_first_tokens); }
  double BetweenTokensP95Milliseconds() const { return P95Milliseconds(m_between_tokens); }
  double InTimePercent() const;
  double RefusedPercent() const;

 private:
  bool IsMeasured() const;
  static double P95Milliseconds(std::vector<float> seconds);

  TimePoint m_begin;
  TimePoint m_end;
  const Clock* m_clock = nullptr;
  std::vector<float> m_first_tokens;
  std::vector<float> m_between_tokens;
  double m_tokens = 0.0;
  double m_answered = 0.0;
  double m_in_time = 0.0;
  double m_tokens_in_time = 0.0;
  double m_refused = 0.0;
};

}  // namespace zinnia::bench
