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
#include "zinnia_world/fleet/instance.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

struct ForwardingView;

/** Which servers have said that they take only so many requests a second, and this instance's part
    of each such limit.

    A server names one limit for all instances together. Were it kept by each instance alone, or by
    none, a server in need would get many times what it can take. So each instance works out its own
    part from the fleet that it knows, see LimitDivision, and spends it evenly.

    The newest word of a server counts, heard here or by a peer, until it says otherwise: a limit
    does not lapse, for with nobody sending there is nobody who would hear that it still holds.
    What the server got shortly before it named its limit counts against the limit.

    Belongs to one traffic thread. Tell it of every request that is sent, also to servers without a
    limit.
*/
class ServerLimits {
 public:
  /** Most rows of one report to a peer; more take turns. */
  static constexpr std::size_t kMaxReports = 16;

  /** `division` must outlive it. */
  ServerLimits(const Clock& clock, const LimitDivision& division, InstanceName self);

  /** Forgets servers that are not in the view, and divides anew if the instances have changed. */
  void SetView(std::shared_ptr<const ForwardingView> view);

  /** A server's answer to a request that was sent at `sent_at` names a limit, in requests a second
      from all instances together, or none. Returns whether peers should hear of it at once. */
  bool OnAnswer(const BackendServerName& server,
                std::optional<double> requests_per_second,
                TimePoint sent_at);

  /** A peer's word. Returns the same. */
  bool OnReport(const ServerLimitReport& report);

  /** What to tell peers: what changed lately, and the others in turn. */
  std::vector<ServerLimitReport> TakeReports();

  /** A request leaves for the server. */
  void OnSent(const BackendServerName& server);

  /** Whether one more request may go there now. */
  bool MaySend(const BackendServerName& server) const;

  /** Until one more may; nothing if that is not for this instance. */
  std::optional<Duration> TimeUntilPermit(const BackendServerName& server) const;

  /** What is believed of a server. */
  struct Limit {
    std::optional<double> requests_per_second;

    /** What this instance may send there, in requests a second. */
    double own_share = 0.0;

    /** Of the server's word. */
    Duration age{};
  };
  Limit LimitOf(const BackendServerName& server) const;

  /** How many servers have a limit now. */
  std::size_t CountInForce() const;

 private:
  struct ObservedLimit {
    std::optional<double> requests_per_second;
    TimePoint observed_at{};
    TimePoint changed_at{};

    /** The own part. What may be sent now is `permits`, as of `permits_updated_at`; below 0 after
       more was sent than the share. */
    LimitShare share;
    double permits = 0.0;
    TimePoint permits_updated_at{};
  };

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
  std::map<BackendServerName, ObservedLimit> m_observed_limits;
  std::map<BackendServerName, std::deque<TimePoint>> m_recent_sends;
  std::shared_ptr<const ForwardingView> m_view;
  std::shared_ptr<const std::vector<Instance>> m_instances;

  /** After whom the others go on taking turns in news: those with a limit, and those without. */
  BackendServerName m_last_reported;
  BackendServerName m_last_end_reported;
};

}  // namespace zinnia
