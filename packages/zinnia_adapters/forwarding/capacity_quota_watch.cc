#include "zinnia_adapters/forwarding/capacity_quota_watch.h"

#include <fmt/format.h>

#include <algorithm>
#include <string>

#include "zinnia_base/logging/logger.h"
#include "zinnia_decisions/forwarding/division/scarce_server.h"
#include "zinnia_decisions/forwarding/observed_state/forwarding_view.h"
#include "zinnia_decisions/ports/metrics.h"

namespace zinnia {
namespace {

constexpr std::size_t kMaxServers = 10;

/** The search for scarce servers costs as much as the choice of one path. */
constexpr Duration kGaugeInterval = std::chrono::seconds(1);

/** Ten lines at a time, so that the log grows by at most one line a second. */
constexpr Duration kLogInterval = std::chrono::seconds(10);

bool IsDue(std::optional<TimePoint>& last, TimePoint now, Duration interval) {
  if (last && now - *last < interval) {
    return false;
  }
  last = now;
  return true;
}

std::string Text(double value) {
  return fmt::format("{:.2f}", value);
}

void Log(Logger& logger, const ScarceServer& row) {
  logger.Log(
      LogLevel::kInfo, "capacity_quota",
      {{"server", row.capacity.server},
       {"utilization", Text(row.utilization)},
       {"own_demand", Text(row.demand.running)},
       {"own_queued", Text(row.demand.queued)},
       {"others_demand", Text(row.demand.others_running)},
       {"requests", std::to_string(row.own.first_stage_requests)},
       {"requests_quota", row.quota.requests ? std::to_string(*row.quota.requests) : "none"},
       {"requests_of_all", std::to_string(row.total.first_stage_requests)},
       {"token_layers", Text(row.own.token_layers)},
       {"token_layers_quota", row.quota.token_layers ? Text(*row.quota.token_layers) : "none"},
       {"token_layers_of_all", Text(row.total.token_layers)}});
}

}  // namespace

CapacityQuotaWatch::CapacityQuotaWatch(const Clock& clock,
                                       Logger& logger,
                                       Metrics& metrics,
                                       const FleetQuotas& quotas,
                                       const LoadTracker& loads)
    : m_clock(clock), m_logger(logger), m_metrics(metrics), m_quotas(quotas), m_loads(loads) {}

void CapacityQuotaWatch::OnReports(const ForwardingView& view) {
  if (!view.classes || !IsDue(m_gauged_at, m_clock.Now(), kGaugeInterval)) {
    return;
  }
  const auto scarce = FindScarceServers(view, m_quotas, m_loads, kMaxServers);
  const bool logs = !scarce.empty() && IsDue(m_logged_at, m_clock.Now(), kLogInterval);
  // Gauges of servers that are no longer scarce are set to 0.
  m_gauges = std::max(m_gauges, scarce.size());
  for (std::size_t rank = 0; rank < m_gauges; ++rank) {
    const ScarceServer row = rank < scarce.size() ? scarce[rank] : ScarceServer();
    const auto set = [&](std::string_view name, double value) {
      m_metrics.SetGauge(fmt::format("scarce_server_{}_{}", rank, name), value);
    };
    set("utilization", row.utilization);
    set("own_demand", row.demand.running + row.demand.queued);
    set("others_demand", row.demand.others_running);
    set("requests", row.own.first_stage_requests);
    set("requests_quota", row.quota.requests.value_or(0));
    set("token_layers", row.own.token_layers);
    set("token_layers_quota", row.quota.token_layers.value_or(0.0));
    if (logs && rank < scarce.size()) {
      Log(m_logger, row);
    }
  }
}

}  // namespace zinnia
