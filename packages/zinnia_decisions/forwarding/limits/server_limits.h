#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/forwarding/limits/limit_division.h"
#include "zinnia_decisions/forwarding/limits/server_limit_report.h"
#include "zinnia_decisions/forwarding/limits/server_pauses.h"
#include "zinnia_world/fleet/instance.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

struct ForwardingView;

/** Enforces what servers ask of this instance: its shares of their request rate limits, and pauses.

    A server sets one limit for all instances together. Each instance computes its share from the
    fleet as it knows it, see LimitDivision, and enforces it with a token bucket. Requests sent
    shortly before a limit was received are charged to it.

    The most recent limit applies, whether received from the server or from a peer. Limits do not
    expire: an instance that sends nothing to a server would not learn that its limit still holds.

    Not thread-safe; belongs to one traffic thread. OnSent must be called for every request, also
    to servers without a limit.
*/
class ServerLimits {
 public:
  /** Maximum rows in one report to a peer. Further servers are reported in turn. */
  static constexpr std::size_t kMaxReports = 16;

  /** `clock` and `division` must outlive this object. */
  ServerLimits(const Clock& clock, const LimitDivision& division, InstanceName self);

  /** Forgets servers that are not in the view, and recomputes shares if the instances changed. */
  void SetView(std::shared_ptr<const ForwardingView> view);

  /** Handles the limit in a server's answer to a request sent at `sent_at`; nullopt if the answer
      sets none. Returns whether the change should be reported to peers at once. */
  bool OnAnswer(const BackendServerName& server,
                std::optional<double> requests_per_second,
                TimePoint sent_at);

  /** Handles a peer's report. Returns whether the change should be reported to peers at once. */
  bool OnReport(const ServerLimitReport& report);

  /** Returns the next report's rows: recent changes first, then other servers in turn. */
  std::vector<ServerLimitReport> TakeReports();

  void OnSent(const BackendServerName& server);

  /** The server turned a request away and wants no others for `pause`. */
  void OnPauseRequested(const BackendServerName& server, Duration pause);

  bool MaySend(const BackendServerName& server) const;
  bool IsPausing(const BackendServerName& server) const {
    return m_pauses.TimeLeft(server) > Duration::zero();
  }

  /** Time until a request may be sent; nullopt if this instance has no share of the limit. */
  std::optional<Duration> TimeUntilPermit(const BackendServerName& server) const;

  /** The last known limit of a server. */
  struct Limit {
    std::optional<double> requests_per_second;

    /** This instance's share, in requests per second. */
    double own_share = 0.0;

    Duration age{};
  };
  Limit LimitOf(const BackendServerName& server) const;

  /** Number of servers that currently have a limit. */
  std::size_t CountInForce() const;

  /** Number of servers that are currently pausing. */
  std::size_t CountPauses() const { return m_pauses.CountInForce(); }

 private:
  struct ObservedLimit {
    std::optional<double> requests_per_second;
    TimePoint observed_at{};
    TimePoint changed_at{};

    LimitShare share;

    /** Token bucket level at `permits_updated_at`; negative if more was sent than the share. */
    double permits = 0.0;
    TimePoint permits_updated_at{};
  };

  std::optional<Duration> TimeUntilShareAllows(const BackendServerName& server) const;
  bool UpdateLimit(const BackendServerName& server,
                   std::optional<double> requests_per_second,
                   TimePoint observed_at);
  void UpdateShare(const BackendServerName& server, ObservedLimit& observed);
  void ChargeRecentSends(const BackendServerName& server, ObservedLimit& observed);
  double AvailablePermits(const ObservedLimit& observed) const;
  std::size_t CountRecentSends(const BackendServerName& server);
  FailureDomainName DomainOf(const BackendServerName& server) const;
  void AddRoundRobin(std::vector<BackendServerName> servers,
                     std::size_t most,
                     BackendServerName& last,
                     std::vector<ServerLimitReport>& reports) const;
  ServerLimitReport ReportFor(const BackendServerName& server, const ObservedLimit& observed) const;

  const Clock& m_clock;
  const LimitDivision& m_division;
  const InstanceName m_self;
  const TimePoint m_started_at;
  ServerPauses m_pauses;
  std::map<BackendServerName, ObservedLimit> m_observed_limits;
  std::map<BackendServerName, std::deque<TimePoint>> m_recent_sends;
  std::shared_ptr<const ForwardingView> m_view;
  std::shared_ptr<const std::vector<Instance>> m_instances;

  /** Round-robin positions in reports: servers with a limit, and servers whose limit ended. */
  BackendServerName m_last_reported;
  BackendServerName m_last_end_reported;
};

}  // namespace zinnia
