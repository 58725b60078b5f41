#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "zinnia_decisions/forwarding/costs/answer_length_counts.h"

namespace zinnia {

/** Identifies a cell of AnswerLengthModel. The highest bits are the number of the cell's level, so
    that the widest cells come first. */
using AnswerLengthCellId = std::uint64_t;

/** Number of levels: route; route and hint; route, hint and organisation. */
inline constexpr std::size_t kAnswerLengthLevels = 3;

/** Position of the level in an id. Levels count from 1 there, since id 0 marks a free cell. */
inline constexpr unsigned kAnswerLengthLevelShift = 62;

/** From 0 for the widest cells; not below kAnswerLengthLevels if the id has no level. */
inline constexpr std::size_t AnswerLengthLevelOf(AnswerLengthCellId id) {
  return static_cast<std::size_t>(id >> kAnswerLengthLevelShift) - 1;
}

/** All that is known of the answers of one cell, decayed to the time of sending. */
struct AnswerLengthRow {
  AnswerLengthCellId cell = 0;
  AnswerLengthCounts counts;
};

/** Whose answers the rows of a report count. */
enum class AnswerLengthScope : std::uint8_t {
  kSender = 0,

  /** All instances of the sender's failure domain. */
  kDomain = 1,

  /** All instances but the recipient. */
  kOthers = 2
};

/** Some rows of what a sender knows of the lengths of answers. Rows are totals: each replaces the
    sender's earlier row for the same cell. */
struct AnswerLengthReport {
  /** Maximum number of rows in one report, which are 400 bytes or less on average. */
  static constexpr std::size_t kMaxRows = 7;

  AnswerLengthScope scope = AnswerLengthScope::kSender;

  /** Increases with each report of one run of the sender, so that older ones are recognized. */
  std::uint64_t sequence = 0;
  std::vector<AnswerLengthRow> rows;
};

}  // namespace zinnia
