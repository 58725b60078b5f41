#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/forwarding/server_use.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** What all instances together have in flight at each server: the own part exact, the others' as
    they last reported it.

    Choosing by the own part alone would fill the best server from every instance at once; one
    notices bursts of refusals while other servers idle. Reports older than `kPeerReportLifetime`
    no longer count, so that a dead instance does not block memory that its requests gave back.
*/
class LoadBook {
 public:
  /** A few times the interval at which peers of other failure domains take turns. */
  static constexpr Duration kPeerReportLifetime = std::chrono::seconds(3);

  using Uses = std::map<BackendServerName, ServerUse>;

  explicit LoadBook(const Clock& clock) : m_clock(clock) {}

  void Add(const BackendServerName& server, double token_layers);

  /** Undoes one Add. */
  void Remove(const BackendServerName& server, double token_layers);

  /** Replaces what that instance reported before. */
  void SetPeerUses(const InstanceName& instance, Uses uses);

  /** The sum over all instances. */
  ServerUse UseOf(const BackendServerName& server) const;

  const Uses& Own() const { return m_own; }

 private:
  struct PeerReport {
    TimePoint received_at{};
    Uses uses;
  };

  const Clock& m_clock;
  Uses m_own;
  std::map<InstanceName, PeerReport> m_peers;
};

}  // namespace zinnia
