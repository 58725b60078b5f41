#include "zinnia_adapters/forwarding/forwarding_traffic.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <map>
#include <utility>

#include "zinnia_adapters/forwarding/exclusion_times.h"
#include "zinnia_adapters/forwarding/log_text.h"
#include "zinnia_adapters/threads/traffic_thread.h"
#include "zinnia_base/logging/logger.h"
#include "zinnia_decisions/forwarding/paths/service_classes.h"
#include "zinnia_decisions/ports/metrics.h"
#include "zinnia_world/forwarding/forwarding_rules.h"

namespace zinnia {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/** Views that take longer to the traffic thread are logged: the instance is too busy to keep the
    bounds on changes. */
constexpr Duration kLateView = std::chrono::milliseconds(100);

/** Sources of a server's limit, as logged. */
constexpr std::string_view kServerItself = "server";
constexpr std::string_view kPeer = "peer";

/** Source of what this instance found itself, as logged. */
constexpr std::string_view kSelf = "self";

/** Maximum number of requests reported for one crash. */
constexpr std::size_t kMaxReportedPerCrash = 32;

/** Maximum number of quarantined requests in one report to a peer. */
constexpr std::size_t kMaxReportedQuarantines = 16;

/** Maximum number of rows of answer lengths that are handed over for reports at once. */
constexpr std::size_t kMaxTakenAnswerLengths = 32;

}  // namespace

ForwardingTraffic::ForwardingTraffic(TrafficThread& thread, ForwardingTrafficParts parts)
    : m_parts(std::move(parts)),
      m_view(std::make_shared<const ForwardingView>()),
      m_random(m_parts.random_seed),
      m_loads(m_parts.clock),
      m_health(m_parts.clock),
      m_limits(m_parts.clock, m_limit_division, m_parts.own_name),
      m_link_meter(m_parts.clock),
      m_connections(thread.Loop(),
                    {m_parts.clock, m_parts.logger, m_parts.metrics, m_parts.answer_limits,
                     AnswerMemory::Create(m_parts.answers_in_hand_bytes)}),
      m_quotas(m_parts.clock, m_loads, m_capacity_division, m_parts.own_name),
      m_quota_watch(m_parts.clock, m_parts.logger, m_parts.metrics, m_quotas, m_loads),
      // Without quotas: they are reported, but would refuse requests while the pool has room.
      m_paths(m_loads, m_health, m_limits, m_link_meter, m_connections, m_random),
      m_recovery(m_parts.clock, m_paths, m_loads, m_health),
      m_moves(m_parts.clock, m_loads, m_health, m_paths, m_recovery, m_parts.own_name),
      m_move_counts(m_parts.clock),
      m_capacity_queue(m_parts.clock),
      m_admissions(m_parts.clock, m_random, m_loads, m_health),
      m_departures(m_random, m_parts.departure_notice),
      m_plain_servers(m_loads, m_health, m_limits, m_random),
      m_retries(m_parts.clock, m_parts.retry_budget),
      m_counted_calls(m_parts.engine_calls, m_limits),
      m_stalls(m_counted_calls, m_parts.clock),
      m_reachability(
          thread.Loop(),
          m_parts.clock,
          m_random,
          m_parts.logger,
          m_parts.metrics,
          [this] { return m_view; },
          [this] { OnCutOff(); }),
      m_peers(m_parts.clock, m_random, m_parts.own_name),
      m_crashes(thread.Loop(),
                m_parts.clock,
                m_parts.logger,
                m_parts.metrics,
                m_reachability,
                [this](const std::vector<BrokenAttempt>& attempts) { OnServerCrash(attempts); }),
      m_quarantine(m_parts.clock, {}),
      m_prompt_parts(m_parts.clock,
                     m_parts.logger,
                     m_parts.metrics,
                     [this](const QuarantineReport& quarantine) { OnPartQuarantined(quarantine); }),
      m_answer_lengths(m_parts.clock),
      m_server(ForwardServer::Create(thread.Loop(),
                                     thread.GetScheduler(),
                                     MakeParts(),
                                     m_parts.callers_address,
                                     m_parts.peer_requests_address)
                   .value()) {}

ForwardingParts ForwardingTraffic::MakeParts() {
  return {m_parts.clock,
          m_parts.logger,
          m_parts.metrics,
          m_parts.codec,
          m_counted_calls,
          m_loads,
          m_health,
          m_limits,
          m_paths,
          m_quotas,
          m_recovery,
          m_moves,
          m_move_counts,
          m_capacity_queue,
          m_admissions,
          m_departures,
          m_link_meter,
          m_plain_servers,
          m_retries,
          m_connections,
          m_stalls,
          m_crashes,
          m_reachability,
          m_peers,
          m_quarantine,
          m_prompt_parts,
          m_answer_lengths,
          m_random,
          m_parts.own_failure_domain,
          [this] { return m_view; },
          [this](const std::vector<BackendServerName>& servers) { OnStalledHere(servers); },
          m_parts.on_server_state_report,
          [this](const BackendServerName& server) { OnLimitReceived(server, kServerItself); }};
}

void ForwardingTraffic::SetView(std::shared_ptr<const ForwardingView> view) {
  m_view = std::move(view);
  const Duration age = m_parts.clock.Now() - m_view->as_of;
  if (age > kLateView) {
    m_parts.metrics.Count("late_views");
    m_parts.logger.Log(LogLevel::kWarning, "view_late",
                       {{"revision", std::to_string(m_view->revision.number)},
                        {"era", std::to_string(m_view->revision.era)},
                        {"age_ms", Milliseconds(age)}});
  }
  m_parts.metrics.SetGauge("store_revision", static_cast<double>(m_view->revision.number));
  if (m_view->rules) {
    m_parts.metrics.SetGauge("configuration_version", static_cast<double>(m_view->rules->version));
    m_parts.metrics.SetGauge("configuration_revision",
                             static_cast<double>(m_view->configuration.revision.number));
  }
  m_loads.SetPeerCount(m_view->live_instances - 1);
  m_limits.SetView(m_view);
  m_quarantine.SetServerCount(m_view->servers.size());
  m_prompt_parts.SetPlace(PlaceInFleet());
  m_server->OnViewChanged();
}

FleetPlace ForwardingTraffic::PlaceInFleet() const {
  FleetPlace place{0, m_view->live_instances};
  if (m_view->instances) {
    place.instances = std::max(place.instances, m_view->instances->size());
    place.rank = static_cast<std::size_t>(
        std::count_if(m_view->instances->begin(), m_view->instances->end(),
                      [this](const Instance& peer) { return peer.name < m_parts.own_name; }));
  }
  return place;
}

void ForwardingTraffic::SetDomainUses(const FailureDomainName& domain, LoadTracker::Uses uses) {
  m_loads.SetDomainUses(domain, std::move(uses));
  if (m_view->classes && m_view->classes->HasPrioritized()) {
    m_quotas.OnReports();
    m_quota_watch.OnReports(*m_view);
  }
}

void ForwardingTraffic::OnPeerSlowdowns(const std::vector<SlowdownReport>& slow_servers) {
  for (const SlowdownReport& report : slow_servers) {
    m_health.OnSlowdownReport(report);
  }
}

void ForwardingTraffic::OnPeerServerLimits(const std::vector<ServerLimitReport>& limits) {
  for (const ServerLimitReport& report : limits) {
    if (m_view->servers.contains(report.server) && m_limits.OnReport(report)) {
      OnLimitReceived(report.server, kPeer);
    }
  }
}

void ForwardingTraffic::OnLimitReceived(const BackendServerName& server,
                                        std::string_view heard_from) {
  const ServerLimits::Limit limit = m_limits.LimitOf(server);
  m_parts.metrics.SetGauge("server_limits_in_force", static_cast<double>(m_limits.CountInForce()));
  m_parts.logger.Log(
      LogLevel::kInfo, limit.requests_per_second ? "server_limit_heard" : "server_limit_lifted",
      {{"server", server},
       {"heard_from", std::string(heard_from)},
       {"age_ms", Milliseconds(limit.age)},
       {"requests_per_second", fmt::format("{:.2f}", limit.requests_per_second.value_or(0.0))},
       {"own_part", fmt::format("{:.2f}", limit.own_share)},
       {"live_instances", std::to_string(m_view->live_instances)}});
  m_parts.on_server_limits_changed(m_limits.TakeReports(), heard_from == kServerItself);
}

/** Reports each request once, by the copy that ran longest; those that had just begun come first,
   in case there are too many for one report. */
void ForwardingTraffic::OnServerCrash(const std::vector<BrokenAttempt>& attempts) {
  std::map<Fingerprint, CrashReport> by_request;
  for (const BrokenAttempt& attempt : attempts) {
    const CrashReport report{attempt.request,
                             attempt.server,
                             attempt.onset,
                             duration_cast<milliseconds>(attempt.broken_at - attempt.sent_at),
                             duration_cast<milliseconds>(attempt.ran),
                             duration_cast<milliseconds>(m_parts.clock.Now() - attempt.broken_at)};
    CrashReport& longest = by_request.try_emplace(attempt.request, report).first->second;
    if (std::pair(report.onset, report.ran) > std::pair(longest.onset, longest.ran)) {
      longest = report;
    }
  }
  std::vector<CrashReport> reports;
  reports.reserve(by_request.size());
  for (const auto& [request, report] : by_request) {
    reports.push_back(report);
  }
  std::stable_partition(reports.begin(), reports.end(), [](const CrashReport& report) {
    return report.onset == CrashOnset::kBegun;
  });
  OnCrashes(reports, kSelf);
  reports.resize(std::min(reports.size(), kMaxReportedPerCrash));
  const std::vector<CrashReport> parts = m_prompt_parts.OnServerCrash(attempts);
  reports.insert(reports.end(), parts.begin(), parts.end());
  m_parts.on_crash_reports(std::move(reports));
}

void ForwardingTraffic::OnPeerCrashes(const std::vector<CrashReport>& crashes) {
  std::vector<CrashReport> of_requests;
  for (const CrashReport& crash : crashes) {
    if (crash.kind == SuspectKind::kPromptPart) {
      m_prompt_parts.OnPeerCrash(crash);
    } else {
      of_requests.push_back(crash);
    }
  }
  OnCrashes(of_requests, kPeer);
}

void ForwardingTraffic::OnCrashes(const std::vector<CrashReport>& crashes,
                                  std::string_view heard_from) {
  for (const CrashReport& crash : crashes) {
    if (m_quarantine.EndedWellLately(crash.request)) {
      LogNotCounted(crash, heard_from);
    }
    const bool was_refused = m_quarantine.TimeUntilRelease(crash.request).has_value();
    if (m_quarantine.OnCrash(crash) && !was_refused &&
        m_quarantine.TimeUntilRelease(crash.request)) {
      OnQuarantined(crash.request, heard_from);
    }
  }
}

void ForwardingTraffic::OnPeerQuarantines(const std::vector<QuarantineReport>& quarantines) {
  for (const QuarantineReport& quarantine : quarantines) {
    if (quarantine.kind == SuspectKind::kPromptPart) {
      m_prompt_parts.OnPeerQuarantine(quarantine);
    } else if (m_quarantine.OnQuarantine(quarantine)) {
      OnQuarantined(quarantine.request, kPeer);
    }
  }
}

void ForwardingTraffic::OnPeerCleared(const std::vector<ClearedRequest>& requests) {
  for (const ClearedRequest& cleared : requests) {
    if (cleared.kind == SuspectKind::kPromptPart) {
      m_prompt_parts.OnPeerCleared(cleared);
    } else {
      m_quarantine.OnCleared(cleared);
      LogCleared(cleared, kPeer);
    }
  }
}

std::vector<ClearedRequest> ForwardingTraffic::TakeCleared() {
  std::vector<ClearedRequest> requests = m_quarantine.TakeCleared();
  for (const ClearedRequest& cleared : requests) {
    LogCleared(cleared, kSelf);
  }
  const std::vector<ClearedRequest> parts = m_prompt_parts.TakeCleared();
  requests.insert(requests.end(), parts.begin(), parts.end());
  return requests;
}

void ForwardingTraffic::LogNotCounted(const CrashReport& crash, std::string_view heard_from) {
  m_parts.metrics.Count("crashes_not_counted");
  m_parts.logger.Log(LogLevel::kInfo, "crash_not_counted",
                     {{"fingerprint", crash.request.ToHex()},
                      {"server", crash.server},
                      {"heard_from", std::string(heard_from)},
                      {"age_ms", Milliseconds(crash.age)},
                      {"reason", "ended_well_lately"}});
}

void ForwardingTraffic::LogCleared(const ClearedRequest& cleared, std::string_view heard_from) {
  m_parts.metrics.Count("requests_cleared");
  m_parts.logger.Log(LogLevel::kInfo, "request_cleared",
                     {{"fingerprint", cleared.request.ToHex()},
                      {"heard_from", std::string(heard_from)},
                      {"ended_well_ms", Milliseconds(cleared.age)}});
}

void ForwardingTraffic::OnQuarantined(const Fingerprint& request, std::string_view heard_from) {
  const Duration left = m_quarantine.TimeUntilRelease(request).value_or(Duration::zero());
  m_parts.metrics.Count("requests_quarantined");
  m_parts.logger.Log(
      LogLevel::kWarning, "request_quarantined",
      {{"fingerprint", request.ToHex()},
       {"heard_from", std::string(heard_from)},
       {"crashed_servers", fmt::format("{}", fmt::join(m_quarantine.CrashedServers(request), ","))},
       {"release_in_ms", Milliseconds(left)}});
  m_parts.on_quarantined(m_quarantine.ReportOf(request));
  m_server->OnRequestQuarantined(request);
}

std::vector<QuarantineReport> ForwardingTraffic::TakeQuarantines() {
  m_quarantine.RemoveExpired();
  m_parts.metrics.SetGauge("request_quarantines_in_force",
                           static_cast<double>(m_quarantine.CountInForce()));
  std::vector<QuarantineReport> quarantines = m_quarantine.InForce(kMaxReportedQuarantines);
  const std::vector<QuarantineReport> parts =
      m_prompt_parts.TakeQuarantines(kMaxReportedQuarantines);
  quarantines.insert(quarantines.end(), parts.begin(), parts.end());
  return quarantines;
}

std::vector<AnswerLengthRow> ForwardingTraffic::TakeAnswerLengths() {
  const PredictionError& error = m_answer_lengths.Errors();
  if (error.HasAny()) {
    m_parts.metrics.SetGauge("answer_length_error", error.OfModel());
    m_parts.metrics.SetGauge("answer_length_error_of_hint_or_mean", error.OfHintOrMean());
  }
  return m_answer_lengths.TakeRows(kMaxTakenAnswerLengths);
}

void ForwardingTraffic::OnPartQuarantined(const QuarantineReport& quarantine) {
  m_parts.on_quarantined(quarantine);
  m_server->OnPartQuarantined(quarantine.request);
}

/** Open connections may live on, or be dead without a sign of it. */
void ForwardingTraffic::OnCutOff() {
  m_connections.CloseIdle();
  m_server->OnCutOff();
}

void ForwardingTraffic::OnStalledHere(const std::vector<BackendServerName>& servers) {
  for (const BackendServerName& server : servers) {
    m_parts.logger.Log(LogLevel::kInfo, "server_stalled",
                       {{"server", server}, {"seen_by", "self"}});
    m_reachability.Confirm([this, server](bool reaches_servers) {
      if (reaches_servers) {
        m_parts.on_stall_detected(server);
      }
    });
  }
  m_server->OnServersStalled(servers);
}

void ForwardingTraffic::OnPeerStalls(const std::vector<StallReport>& stalls) {
  std::vector<BackendServerName> servers;
  for (const StallReport& stall : stalls) {
    m_parts.logger.Log(LogLevel::kInfo, "server_stalled",
                       {{"server", stall.server}, {"seen_by", "peer"}});
    if (stall.age < kStalledExclusion) {
      m_health.MarkSuspect(stall.server, kStalledExclusion - stall.age);
      servers.push_back(stall.server);
    }
  }
  m_server->OnServersStalled(servers);
}

}  // namespace zinnia
