#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/forwarding/costs/answer_length_report.h"
#include "zinnia_world/fleet/instance.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** What instances have counted of the lengths of answers, as each last reported it, and the sums
    that a relay sends on.

    A report has the next few rows of those that its recipient is to know: the widest cells first,
    then those of large organisations, so that an instance that has just started soon has an
    estimate for each route and hint. All rows are totals and replace the sender's earlier ones; a
    report that is older than another of its sender is ignored. Counts decay by the time since they
    were received. A sender that falls silent or is restarted thus leaves counts that fade.

    Used on the control thread only. */
class AnswerLengthExchange {
 public:
  /** Maximum number of rows that are kept of each sender, about 80 kB. Those of the widest cells
      are kept. */
  static constexpr std::size_t kMaxRowsPerSender = 256;

  explicit AnswerLengthExchange(const Clock& clock) : m_clock(clock) {}

  /** Sets rows of this instance that have changed. */
  void SetOwn(const std::vector<AnswerLengthRow>& rows) { Replace(m_own, rows); }

  /** Takes over a report of a member of the own domain, or of another domain's relay. Rows of scope
      kOthers are not kept. Returns whether the report is newer than its sender's others. */
  bool Apply(const Instance& sender, bool is_same_domain, const AnswerLengthReport& report);

  /** The next rows for a recipient. Those of kOthers leave out what it has reported; for this
      instance itself, what SetOwn has set. */
  AnswerLengthReport ReportFor(AnswerLengthScope scope,
                               const InstanceName& recipient,
                               bool is_own_instance = false);

 private:
  struct TimedCounts {
    TimePoint at{};
    AnswerLengthCounts counts;
  };
  using Rows = std::map<AnswerLengthCellId, TimedCounts>;

  /** Of an instance with which reports are exchanged. */
  struct Peer {
    TimePoint used_at{};
    std::uint64_t start = 0;
    std::uint64_t sequence = 0;

    /** The last cell that was reported to it. */
    AnswerLengthCellId cursor = 0;

    /** Whether it was sent all wide cells, and those of large organisations. */
    bool has_widest = false;
    Rows rows;
  };

  struct Domain {
    TimePoint used_at{};
    Rows rows;
  };

  void Replace(Rows& rows, const std::vector<AnswerLengthRow>& changed);
  void AddTo(AnswerLengthCounts& sum, const Rows& rows, AnswerLengthCellId cell) const;
  AnswerLengthCounts SumFor(AnswerLengthScope scope,
                            const InstanceName& recipient,
                            bool is_own_instance,
                            AnswerLengthCellId cell) const;
  std::optional<AnswerLengthCellId> NextCell(AnswerLengthScope scope,
                                             AnswerLengthCellId after) const;
  void RemoveOld();

  const Clock& m_clock;
  Rows m_own;
  std::map<InstanceName, Peer> m_peers;

  /** Sums of other domains, as last reported by one of their relays. */
  std::map<FailureDomainName, Domain> m_domains;
  std::uint64_t m_sequence = 0;
  TimePoint m_removed_at{};
};

}  // namespace zinnia
