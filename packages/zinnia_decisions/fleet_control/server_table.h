#pragma once

#include <map>
#include <set>

#include "zinnia_decisions/ports/engine_orders.h"
#include "zinnia_decisions/ports/instance_list.h"
#include "zinnia_world/fleet/server_load.h"

namespace zinnia {

struct ServerRatesReport;

/** What is known of one backend server, from the list and from the engine itself. */
struct ServerRow {
  BackendServer server;
  std::uint32_t missed_listings = 0;
  std::uint32_t failed_polls = 0;
  bool answers_polls = false;
  TimePoint last_word{};
  TimePoint last_poll{};
  bool polled = false;
  ServerLoad load;
};

/** All backend servers of the platform's list, with what their engines said.

    The list is a hint: a server that is missing from it becomes suspect after some reads, and gone
    only if its engine does not answer either; a list that loses most of its rows at once makes
    nobody gone. An incarnation only moves up, whatever an older list says later.
*/
class ServerTable {
 public:
  /** Takes in a read of the list. Returns whether servers or their states changed. */
  bool OnListing(const InstanceListing& listing);

  /** Takes in an engine's word. Returns whether what it holds or its state changed. */
  bool OnEngineState(const BackendServerName& server, const EngineState& state, TimePoint now);

  /** The engine did not answer. Returns whether its state changed. */
  bool OnPollFailed(const BackendServerName& server);

  /** The engine's load, with any answer of its. */
  void OnLoad(const BackendServerName& server,
              std::uint32_t running,
              std::uint32_t queued,
              TimePoint now);

  /** How fast the server was measured to be; figures that are not known leave the old ones. */
  void OnRates(const BackendServerName& server, const ServerRatesReport& rates);

  void RecordPoll(const BackendServerName& server, TimePoint now);

  /** Live, suspect or gone; leaving is not decided here. @see LeavingTracker */
  BackendServerState StateOf(const ServerRow& row) const;

  /** The highest known incarnation, or 0. */
  std::uint64_t IncarnationOf(const BackendServerName& server) const;

  const std::map<BackendServerName, ServerRow>& rows() const { return m_rows; }

  /** Counts up whenever servers come, go, move or change what they hold. */
  std::uint64_t topology() const { return m_topology; }

 private:
  bool ApplyListed(const BackendServer& listed);
  bool CountMissing(const std::set<BackendServerName>& listed);
  void RemoveGone();

  std::map<BackendServerName, ServerRow> m_rows;
  std::uint64_t m_topology = 0;
};

}  // namespace zinnia
