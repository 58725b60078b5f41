#pragma once

#include <map>
#include <set>

#include "zinnia_decisions/ports/engine_orders.h"
#include "zinnia_decisions/ports/instance_list.h"
#include "zinnia_world/fleet/server_load.h"

namespace zinnia {

struct ServerRatesReport;

/** The last known state of a backend server, from the platform's list and from its engine. */
struct ServerRow {
  BackendServer server;
  std::uint32_t missed_listings = 0;
  std::uint32_t failed_polls = 0;
  bool answers_polls = false;
  TimePoint last_answer{};
  TimePoint last_poll{};
  bool polled = false;
  ServerLoad load;
};

/** All backend servers of the platform's list, with the state reported by their engines.

    The list is only a hint: a server missing from several reads becomes suspect, and gone only if
    its engine does not answer either. A list that loses most of its rows at once makes no server
    gone. Incarnations never decrease, even if a later read is stale.
*/
class ServerTable {
 public:
  /** Applies a read of the list. Returns whether servers or their states changed. */
  bool OnListing(const InstanceListing& listing);

  /** Applies an engine's state. Returns whether its loaded range or its state changed. */
  bool OnEngineState(const BackendServerName& server, const EngineState& state, TimePoint now);

  /** Counts a failed poll. Returns whether the server's state changed. */
  bool OnPollFailed(const BackendServerName& server);

  /** Stores the load that came with an engine's answer. */
  void OnLoad(const BackendServerName& server,
              std::uint32_t running,
              std::uint32_t queued,
              TimePoint now);

  /** Stores measured rates; unknown ones keep their previous values. */
  void OnRates(const BackendServerName& server, const ServerRatesReport& rates);

  void RecordPoll(const BackendServerName& server, TimePoint now);

  /** Live, suspect or gone; never leaving. @see LeavingTracker */
  BackendServerState StateOf(const ServerRow& row) const;

  /** The highest known incarnation, or 0. */
  std::uint64_t IncarnationOf(const BackendServerName& server) const;

  const std::map<BackendServerName, ServerRow>& rows() const { return m_rows; }

  /** Incremented whenever servers are added, removed, moved or load another range. */
  std::uint64_t topology() const { return m_topology; }

 private:
  bool ApplyListed(const BackendServer& listed);
  bool CountMissing(const std::set<BackendServerName>& listed);
  void RemoveGone();

  std::map<BackendServerName, ServerRow> m_rows;
  std::uint64_t m_topology = 0;
};

}  // namespace zinnia
