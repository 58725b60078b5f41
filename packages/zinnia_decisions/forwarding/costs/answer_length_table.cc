#include "zinnia_decisions/forwarding/costs/answer_length_table.h"

#include <algorithm>

#include "zinnia_decisions/forwarding/costs/answer_length_decay.h"

namespace zinnia {
namespace {

/** Number of cells that may hold an id. */
constexpr std::size_t kPlaces = 4;

/** A cell with less weight may be given to another id: with fewer answers it hardly differs from
    the wider cell. */
constexpr double kReplaceableWeight = 2.0;

}  // namespace

std::size_t AnswerLengthTable::FirstPlace(AnswerLengthCellId id) const {
  return id % (m_size / kPlaces) * kPlaces;
}

const AnswerLengthTable::Cell* AnswerLengthTable::Find(AnswerLengthCellId id) const {
  if (m_cells.empty()) {
    return nullptr;
  }
  const auto first = m_cells.begin() + static_cast<std::ptrdiff_t>(FirstPlace(id));
  const auto found =
      std::find_if(first, first + kPlaces, [id](const Cell& cell) { return cell.id == id; });
  return found == first + kPlaces ? nullptr : &*found;
}

AnswerLengthTable::Cell* AnswerLengthTable::Take(AnswerLengthCellId id) {
  m_cells.resize(m_size);
  Cell* lightest = nullptr;
  double least = kReplaceableWeight;
  const std::size_t first = FirstPlace(id);
  for (std::size_t place = first; place < first + kPlaces; ++place) {
    Cell& cell = m_cells[place];
    if (cell.id == id) {
      return &cell;
    }
    const double weight = cell.id == 0 ? -1.0 : Total(cell).EndedInAll();
    if (weight < least) {
      least = weight;
      lightest = &cell;
    }
  }
  if (lightest != nullptr) {
    *lightest = {};
    lightest->id = id;
  }
  return lightest;
}

void AnswerLengthTable::Decay(Cell& cell) const {
  const double factor = AnswerLengthDecay(m_clock.Now() - cell.own_at);
  cell.own.Scale(factor);
  cell.in_wider *= factor;
  cell.own_at = m_clock.Now();
}

AnswerLengthCounts AnswerLengthTable::Own(const Cell& cell) const {
  AnswerLengthCounts counts = cell.own;
  counts.Scale(AnswerLengthDecay(m_clock.Now() - cell.own_at));
  return counts;
}

AnswerLengthCounts AnswerLengthTable::Total(const Cell& cell) const {
  AnswerLengthCounts counts = cell.others;
  counts.Scale(AnswerLengthDecay(m_clock.Now() - cell.others_at));
  counts.Add(Own(cell));
  return counts;
}

}  // namespace zinnia
