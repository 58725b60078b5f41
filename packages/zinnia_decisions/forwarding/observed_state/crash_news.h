#pragma once

#include <map>
#include <utility>
#include <vector>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/forwarding/crashes/crash_report.h"
#include "zinnia_decisions/forwarding/observed_state/news_memory.h"

namespace zinnia {

/** The crash reports that an instance passes on to its peers for a short time, each once known, and
    the requests that turned out not to cause crashes.
    Bounded, as all servers of a failure domain may crash at once. */
class CrashNews {
 public:
  /** Maximum rows in one report to a peer. */
  static constexpr std::size_t kMaxReports = 64;

  explicit CrashNews(const Clock& clock)
      : m_clock(clock), m_known_crashes(clock), m_known_cleared(clock) {}

  /** Records the reports that were unknown and are recent, and returns them. */
  std::vector<CrashReport> TakeNew(const std::vector<CrashReport>& crashes);

  /** Records the cleared requests that were unknown, and returns them. */
  std::vector<ClearedRequest> TakeNewlyCleared(const std::vector<ClearedRequest>& requests);
  std::vector<ClearedRequest> RecentlyCleared();

  /** Returns the reports for the next message: requests that had just begun first, then the latest
      crashes. */
  std::vector<CrashReport> Recent();

 private:
  using Key = std::pair<Fingerprint, BackendServerName>;
  struct Entry {
    CrashReport report;
    TimePoint crashed_at{};
  };

  struct Cleared {
    TimePoint ended_at{};
    TimePoint heard_at{};
  };

  void RemoveOld();

  const Clock& m_clock;
  NewsMemory<Key> m_known_crashes;
  NewsMemory<Fingerprint> m_known_cleared;

  /** What is passed on. */
  std::map<Key, Entry> m_entries;
  std::map<Fingerprint, Cleared> m_cleared;
};

}  // namespace zinnia
