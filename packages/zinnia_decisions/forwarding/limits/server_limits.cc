#include "zinnia_decisions/forwarding/limits/server_limits.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <utility>

#include "zinnia_decisions/forwarding/limits/limit_division.h"
#include "zinnia_decisions/forwarding/observed_state/forwarding_view.h"

namespace zinnia {
namespace {

using Seconds = std::chrono::duration<double>;

// Requests sent within this time before a limit was received are charged to it.
constexpr Duration kChargedSendWindow = std::chrono::milliseconds(1'500);

// Upper bound of the pause that such requests cause.
constexpr Duration kMaxPause = std::chrono::seconds(4);

// A new instance knows only few peers, and would compute too large a share.
constexpr Duration kFleetDiscoveryTime = std::chrono::seconds(2);

// A new holder waits this long, so that the previous one learns of the change first.
constexpr Duration kHandoverDelay = std::chrono::seconds(2);

// Applies to all instances together. A server with a limit of 0 still gets occasional requests,
// since only its answers show that the limit has been raised.
constexpr double kMinRequestsPerSecond = 0.2;

// Larger changes are reported at once, smaller ones with the next periodic report.
constexpr double kNotableRelativeChange = 0.2;

// How long a change takes precedence over other rows of a report.
constexpr Duration kPriorityReportTime = std::chrono::seconds(2);

// How long the end of a limit is reported. An instance without a share sends nothing to the server,
// so if it was unreachable when the limit ended, it learns of that only from reports.
constexpr Duration kEndReportRetention = std::chrono::minutes(10);

constexpr std::size_t kMaxEndedLimitReports = 1;

constexpr double kNoLimit = std::numeric_limits<double>::infinity();

bool IsNotable(std::optional<double> before, std::optional<double> after) {
  if (!before || !after) {
    return before.has_value() != after.has_value();
  }
  return std::abs(*after - *before) > kNotableRelativeChange * std::max(*before, *after);
}

}  // namespace

ServerLimits::ServerLimits(const Clock& clock, const LimitDivision& division, InstanceName self)
    : m_clock(clock),
      m_division(division),
      m_self(std::move(self)),
      m_started_at(clock.Now()),
      m_pauses(clock),
      m_instances(std::make_shared<const std::vector<Instance>>(1, Instance{m_self})) {}

void ServerLimits::SetView(std::shared_ptr<const ForwardingView> view) {
  m_view = std::move(view);
  const auto is_gone = [&](const auto& entry) { return !m_view->servers.contains(entry.first); };
  std::erase_if(m_observed_limits, is_gone);
  std::erase_if(m_recent_sends, is_gone);
  m_pauses.Prune();
  m_pauses.MoveToKnownIncarnations(m_view->servers);
  if (!m_view->instances || m_view->instances == m_instances) {
    return;
  }
  m_instances = m_view->instances;
  for (auto& [name, observed] : m_observed_limits) {
    UpdateShare(name, observed);
  }
}

void ServerLimits::OnPauseRequested(const BackendServerName& server, Duration pause) {
  std::string registration;
  if (m_view) {
    const auto entry = m_view->servers.find(server);
    registration = entry == m_view->servers.end() ? std::string() : entry->second.registration;
  }
  m_pauses.OnPauseRequested(server, pause, registration);
}

bool ServerLimits::OnAnswer(const BackendServerName& server,
                            std::optional<double> requests_per_second,
                            TimePoint sent_at) {
  if (!requests_per_second) {
    const auto found = m_observed_limits.find(server);
    // An answer to a request sent before the limit was observed may predate the limit.
    const bool ends_it = found != m_observed_limits.end() && found->second.requests_per_second &&
                         sent_at > found->second.observed_at;
    return ends_it && UpdateLimit(server, std::nullopt, m_clock.Now());
  }
  return UpdateLimit(server, requests_per_second, m_clock.Now());
}

bool ServerLimits::OnReport(const ServerLimitReport& report) {
  const auto found = m_observed_limits.find(report.server);
  const TimePoint observed_at = m_clock.Now() - report.age;
  if (found != m_observed_limits.end() && found->second.observed_at >= observed_at) {
    return false;
  }
  return UpdateLimit(report.server, report.requests_per_second, observed_at);
}

bool ServerLimits::UpdateLimit(const BackendServerName& server,
                               std::optional<double> requests_per_second,
                               TimePoint observed_at) {
  ObservedLimit& observed = m_observed_limits[server];
  const std::optional<double> before = observed.requests_per_second;
  observed.observed_at = observed_at;
  if (before == requests_per_second) {
    return false;
  }
  const bool is_notable = IsNotable(before, requests_per_second);
  observed.requests_per_second = requests_per_second;
  if (is_notable) {
    observed.changed_at = m_clock.Now();
  }
  UpdateShare(server, observed);
  if (requests_per_second && is_notable && requests_per_second < before.value_or(kNoLimit)) {
    ChargeRecentSends(server, observed);
  }
  return is_notable;
}

void ServerLimits::UpdateShare(const BackendServerName& server, ObservedLimit& observed) {
  if (!observed.requests_per_second) {
    observed.share = {};
    return;
  }
  const double limit = std::max(*observed.requests_per_second, kMinRequestsPerSecond);
  const LimitShare share =
      m_division.ShareOf(m_self, *m_instances, server, DomainOf(server), limit);
  observed.permits = AvailablePermits(observed);
  observed.permits_updated_at = m_clock.Now();
  if (observed.share.requests_per_second <= 0.0) {
    observed.permits = -share.requests_per_second * Seconds(kHandoverDelay).count();
  }
  observed.share = share;
}

FailureDomainName ServerLimits::DomainOf(const BackendServerName& server) const {
  if (!m_view) {
    return {};
  }
  const auto entry = m_view->servers.find(server);
  return entry == m_view->servers.end() ? FailureDomainName() : entry->second.failure_domain;
}

/** Deducts requests sent just before the limit was received. Assumes that other instances sent at
    the same rate. */
void ServerLimits::ChargeRecentSends(const BackendServerName& server, ObservedLimit& observed) {
  const double sent =
      static_cast<double>(CountRecentSends(server)) * observed.share.instances_per_holder;
  const double due = observed.share.requests_per_second * Seconds(kChargedSendWindow).count();
  const double max_pause = observed.share.requests_per_second * Seconds(kMaxPause).count();
  observed.permits = std::clamp(due - sent, -max_pause, 0.0);
  observed.permits_updated_at = m_clock.Now();
}

double ServerLimits::AvailablePermits(const ObservedLimit& observed) const {
  const Seconds passed = m_clock.Now() - observed.permits_updated_at;
  return std::min(observed.share.burst,
                  observed.permits + observed.share.requests_per_second * passed.count());
}

std::size_t ServerLimits::CountRecentSends(const BackendServerName& server) {
  const auto found = m_recent_sends.find(server);
  if (found == m_recent_sends.end()) {
    return 0;
  }
  std::deque<TimePoint>& sends = found->second;
  while (!sends.empty() && m_clock.Now() - sends.front() > kChargedSendWindow) {
    sends.pop_front();
  }
  return sends.size();
}

void ServerLimits::OnSent(const BackendServerName& server) {
  m_recent_sends[server].push_back(m_clock.Now());
  CountRecentSends(server);
  const auto found = m_observed_limits.find(server);
  if (found != m_observed_limits.end() && found->second.requests_per_second) {
    ObservedLimit& observed = found->second;
    observed.permits = AvailablePermits(observed) - 1.0;
    observed.permits_updated_at = m_clock.Now();
  }
}

std::optional<Duration> ServerLimits::TimeUntilPermit(const BackendServerName& server) const {
  const std::optional<Duration> until_share_allows = TimeUntilShareAllows(server);
  if (!until_share_allows) {
    return std::nullopt;
  }
  return std::max(*until_share_allows, m_pauses.TimeLeft(server));
}

std::optional<Duration> ServerLimits::TimeUntilShareAllows(const BackendServerName& server) const {
  const auto found = m_observed_limits.find(server);
  if (found == m_observed_limits.end() || !found->second.requests_per_second) {
    return Duration::zero();
  }
  const ObservedLimit& observed = found->second;
  if (observed.share.requests_per_second <= 0.0) {
    return std::nullopt;
  }
  const Duration until_fleet_is_known = m_started_at + kFleetDiscoveryTime - m_clock.Now();
  const double missing = std::max(0.0, 1.0 - AvailablePermits(observed));
  const auto until_permit =
      std::chrono::duration_cast<Duration>(Seconds(missing / observed.share.requests_per_second));
  return std::max({Duration::zero(), until_fleet_is_known, until_permit});
}

bool ServerLimits::MaySend(const BackendServerName& server) const {
  return TimeUntilPermit(server) == Duration::zero();
}

ServerLimits::Limit ServerLimits::LimitOf(const BackendServerName& server) const {
  const auto found = m_observed_limits.find(server);
  if (found == m_observed_limits.end()) {
    return {};
  }
  const ObservedLimit& observed = found->second;
  return {observed.requests_per_second, observed.share.requests_per_second,
          m_clock.Now() - observed.observed_at};
}

std::size_t ServerLimits::CountInForce() const {
  return static_cast<std::size_t>(std::count_if(
      m_observed_limits.begin(), m_observed_limits.end(),
      [](const auto& entry) { return entry.second.requests_per_second.has_value(); }));
}

ServerLimitReport ServerLimits::ReportFor(const BackendServerName& server,
                                          const ObservedLimit& observed) const {
  return {
      server, observed.requests_per_second,
      std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.Now() - observed.observed_at)};
}

std::vector<ServerLimitReport> ServerLimits::TakeReports() {
  const TimePoint now = m_clock.Now();
  std::vector<ServerLimitReport> reports;
  std::vector<BackendServerName> in_force;
  std::vector<BackendServerName> ended;
  for (const auto& [name, observed] : m_observed_limits) {
    const Duration unchanged = now - observed.changed_at;
    if (unchanged < kPriorityReportTime && reports.size() < kMaxReports) {
      reports.push_back(ReportFor(name, observed));
    } else if (observed.requests_per_second) {
      in_force.push_back(name);
    } else if (unchanged < kEndReportRetention) {
      ended.push_back(name);
    }
  }
  AddRoundRobin(in_force, kMaxReports, m_last_reported, reports);
  AddRoundRobin(ended, std::min(kMaxReports, reports.size() + kMaxEndedLimitReports),
                m_last_end_reported, reports);
  return reports;
}

/** Adds reports in name order, starting after `last`, until there are `most`. */
void ServerLimits::AddRoundRobin(std::vector<BackendServerName> servers,
                                 std::size_t most,
                                 BackendServerName& last,
                                 std::vector<ServerLimitReport>& reports) const {
  const auto next = std::upper_bound(servers.begin(), servers.end(), last);
  std::rotate(servers.begin(), next, servers.end());
  for (const BackendServerName& name : servers) {
    if (reports.size() >= most) {
      return;
    }
    reports.push_back(ReportFor(name, m_observed_limits.at(name)));
    last = name;
  }
}

}  // namespace zinnia
