#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "zinnia_base/decisions/decision_record.h"

namespace zinnia {

class Logger;

/** Bounds of a DecisionLog. */
struct DecisionLogLimits {
  std::size_t most_records = 20'000;
  std::size_t most_bytes = 8'388'608;
};

/** Keeps the latest decisions in memory for `explain` and writes a log line for each.

    Safe from any thread. The oldest records go when there are too many or they take too much; long
    texts in a record are cut, so that no single one pushes out the rest. Decisions about a session
    or request are logged at the level debug (there are several for each request), all others at
    info.

    @see OperatorDesk::Explain
*/
class DecisionLog final : public DecisionRecorder {
 public:
  explicit DecisionLog(Logger& logger, DecisionLogLimits limits = {});

  void Record(DecisionRecord record) override;

  /** All kept decisions about a subject ("session s-1"), oldest first; empty if there are none. */
  std::vector<DecisionRecord> Find(const std::string& subject) const;

  /** The latest decisions, oldest first. */
  std::vector<DecisionRecord> Latest(std::size_t most) const;

  std::size_t size() const;
  std::size_t bytes() const;

 private:
  void Append(DecisionRecord record);
  void DropOldest();
  const DecisionRecord& At(std::uint64_t sequence) const;

  Logger& m_logger;
  const DecisionLogLimits m_limits;
  mutable std::mutex m_mutex;
  std::deque<DecisionRecord> m_records;
  std::uint64_t m_first_sequence = 0;
  std::size_t m_bytes = 0;
  std::set<std::pair<std::string, std::uint64_t>> m_by_subject;
};

}  // namespace zinnia
