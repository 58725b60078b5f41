#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <utility>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/forwarding/division/use_history.h"
#include "zinnia_decisions/forwarding/observed_state/server_use.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** Tracks the requests in flight at each server over all instances: exactly for this instance, as
    reported sums over failure domains for the others.

    If each instance counted only its own requests, all would fill the best server at once while
    others stay idle. Reports older than `kReportLifetime` are ignored, so that a dead instance does
    not occupy capacity that its requests have released.

    After a restart of the whole fleet all callers return at once, before any report arrives. For a
    short time after the start, peers are therefore assumed to choose as this instance does. */
class LoadTracker {
 public:
  /** A few times the interval between reports of other failure domains. */
  static constexpr Duration kReportLifetime = std::chrono::seconds(3);

  using Uses = std::map<BackendServerName, ServerUse>;

  explicit LoadTracker(const Clock& clock)
      : m_clock(clock), m_started_at(clock.Now()), m_history(clock) {}

  /** `begins`: whether the request's path begins at the server. */
  void Add(const BackendServerName& server, double token_layers, bool begins = true);

  /** Reverts one Add with the same arguments. */
  void Remove(const BackendServerName& server, double token_layers, bool begins = true);

  /** Replaces the sum over a failure domain's instances. For the own domain, this instance is not
      included. */
  void SetDomainUses(const FailureDomainName& domain, Uses uses);

  /** Sets the number of other instances that choose servers concurrently, without knowing each
      other's latest choices. */
  void SetPeerCount(std::size_t count) { m_peer_count = count; }

  /** The sum over all instances, including estimates of requests not reported yet. */
  ServerUse UseOf(const BackendServerName& server) const;

  const Uses& Own() const { return m_own; }

  /** This instance's use at the time that the reports are from, see UseHistory. */
  ServerUse PastOwnUse(const BackendServerName& server) const { return m_history.PastUse(server); }

  /** The sum over all other instances as reported, without estimates. */
  ServerUse ReportedUse(const BackendServerName& server) const;

  /** Servers that this instance uses or that are reported to be in use. */
  std::set<BackendServerName> ServersInUse() const;

  /** Ratio of the other instances' traffic to that of this instance. */
  double OthersTrafficRatio() const;

 private:
  struct Report {
    TimePoint received_at{};
    Uses uses;
  };

  /** Recent additions of this instance at a server, decayed exponentially. */
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
  void UpdateReportedUses();

  const Clock& m_clock;
  const TimePoint m_started_at;
  Uses m_own;
  UseHistory m_history;
  std::uint32_t m_own_begun = 0;
  std::uint32_t m_others_begun = 0;
  std::map<FailureDomainName, Report> m_domains;

  /** Sums over `m_domains`, until the first of these reports expires. */
  Uses m_reported;
  TimePoint m_reported_until{};
  std::map<BackendServerName, RecentAdditions> m_recent;
  std::size_t m_peer_count = 0;
};

}  // namespace zinnia
