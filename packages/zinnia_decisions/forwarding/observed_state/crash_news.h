#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <tuple>
#include <vector>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/forwarding/crashes/crash_onset.h"
#include "zinnia_decisions/forwarding/crashes/crash_report.h"
#include "zinnia_decisions/forwarding/crashes/suspect_kind.h"
#include "zinnia_decisions/forwarding/observed_state/news_memory.h"

namespace zinnia {

/** The crash reports that an instance passes on to its peers for a short time, each once known, and
    the suspects that turned out not to cause crashes.
    Bounded, as all servers of a failure domain may crash at once; for each kind of suspect by
    itself, so that those of one kind leave no less room to the other. */
class CrashNews {
 public:
  /** Maximum rows of each kind of suspect in one report to a peer. */
  static constexpr std::size_t kMaxReports = 64;

  explicit CrashNews(const Clock& clock) : m_clock(clock), m_kinds{News(clock), News(clock)} {}

  /** Records the reports that were unknown and are recent, and returns them. */
  std::vector<CrashReport> TakeNew(const std::vector<CrashReport>& crashes);

  /** Records the cleared suspects that were unknown, and returns them. */
  std::vector<ClearedRequest> TakeNewlyCleared(const std::vector<ClearedRequest>& requests);
  std::vector<ClearedRequest> RecentlyCleared();

  /** Returns the reports for the next message; of each kind those that had just begun first, then
      the latest crashes. */
  std::vector<CrashReport> Recent();

 private:
  /** With the onset for a part of a prompt, else kUnknown. Several instances have streams on one
     part at one server, and one of them that had just begun says more than those that were queued.
   */
  using Key = std::tuple<Fingerprint, BackendServerName, CrashOnset>;
  struct Entry {
    CrashReport report;
    TimePoint crashed_at{};
  };

  struct Cleared {
    TimePoint ended_at{};
    TimePoint heard_at{};
  };

  /** The news about suspects of one kind. */
  struct News {
    explicit News(const Clock& clock) : known_crashes(clock), known_cleared(clock) {}

    NewsMemory<Key> known_crashes;
    NewsMemory<Fingerprint> known_cleared;

    /** What is passed on. */
    std::map<Key, Entry> crashes;
    std::map<Fingerprint, Cleared> cleared;
  };

  static Key KeyOf(const CrashReport& crash);
  News& NewsOf(SuspectKind kind) { return m_kinds.at(static_cast<std::size_t>(kind)); }
  void AppendRecent(const News& news, std::vector<CrashReport>& reports) const;
  void RemoveOld();

  const Clock& m_clock;
  std::array<News, kSuspectKinds.size()> m_kinds;
};

}  // namespace zinnia
