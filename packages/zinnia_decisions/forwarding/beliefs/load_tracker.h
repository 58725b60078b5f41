#pragma once

#include <cstdint>
#include <map>
#include <utility>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/forwarding/beliefs/server_use.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** What all instances together have in flight at each server: the own part exact, the others' as
    sums over their failure domains.

    Choosing by the own part alone would fill the best server from every instance at once; one
    notices bursts of refusals while other servers idle. Reports older than `kReportLifetime`
    no longer count, so that a dead instance does not block memory that its requests gave back.

    After all instances ended together their callers all come back at once, before any report tells
    of it. For a moment after its start each takes its peers to choose as it does itself.
*/
class LoadTracker {
 public:
  /** A few times the interval at which the sums of other failure domains come. */
  static constexpr Duration kReportLifetime = std::chrono::seconds(3);

  using Uses = std::map<BackendServerName, ServerUse>;

  explicit LoadTracker(const Clock& clock) : m_clock(clock), m_started_at(clock.Now()) {}

  /** `begins`: the request's path begins at the server. */
  void Add(const BackendServerName& server, double token_layers, bool begins = true);

  /** Undoes one Add with the same arguments. */
  void Remove(const BackendServerName& server, double token_layers, bool begins = true);

  /** Replaces the sum over a failure domain's instances; of the own domain, without this one. */
  void SetDomainUses(const FailureDomainName& domain, Uses uses);

  /** How many instances choose at the same time as this one without hearing of each other's last
      choices. */
  void SetPeerCount(std::size_t count) { m_peer_count = count; }

  /** The sum over all instances. */
  ServerUse UseOf(const BackendServerName& server) const;

  const Uses& Own() const { return m_own; }

  /** How many times as much as this instance all others together take of the traffic. */
  double OthersTrafficRatio() const;

 private:
  struct Report {
    TimePoint received_at{};
    Uses uses;
  };

  /** What this instance lately added at a server. */
  struct RecentAdditions {
    TimePoint changed_at{};
    double requests = 0.0;
    double token_layers = 0.0;
    double begun = 0.0;
  };

  void AddReports(const BackendServerName& server, ServerUse& sum) const;
  void AddEstimate(const BackendServerName& server, ServerUse& sum) const;
  bool HasJustStarted() const;
  RecentAdditions Decayed(const RecentAdditions& additions) const;

  void UpdateOthersBegun();

  const Clock& m_clock;
  const TimePoint m_started_at;
  Uses m_own;
  std::uint32_t m_own_begun = 0;
  std::uint32_t m_others_begun = 0;
  std::map<FailureDomainName, Report> m_domains;
  std::map<BackendServerName, RecentAdditions> m_recent;
  std::size_t m_peer_count = 0;
};

}  // namespace zinnia
