#include "zinnia_decisions/forwarding/costs/answer_length_exchange.h"

#include <algorithm>
#include <iterator>

#include "zinnia_decisions/forwarding/costs/answer_length_decay.h"

namespace zinnia {
namespace {

/** Rows are dropped after this time without a new one; less than a hundredth of the counts is left
    then. */
constexpr Duration kRowLifetime = 7 * kAnswerLengthHalfLife;
constexpr Duration kRemovalInterval = std::chrono::seconds(10);

/** Cells with less weight are not reported: they hardly change an estimate. */
constexpr double kLeastReportedWeight = 0.5;

/** Cells of organisations with this weight come before others to a recipient that has none yet. In
    the wider cells, which it has by then, they count with a fraction of it. */
constexpr double kHeavyWeight = 32.0;

/** Maximum number of cells that are added up for one report, which takes about 10 us each on a
   relay of 40 members. */
constexpr int kMaxCellsPerReport = 100;

}  // namespace

void AnswerLengthExchange::Replace(Rows& rows, const std::vector<AnswerLengthRow>& changed) {
  RemoveOld();
  for (const AnswerLengthRow& row : changed) {
    rows[row.cell] = {m_clock.Now(), row.counts};
    if (rows.size() > kMaxRowsPerSender) {
      rows.erase(std::prev(rows.end()));
    }
  }
}

bool AnswerLengthExchange::Apply(const Instance& sender,
                                 bool is_same_domain,
                                 const AnswerLengthReport& report) {
  if (report.rows.empty()) {
    return false;
  }
  Peer& peer = m_peers[sender.name];
  peer.used_at = m_clock.Now();
  if (peer.start != sender.start) {
    peer.start = sender.start;
    peer.sequence = 0;
    peer.cursor = 0;
    peer.has_widest = false;
  }
  if (report.sequence <= peer.sequence) {
    return false;
  }
  peer.sequence = report.sequence;
  if (report.scope == AnswerLengthScope::kSender && is_same_domain) {
    Replace(peer.rows, report.rows);
  } else if (report.scope == AnswerLengthScope::kDomain && !is_same_domain) {
    Domain& domain = m_domains[sender.failure_domain];
    domain.used_at = m_clock.Now();
    Replace(domain.rows, report.rows);
  }
  return true;
}

AnswerLengthReport AnswerLengthExchange::ReportFor(AnswerLengthScope scope,
                                                   const InstanceName& recipient,
                                                   bool is_own_instance) {
  AnswerLengthReport report;
  report.scope = scope;
  report.sequence = ++m_sequence;
  RemoveOld();
  Peer& peer = m_peers[recipient];
  peer.used_at = m_clock.Now();
  const AnswerLengthCellId begin = peer.cursor;
  bool has_wrapped = false;
  for (int cells = 0;
       cells < kMaxCellsPerReport && report.rows.size() < AnswerLengthReport::kMaxRows; ++cells) {
    const auto cell = NextCell(scope, peer.cursor);
    if (!cell) {
      peer.cursor = 0;
      peer.has_widest = true;
      if (has_wrapped || begin == 0) {
        break;
      }
      has_wrapped = true;
      continue;
    }
    if (has_wrapped && *cell > begin) {
      break;
    }
    peer.cursor = *cell;
    AnswerLengthCounts sum = SumFor(scope, recipient, is_own_instance, *cell);
    const bool is_narrow = AnswerLengthLevelOf(*cell) + 1 == kAnswerLengthLevels;
    if (sum.EndedInAll() >= (is_narrow && !peer.has_widest ? kHeavyWeight : kLeastReportedWeight)) {
      report.rows.push_back({*cell, sum});
    }
  }
  return report;
}

std::optional<AnswerLengthCellId> AnswerLengthExchange::NextCell(AnswerLengthScope scope,
                                                                 AnswerLengthCellId after) const {
  std::optional<AnswerLengthCellId> next;
  const auto look_in = [&](const Rows& rows) {
    const auto found = rows.upper_bound(after);
    if (found != rows.end() && (!next || found->first < *next)) {
      next = found->first;
    }
  };
  look_in(m_own);
  if (scope == AnswerLengthScope::kSender) {
    return next;
  }
  for (const auto& [name, peer] : m_peers) {
    look_in(peer.rows);
  }
  if (scope == AnswerLengthScope::kOthers) {
    for (const auto& [name, domain] : m_domains) {
      look_in(domain.rows);
    }
  }
  return next;
}

void AnswerLengthExchange::AddTo(AnswerLengthCounts& sum,
                                 const Rows& rows,
                                 AnswerLengthCellId cell) const {
  const auto found = rows.find(cell);
  if (found != rows.end()) {
    AnswerLengthCounts counts = found->second.counts;
    counts.Scale(AnswerLengthDecay(m_clock.Now() - found->second.at));
    sum.Add(counts);
  }
}

AnswerLengthCounts AnswerLengthExchange::SumFor(AnswerLengthScope scope,
                                                const InstanceName& recipient,
                                                bool is_own_instance,
                                                AnswerLengthCellId cell) const {
  AnswerLengthCounts sum;
  if (!is_own_instance) {
    AddTo(sum, m_own, cell);
  }
  if (scope == AnswerLengthScope::kSender) {
    return sum;
  }
  for (const auto& [name, peer] : m_peers) {
    if (scope == AnswerLengthScope::kDomain || name != recipient) {
      AddTo(sum, peer.rows, cell);
    }
  }
  if (scope == AnswerLengthScope::kOthers) {
    for (const auto& [name, domain] : m_domains) {
      AddTo(sum, domain.rows, cell);
    }
  }
  return sum;
}

void AnswerLengthExchange::RemoveOld() {
  const TimePoint now = m_clock.Now();
  if (now - m_removed_at < kRemovalInterval) {
    return;
  }
  m_removed_at = now;
  const auto remove_old_rows = [now](Rows& rows) {
    std::erase_if(rows, [now](const auto& row) { return now - row.second.at > kRowLifetime; });
  };
  remove_old_rows(m_own);
  for (auto& [name, peer] : m_peers) {
    remove_old_rows(peer.rows);
  }
  for (auto& [name, domain] : m_domains) {
    remove_old_rows(domain.rows);
  }
  const auto is_unused = [now](const auto& entry) {
    return now - entry.second.used_at > kRowLifetime;
  };
  std::erase_if(m_peers, is_unused);
  std::erase_if(m_domains, is_unused);
}

}  // namespace zinnia
