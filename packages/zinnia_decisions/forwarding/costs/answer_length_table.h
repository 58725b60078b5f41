#pragma once

#include <cstddef>
#include <vector>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/forwarding/costs/answer_length_report.h"

namespace zinnia {

/** A fixed number of cells that count answers, found by hash.

    A cell belongs to one id at a time, so that ids whose hashes collide do not mix. An id finds no
    cell if all of its places belong to ids with more recent answers.
*/
class AnswerLengthTable {
 public:
  struct Cell {
    AnswerLengthCellId id = 0;
    TimePoint own_at{};
    TimePoint others_at{};

    /** Answers of this instance, decayed to `own_at`. */
    AnswerLengthCounts own;

    /** Answers of all other instances, as last reported. */
    AnswerLengthCounts others;

    /** Weight of the own answers in wider cells, decayed to `own_at`. */
    double in_wider = 0.0;

    /** Whether `own` has changed since it was taken for a report. */
    bool is_changed = false;
  };

  /** `cells`: a multiple of the number of places of an id. */
  AnswerLengthTable(const Clock& clock, std::size_t cells) : m_clock(clock), m_size(cells) {}

  /** Returns null if the id has no cell. */
  const Cell* Find(AnswerLengthCellId id) const;

  /** Finds or makes the id's cell; null if all of its places are taken. */
  Cell* Take(AnswerLengthCellId id);

  /** Decays what the cell has of this instance to now. */
  void Decay(Cell& cell) const;

  /** The answers of this instance, decayed to now. */
  AnswerLengthCounts Own(const Cell& cell) const;

  /** The answers of all instances, decayed to now. */
  AnswerLengthCounts Total(const Cell& cell) const;

  /** Cells in use come in no particular order; free ones have the id 0. */
  std::vector<Cell>& Cells() { return m_cells; }

 private:
  std::size_t FirstPlace(AnswerLengthCellId id) const;

  const Clock& m_clock;
  const std::size_t m_size;

  /** Empty until the first use: instances without prioritized services need none. */
  std::vector<Cell> m_cells;
};

}  // namespace zinnia
