#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "zinnia_base/time/clock.h"
#include "zinnia_base/time/scheduler.h"
#include "zinnia_decisions/forwarding/beliefs/server_state_report.h"
#include "zinnia_world/forwarding/server_entry.h"

namespace zinnia {

class Logger;

/** Which backend servers exist: the registered ones, one start of each.

    Three things can go wrong with entries, and each has its care here.

    Entries carry a lease of their server, and leases may lapse while the store is away although the
    server lives. Dropping them at once would empty the directory when the store comes back, and one
    would notice refusals of everything for seconds. So a removal that is seen within
    `kDoubtAfterFailure` of a failed call waits that long for the entry to come back.

    A server may start again under its registration. The earlier start is over at once, and with it
    all that ran there: waiting for its silence would cost each of its streams most of a second.

    A server that is to end while the store is away cannot say so there. It refuses new work all the
    same, and who asks it hears that it leaves; see NoteServerNews.

    A write of an earlier start may reach the store after the first one of a later start, as may a
    later start's whose clock is behind. Both look alike. So an entry that began before the known
    one waits for `kEarlierStartBelieved`: a server that lives has written again by then.
*/
class ServerDirectory {
 public:
  /** A little over the two seconds within which lapsed entries return. */
  static constexpr Duration kDoubtAfterFailure = std::chrono::milliseconds(2'300);

  /** Two of the servers' usual intervals between writes, 1.2 s. */
  static constexpr Duration kEarlierStartBelieved = std::chrono::milliseconds(2'500);

  /** As long as most outages of the store, in which servers cannot announce that they leave. */
  static constexpr Duration kHeardLeavingBelieved = std::chrono::milliseconds(6'000);

  /** Ended starts are remembered for those who still run requests there; more is never asked. */
  static constexpr std::size_t kMostEnded = 256;

  using Servers = std::map<BackendServerName, ServerEntry>;

  ServerDirectory(Scheduler& scheduler, Logger& logger)
      : m_scheduler(scheduler), m_logger(logger) {}

  /** `changed` is called if the entry is taken in later. */
  void Put(ServerEntry entry, std::function<void()> changed);

  /** Whether this changes what is known. The next entry that is put counts again. That a server
      leaves is believed for `kHeardLeavingBelieved` after it was last heard; `changed` is called
      when that is over. */
  bool NoteServerNews(const ServerStateReport& news, std::function<void()> changed);

  /** `in_doubt`: the store failed lately. `changed` is called if the removal is carried out later.
   */
  void Remove(const std::string& registration, bool in_doubt, std::function<void()> changed);

  /** The registration's record cannot be read: whatever wrote it, no server is known there now. */
  void Invalidate(const std::string& registration);

  const Servers& All() const { return m_servers; }

  /** Starts whose server is known to have started again since. */
  const std::set<BackendServerName>& Ended() const { return m_ended; }

 private:
  const ServerEntry* Known(const std::string& registration) const;
  void TakeIn(ServerEntry entry);
  void End(const BackendServerName& start);
  void Drop(const std::string& registration, const char* reason);
  bool NoteLeaving(ServerEntry& server, std::function<void()> changed);
  void Postpone(const std::string& registration, Duration delay, std::function<void()> act);

  Scheduler& m_scheduler;
  Logger& m_logger;
  Servers m_servers;

  /** By registration, the present start. */
  std::map<std::string, BackendServerName> m_present;
  std::set<BackendServerName> m_ended;

  /** Servers that leave by hearsay alone, and the end of that belief. */
  std::map<BackendServerName, std::unique_ptr<ScheduledCall>> m_heard_leaving;

  /** By registration, what is to happen unless another entry comes first. */
  std::map<std::string, std::unique_ptr<ScheduledCall>> m_postponed;
};

}  // namespace zinnia
