#pragma once

#include <map>
#include <memory>
#include <string>

#include "zinnia_base/time/clock.h"
#include "zinnia_base/time/scheduler.h"
#include "zinnia_decisions/forwarding/layers_news.h"
#include "zinnia_world/forwarding/server_entry.h"

namespace zinnia {

class Logger;

/** Which backend servers exist: the registered ones, with care about entries that vanish around an
    outage of the store.

    Entries carry a lease of their server, and leases may lapse while the store is away although the
    server lives. Dropping them at once would empty the directory when the store comes back, and one
    would notice refusals of everything for seconds. So a removal that is seen within
    `kDoubtAfterFailure` of a failed call waits that long for the entry to come back.
*/
class ServerDirectory {
 public:
  /** A little over the two seconds within which lapsed entries return. */
  static constexpr Duration kDoubtAfterFailure = std::chrono::milliseconds(2'300);

  using Servers = std::map<BackendServerName, ServerEntry>;

  ServerDirectory(Scheduler& scheduler, Logger& logger)
      : m_scheduler(scheduler), m_logger(logger) {}

  void Put(ServerEntry entry);

  /** Whether this changes what is known. The next entry that is put counts again. */
  bool NoteLayers(const LayersNews& news);

  /** `in_doubt`: the store failed lately. `changed` is called if the removal is carried out later.
   */
  void Remove(const BackendServerName& server, bool in_doubt, std::function<void()> changed);

  const Servers& All() const { return m_servers; }

 private:
  void Drop(const BackendServerName& server, const char* reason);

  Scheduler& m_scheduler;
  Logger& m_logger;
  Servers m_servers;
  std::map<BackendServerName, std::unique_ptr<ScheduledCall>> m_doubtful;
};

}  // namespace zinnia
