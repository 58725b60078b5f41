#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "zinnia_base/time/clock.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** What the traffic itself says about servers: which to avoid for a while, and which fail often.

    Health checks are not asked: a server may answer them well and fail its requests, or the
    reverse. Evidence decays, so that a server that recovered gets a try again.
*/
class ServerHealth {
 public:
  explicit ServerHealth(const Clock& clock) : m_clock(clock) {}

  /** Strong evidence (cannot be reached, silent, named as stalled): no requests for `duration`. */
  void Exclude(const BackendServerName& server, Duration duration);

  /** A request at the server ended well, or failed through its fault. */
  void OnOutcome(const BackendServerName& server, bool good);

  /** A request that began at the server had its first event after so long. */
  void OnFirstEvent(const BackendServerName& server, Duration delay);

  /** The usual delay of first events lately; zero if none is known. */
  Duration FirstEventDelay(const BackendServerName& server) const;

  bool IsExcluded(const BackendServerName& server) const;

  /** The share of its recent requests that failed, 0 to 1. */
  double FailureShare(const BackendServerName& server) const;

 private:
  struct Record {
    TimePoint excluded_until{};
    TimePoint changed_at{};
    double failure_share = 0.0;
    double first_event_ms = 0.0;
  };

  Record& Touch(const BackendServerName& server);

  const Clock& m_clock;
  std::map<BackendServerName, Record> m_records;
};

}  // namespace zinnia
