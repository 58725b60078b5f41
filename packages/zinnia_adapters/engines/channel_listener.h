#pragma once

#include <cstdint>

#include "zinnia_decisions/ports/in_flight_at_crash.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

struct ServerRatesReport;

/** Hears what the engine links notice of backend servers. Called on the traffic thread, so it must
    not wait: an implementation posts to the control thread.

    @see HttpStageLinks
*/
class ChannelListener {
 public:
  virtual ~ChannelListener() = default;

  /** The server crashed; `in_flight` names the requests whose steps were sent and not answered.
      `incarnation` is the one that crashed, 0 if it was never learned. */
  virtual void OnServerCrashed(const BackendServerName& server,
                               std::uint64_t incarnation,
                               InFlightAtCrash in_flight) = 0;

  /** It missed a deadline or lost a connection, and has not answered since. */
  virtual void OnServerSuspect(const BackendServerName& server) = 0;
  virtual void OnServerRecovered(const BackendServerName& server) = 0;

  virtual void OnServerLoad(const BackendServerName& server,
                            std::uint32_t running,
                            std::uint32_t queued) = 0;

  /** How fast the server was measured to be, now and then while it answers. */
  virtual void OnServerRates(const BackendServerName& server, const ServerRatesReport& rates) = 0;
  virtual void OnServerLeaving(const BackendServerName& server) = 0;
};

}  // namespace zinnia
