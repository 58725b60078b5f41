#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/forwarding/beliefs/server_use.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** What all instances together have in flight at each server: the own part exact, the peers' of the
    own failure domain as they last reported it, other domains' as sums.

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

  /** `begins`: the request's path begins at the server. */
  void Add(const BackendServerName& server, double token_layers, bool begins = true);

  /** Undoes one Add with the same arguments. */
  void Remove(const BackendServerName& server, double token_layers, bool begins = true);

  /** Replaces what that peer of the own failure domain reported before. */
  void SetPeerUses(const InstanceName& instance, Uses uses);

  /** Replaces the sum over another failure domain's instances. */
  void SetDomainUses(const FailureDomainName& domain, Uses uses);

  /** The sum over this instance and the peers of its failure domain, for other domains. */
  Uses SumOfOwnDomain() const;

  /** How many instances choose at the same time as this one without hearing of each other's last
      choices. */
  void SetPeerCount(std::size_t count) { m_peer_count = count; }

  /** The sum over all instances. */
  ServerUse UseOf(const BackendServerName& server) const;

  const Uses& Own() const { return m_own; }

  /** How many times as much as this instance all others together take of the traffic. */
  double OthersShare() const;

 private:
  struct Report {
    TimePoint received_at{};
    Uses uses;
  };
  using Reports = std::map<std::string, Report>;

  /** What this instance lately added at a server. */
  struct RecentAdditions {
    TimePoint changed_at{};
    double requests = 0.0;
    double token_layers = 0.0;
    double begun = 0.0;
  };

  void DropOld(Reports& reports) const;
  void AddReports(const Reports& reports, const BackendServerName& server, ServerUse& sum) const;
  void AddUnreported(const BackendServerName& server, ServerUse& sum) const;
  RecentAdditions Decayed(const RecentAdditions& additions) const;

  void CountOthers();

  const Clock& m_clock;
  Uses m_own;
  std::uint32_t m_own_begun = 0;
  std::uint32_t m_others_begun = 0;
  Reports m_peers;
  Reports m_domains;
  std::map<BackendServerName, RecentAdditions> m_recent;
  std::size_t m_peer_count = 0;
};

}  // namespace zinnia
