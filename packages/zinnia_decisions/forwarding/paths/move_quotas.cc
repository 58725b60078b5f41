#include "zinnia_decisions/forwarding/paths/move_quotas.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "zinnia_base/hashing/fingerprint.h"
#include "zinnia_decisions/forwarding/observed_state/forwarding_view.h"
#include "zinnia_decisions/forwarding/observed_state/load_tracker.h"
#include "zinnia_decisions/forwarding/observed_state/server_health.h"
#include "zinnia_decisions/forwarding/paths/path_finder.h"

namespace zinnia {
namespace {

/** Free memory kept as a margin, in standard deviations of the number of streams that all instances
    together round up. A lower value causes more refusals, a higher one leaves memory unused. */
constexpr double kMarginDeviations = 0.85;

/** Largest variance of one instance's rounding, in streams. */
constexpr double kMaxRoundingVariance = 0.25;

/** Part of a stream's size that remains unusable on average, as the next stream doesn't fit. */
constexpr double kUnusableRest = 0.5;

/** Share of the free memory that is used at least. Where it suffices for one or two streams, the
    margin would leave it unused. */
constexpr double kLeastUsedShare = 0.25;

/** Share of a server's memory that requests may reserve, as by PathFinder. With a lower share, new
    requests would take the memory that streams of a lost server need. */
constexpr double kMaxReservedShare = 1.08;

/** Share of the request slots of a first server that are used, as by PathFinder. */
constexpr double kMaxStartedShare = 0.95;

/** Tolerance for sums of fractions of a stream. */
constexpr double kTolerance = 1e-6;

/** Returns a number in [0, 1) that depends on the text alone. */
double HashUnit(std::string_view text) {
  constexpr int kUnitBits = 53;  // Precision of a double.
  return std::ldexp(static_cast<double>(Hash64(text) >> (64 - kUnitBits)), -kUnitBits);
}

}  // namespace

MoveQuotas::MoveQuotas(const Clock& clock,
                       const LoadTracker& loads,
                       const ServerHealth& health,
                       InstanceName self)
    : m_clock(clock), m_loads(loads), m_health(health), m_self(std::move(self)) {}

void MoveQuotas::OnServersLost(const ForwardingView& view,
                               const std::set<BackendServerName>& lost) {
  const TimePoint now = m_clock.Now();
  const bool is_new_round = now >= m_round_ends_at;
  if (is_new_round) {
    m_round_ends_at = now + kRoundDuration;
    m_lost.clear();
    m_quotas.clear();
    m_taken.clear();
  }
  const std::size_t known = m_lost.size();
  m_lost.insert(lost.begin(), lost.end());
  if (!is_new_round && m_lost.size() == known) {
    return;
  }
  for (const auto& [name, service] : view.rules->services) {
    if (service.engine) {
      Divide(view, name);
    }
  }
}

double MoveQuotas::OthersRatio(const ServiceName& service) const {
  const auto found = m_others_ratios.find(service);
  return found == m_others_ratios.end() ? 0.0 : found->second;
}

/** A lost server whose entry is gone counts for every service: its use is known by name only. */
MoveQuotas::Demand MoveQuotas::DemandOf(const ForwardingView& view,
                                        const ServiceName& service,
                                        const EngineProfile& engine) const {
  double own = 0.0;
  double all = 0.0;
  double sized = 0.0;
  double stream_layers = 0.0;
  for (const BackendServerName& server : m_lost) {
    const auto entry = view.servers.find(server);
    if (entry != view.servers.end() && entry->second.service != service) {
      continue;
    }
    const ServerUse use = m_loads.UseOf(server);
    all += use.token_layers;
    const auto own_use = m_loads.Own().find(server);
    if (own_use == m_loads.Own().end()) {
      continue;
    }
    own += own_use->second.token_layers;
    if (entry != view.servers.end()) {
      sized += own_use->second.token_layers;
      stream_layers += static_cast<double>(own_use->second.requests) * entry->second.layers.Count();
    }
  }
  Demand demand;
  demand.tokens_per_stream = sized > 0 && stream_layers > 0
                                 ? sized / stream_layers
                                 : engine.usual_prompt_tokens + engine.usual_answer_tokens;
  const double peers = static_cast<double>(view.live_instances - 1);
  demand.others_ratio = own > 0 ? std::max(0.0, all / own - 1.0) : peers;
  demand.share = 1.0 / (1.0 + demand.others_ratio);
  return demand;
}

double MoveQuotas::FreeStreams(const ForwardingView& view,
                               const EngineProfile& engine,
                               const BackendServerName& server,
                               const Demand& demand) const {
  const ServerEntry& entry = view.servers.at(server);
  const ServerUse use = m_loads.UseOf(server);
  const double stream_size = std::max(1.0, demand.tokens_per_stream * entry.layers.Count());
  double streams =
      (TokenLayerCapacity(engine, entry) * kMaxReservedShare - use.token_layers) / stream_size;
  if (entry.layers.first == 0) {
    streams = std::min(streams, entry.most_requests * kMaxStartedShare - use.first_stage_requests);
  }
  streams = std::max(0.0, streams < 1.0 ? 0.0 : streams - kUnusableRest);
  if (demand.others_ratio <= 0) {
    return streams;
  }
  const double instances = static_cast<double>(view.live_instances);
  const double variance = std::min(streams, instances * kMaxRoundingVariance);
  return std::max(streams * kLeastUsedShare, streams - kMarginDeviations * std::sqrt(variance));
}

void MoveQuotas::Divide(const ForwardingView& view, const ServiceName& service) {
  if (m_lost.empty()) {
    return;
  }
  const EngineProfile& engine = *view.rules->services.at(service).engine;
  const Demand demand = DemandOf(view, service, engine);
  m_others_ratios[service] = demand.others_ratio;
  using Group = std::tuple<FailureDomainName, std::uint32_t, std::uint32_t>;
  std::map<Group, std::vector<std::pair<double, BackendServerName>>> groups;
  for (const auto& [name, server] : view.servers) {
    if (server.service == service && !server.draining && server.layers.Count() > 0 &&
        !m_lost.contains(name) && !m_health.IsExcluded(name)) {
      groups[{server.failure_domain, server.layers.first, server.layers.end}].emplace_back(
          HashUnit(m_self + "/" + name), name);
    }
  }
  // The same for all groups: a path through several of them needs room in each.
  const double offset = HashUnit(m_self + "/" + *m_lost.begin());
  for (auto& [group, servers] : groups) {
    std::sort(servers.begin(), servers.end());
    double sum = offset;
    for (const auto& [rank, name] : servers) {
      const double before = std::floor(sum);
      sum += FreeStreams(view, engine, name, demand) * demand.share;
      m_quotas[name] = std::floor(sum) - before;
    }
  }
}

double MoveQuotas::Room(const BackendServerName& server) const {
  const auto quota = m_quotas.find(server);
  const auto taken = m_taken.find(server);
  return (quota == m_quotas.end() ? 0.0 : quota->second) -
         (taken == m_taken.end() ? 0.0 : taken->second);
}

bool MoveQuotas::HasRoom(const BackendServerName& server, double streams) const {
  return Room(server) >= streams - kTolerance;
}

}  // namespace zinnia
