#include "zinnia_decisions/forwarding/costs/answer_length_model.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <optional>
#include <string>

#include "zinnia_base/hashing/fingerprint.h"
#include "zinnia_decisions/forwarding/costs/answer_length_decay.h"

namespace zinnia {
namespace {

/** Cells by level, from the widest. Fleets have some tens of routes, eight hint buckets in use per
    route, and hundreds of organisations; a cell takes 568 bytes. */
constexpr std::size_t kRouteCells = 32;
constexpr std::size_t kHintCells = 224;
constexpr std::size_t kOrganisationCells = 768;

/** Weight of the wider cell's hazard in answers. */
constexpr double kPriorWeight = 2.0;

/** An organisation's share in wider cells is at most this many answers of each hint bucket. Small
    ones have that many or fewer, and count in full. */
constexpr double kOrganisationWeight = 16.0;

/** Weight in wider cells of an answer whose organisation has no cell of its own, as those of more
    active ones take all places. It may be a large one. */
constexpr double kUntrackedWeight = 0.1;

/** Standard deviation of the logarithm of the length around the hint, and around the mean. */
constexpr double kHintSpread = 0.5;
constexpr double kMeanSpread = 0.8;

/** Mean length if not even the service's mean is known, in tokens. */
constexpr double kDefaultLength = 200.0;

constexpr double kTail = 0.1;  // For the 90th percentile.

/** One bucket per octave; 0 for none. */
std::uint64_t HintBucket(const std::optional<std::uint32_t>& hint) {
  return hint ? 1 + static_cast<std::uint64_t>(std::round(std::log2(std::max(1U, *hint)))) : 0;
}

double UnlimitedLength(const AnswerKey& key) {
  if (key.hint) {
    return *key.hint;
  }
  return key.usual_tokens > 0.0 ? key.usual_tokens : kDefaultLength;
}

/** By how much a hint exceeds the centre of its bucket. Cells of hints count lengths divided by it,
    as a hint at the upper end of a bucket is followed by longer answers than one at the lower. */
double HintScale(const std::optional<std::uint32_t>& hint) {
  if (!hint) {
    return 1.0;
  }
  const double exponent = std::log2(std::max(1U, *hint));
  return std::exp2(exponent - std::round(exponent));
}

AnswerLengthCellId MakeId(std::size_t level, std::uint64_t hash) {
  constexpr std::uint64_t kHashBits = (std::uint64_t{1} << kAnswerLengthLevelShift) - 1;
  return (static_cast<std::uint64_t>(level + 1) << kAnswerLengthLevelShift) | (hash & kHashBits);
}

double NormalTail(double deviation) {
  return 0.5 * std::erfc(deviation / std::numbers::sqrt2);
}

/** The bin of route cells that has the lengths of a bin of hint cells. */
std::size_t UnscaledBin(std::size_t bin, double scale) {
  const double centre = std::sqrt(std::max(1.0, AnswerLengthCounts::LowerBound(bin)) *
                                  AnswerLengthCounts::UpperBound(bin));
  return AnswerLengthCounts::BinOf(centre * scale);
}

/** Mean of lengths between two bounds that are evenly distributed on a logarithmic scale. */
double MeanLength(double lower, double upper) {
  return lower < 1.0 || upper - lower < 1.0 ? 0.5 * (lower + upper)
                                            : (upper - lower) / std::log(upper / lower);
}

}  // namespace

AnswerLengthModel::AnswerLengthModel(const Clock& clock)
    : m_clock(clock),
      m_levels{AnswerLengthTable(clock, kRouteCells), AnswerLengthTable(clock, kHintCells),
               AnswerLengthTable(clock, kOrganisationCells)},
      m_errors(clock) {}

AnswerLengthModel::CellIds AnswerLengthModel::CellsOf(const AnswerKey& key) {
  const std::uint64_t route = Hash64(key.route, Hash64(key.service));
  const std::uint64_t hint = Hash64(std::to_string(HintBucket(key.hint)), route);
  return {MakeId(0, route), MakeId(1, hint), MakeId(2, Hash64(key.organisation, hint))};
}

double AnswerLengthModel::UnlearnedLength(const AnswerKey& key) {
  const double length = UnlimitedLength(key);
  return key.most_tokens > 0 ? std::min<double>(length, key.most_tokens) : length;
}

AnswerLengthModel::Hazards AnswerLengthModel::PriorHazards(const AnswerKey& key) {
  const double spread = key.hint ? kHintSpread : kMeanSpread;
  const double centre =
      std::log(std::max(1.0, UnlimitedLength(key) / HintScale(key.hint))) - spread * spread / 2.0;
  Hazards hazards{};
  double surviving = 1.0;
  for (std::size_t bin = 0; bin + 1 < hazards.size(); ++bin) {
    const double after =
        NormalTail((std::log(AnswerLengthCounts::UpperBound(bin)) - centre) / spread);
    // Far beyond the estimate the tail vanishes; such answers are no longer predictable.
    hazards[bin] = surviving > 1e-9 ? 1.0 - after / surviving : 0.5;
    surviving = after;
  }
  hazards.back() = 1.0;
  return hazards;
}

AnswerLengthModel::Hazards AnswerLengthModel::HazardsOf(const AnswerKey& key) const {
  Hazards hazards = PriorHazards(key);
  const double scale = HintScale(key.hint);
  const CellIds ids = CellsOf(key);
  for (std::size_t level = 0; level < kLevels; ++level) {
    const AnswerLengthTable::Cell* cell = m_levels[level].Find(ids[level]);
    if (cell == nullptr) {
      continue;
    }
    const AnswerLengthCounts counts = m_levels[level].Total(*cell);
    for (std::size_t bin = 0; bin + 1 < hazards.size(); ++bin) {
      const std::size_t counted = level == 0 ? UnscaledBin(bin, scale) : bin;
      const double ended = counts.Ended(counted);
      const double at_risk = ended + counts.Passed(counted);
      hazards[bin] = (ended + kPriorWeight * hazards[bin]) / (at_risk + kPriorWeight);
    }
  }
  return hazards;
}

RemainingTokens AnswerLengthModel::Expect(const AnswerKey& key, double sent) const {
  const double scale = HintScale(key.hint);
  const double start = std::max(0.0, sent) / scale;
  const double limit = key.most_tokens > 0
                           ? key.most_tokens / scale
                           : AnswerLengthCounts::UpperBound(AnswerLengthCounts::kBins - 1);
  const Hazards hazards = HazardsOf(key);
  RemainingTokens remaining;
  double surviving = 1.0;
  double lower = start;
  bool has_p90 = false;
  for (std::size_t bin = AnswerLengthCounts::BinOf(start); bin < hazards.size(); ++bin) {
    const double bin_lower = AnswerLengthCounts::LowerBound(bin);
    const double upper = std::max(lower, AnswerLengthCounts::UpperBound(bin));
    double hazard = hazards[bin];
    if (lower > bin_lower && hazard < 1.0) {
      // Only a part of the bin is left, of which the answer may end.
      const double part = bin_lower > 0.0 ? std::log(upper / lower) / std::log(upper / bin_lower)
                                          : (upper - lower) / upper;
      hazard = 1.0 - std::pow(1.0 - hazard, part);
    }
    const double length = std::min(MeanLength(lower, upper), std::max(limit, start));
    remaining.mean += surviving * hazard * (length - start);
    const double after = surviving * (1.0 - hazard);
    if (!has_p90 && after <= kTail) {
      const double part = surviving > after ? (surviving - kTail) / (surviving - after) : 1.0;
      const double p90 = lower + std::clamp(part, 0.0, 1.0) * (upper - lower);
      remaining.p90 = std::max(0.0, std::min(p90, limit) - start);
      has_p90 = true;
    }
    surviving = after;
    lower = upper;
  }
  remaining.mean *= scale;
  remaining.p90 *= scale;
  return remaining;
}

void AnswerLengthModel::OnGrown(const AnswerKey& key, double before, double now) {
  const double scale = HintScale(key.hint);
  if (AnswerLengthCounts::BinOf(before) != AnswerLengthCounts::BinOf(now) ||
      AnswerLengthCounts::BinOf(before / scale) != AnswerLengthCounts::BinOf(now / scale)) {
    Learn(key, before, now, false);
  }
}

void AnswerLengthModel::OnEnded(const AnswerKey& key, double tokens) {
  if (key.most_tokens == 0 || tokens < key.most_tokens) {
    Learn(key, tokens, tokens, true);
  }
  // Else cut off by the caller's limit, which is no evidence but that it would be longer.
}

void AnswerLengthModel::Learn(const AnswerKey& key, double before, double now, bool has_ended) {
  const CellIds ids = CellsOf(key);
  const double scale = HintScale(key.hint);
  double weight = 1.0;
  for (std::size_t level = kLevels; level-- > 0;) {
    AnswerLengthTable& table = m_levels[level];
    AnswerLengthTable::Cell* cell = table.Take(ids[level]);
    const bool is_organisation = level + 1 == kLevels;
    if (cell == nullptr) {
      weight = is_organisation ? kUntrackedWeight : weight;
      continue;
    }
    table.Decay(*cell);
    const double next_weight = is_organisation ? WeightInWiderCells(table, *cell) : weight;
    const double divisor = level == 0 ? 1.0 : scale;
    const std::size_t last = AnswerLengthCounts::BinOf(now / divisor);
    for (std::size_t bin = AnswerLengthCounts::BinOf(before / divisor); bin < last; ++bin) {
      cell->own.AddPassed(bin, weight);
    }
    if (has_ended) {
      cell->own.AddEnded(last, weight);
      cell->in_wider += next_weight;
    }
    cell->is_changed = true;
    weight = next_weight;
  }
}

double AnswerLengthModel::WeightInWiderCells(const AnswerLengthTable& table,
                                             const AnswerLengthTable::Cell& cell) {
  // The bound holds for all instances together, so each has the part of it that it has of the
  // answers.
  const double part = (cell.own.EndedInAll() + 1.0) / (table.Total(cell).EndedInAll() + 1.0);
  return std::max(0.0, 1.0 - cell.in_wider / (kOrganisationWeight * part));
}

std::vector<AnswerLengthRow> AnswerLengthModel::TakeRows(std::size_t max_rows) {
  std::vector<AnswerLengthRow> rows;
  for (std::size_t steps = 0; steps <= kRouteCells + kHintCells + kOrganisationCells; ++steps) {
    AnswerLengthTable& table = m_levels[m_next_level];
    if (m_next_cell >= table.Cells().size()) {
      m_next_cell = 0;
      m_next_level = (m_next_level + 1) % kLevels;
      continue;
    }
    if (rows.size() == max_rows) {
      break;
    }
    AnswerLengthTable::Cell& cell = table.Cells()[m_next_cell++];
    if (cell.is_changed) {
      cell.is_changed = false;
      rows.push_back({cell.id, table.Own(cell)});
    }
  }
  return rows;
}

void AnswerLengthModel::SetOthers(const std::vector<AnswerLengthRow>& rows) {
  for (const AnswerLengthRow& row : rows) {
    const std::size_t level = AnswerLengthLevelOf(row.cell);
    if (level >= kLevels) {
      continue;  // Of a later version.
    }
    if (AnswerLengthTable::Cell* cell = m_levels[level].Take(row.cell)) {
      cell->others = row.counts;
      cell->others_at = m_clock.Now();
    }
  }
}

}  // namespace zinnia
