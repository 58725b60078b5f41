#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/forwarding/costs/answer_length_estimator.h"
#include "zinnia_decisions/forwarding/costs/answer_length_report.h"
#include "zinnia_decisions/forwarding/costs/answer_length_table.h"
#include "zinnia_decisions/forwarding/costs/prediction_error.h"

namespace zinnia {

/** Learns the distribution of answer lengths by route, hint and organisation.

    Each answer counts in three cells: that of its route, hint and organisation, that of its route
    and hint, and that of its route. A cell's hazards are averaged with those of the next wider
   cell, which have the weight of `kPriorWeight` answers; the widest is averaged with a distribution
   around the hint or, without one, around the service's mean. Cells with few answers thus yield the
    estimate of wider ones.

    The more answers an organisation has in its own cell, the less each weighs in the wider ones: an
    organisation whose hints are wrong has a bounded influence on the estimates of others.

    Memory is about 0.6 MB, none before the first answer. Not thread-safe.

    @see docs/design/request_costs.md */
class AnswerLengthModel final : public AnswerLengthEstimator {
 public:
  /** `clock` must outlive it. */
  explicit AnswerLengthModel(const Clock& clock);

  RemainingTokens Expect(const AnswerKey& key, double sent) const override;

  /** A running answer has grown from `before` to `now` tokens. */
  void OnGrown(const AnswerKey& key, double before, double now);

  /** An answer has ended well. Its growth was reported by OnGrown. */
  void OnEnded(const AnswerKey& key, double tokens);

  /** Compares the length that was expected before an answer began with the actual one. */
  void OnPredicted(const AnswerKey& key, double expected, double actual) {
    m_errors.Add(expected, UnlearnedLength(key), actual);
  }

  /** Of recent answers of this instance. */
  const PredictionError& Errors() const { return m_errors; }

  /** Returns rows that have changed since they were last returned, at most `max_rows`. */
  std::vector<AnswerLengthRow> TakeRows(std::size_t max_rows);

  /** Replaces what all other instances know of these cells. */
  void SetOthers(const std::vector<AnswerLengthRow>& rows);

  /** Estimate of the whole length without anything learned: the hint, or else the mean. */
  static double UnlearnedLength(const AnswerKey& key);

 private:
  static constexpr std::size_t kLevels = kAnswerLengthLevels;
  using CellIds = std::array<AnswerLengthCellId, kLevels>;
  using Hazards = std::array<double, AnswerLengthCounts::kBins>;

  static CellIds CellsOf(const AnswerKey& key);
  static Hazards PriorHazards(const AnswerKey& key);
  Hazards HazardsOf(const AnswerKey& key) const;
  void Learn(const AnswerKey& key, double before, double now, bool has_ended);
  static double WeightInWiderCells(const AnswerLengthTable& table,
                                   const AnswerLengthTable::Cell& cell);

  const Clock& m_clock;

  /** From the widest level to the narrowest. */
  std::array<AnswerLengthTable, kLevels> m_levels;

  PredictionError m_errors;

  /** Where TakeRows continues. */
  std::size_t m_next_level = 0;
  std::size_t m_next_cell = 0;
};

}  // namespace zinnia
