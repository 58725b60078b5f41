#include "zinnia_decisions/forwarding/paths/recovery_chooser.h"

#include <algorithm>
#include <utility>

#include "zinnia_decisions/forwarding/observed_state/forwarding_view.h"
#include "zinnia_decisions/forwarding/observed_state/load_tracker.h"
#include "zinnia_decisions/forwarding/observed_state/server_health.h"
#include "zinnia_decisions/forwarding/paths/prefill_time.h"

namespace zinnia {
namespace {

/** Cost of a restart: a new connection and the queue of another first server. */
constexpr double kRestartMs = 10.0;

/** Share of the other parts' prefill that a part waits for. The rest overlaps, as engines pass
    prompts on in chunks. */
constexpr double kUnoverlappedPrefill = 0.3;

/** Average share of a stream's answer that is generated when its path breaks. */
constexpr double kMeanAnswerShare = 0.5;

bool ContainsPart(const LayerPath& kept, const PathPart& part) {
  return std::find(kept.begin(), kept.end(), part) != kept.end();
}

std::set<FailureDomainName> DomainsOf(const ForwardingView& view, const ServiceName& service) {
  std::set<FailureDomainName> domains;
  for (const auto& [name, server] : view.servers) {
    if (server.service == service) {
      domains.insert(server.failure_domain);
    }
  }
  return domains;
}

}  // namespace

double RecoveryChooser::PrefillMs(const ForwardingView& view,
                                  const EngineProfile& engine,
                                  const GenerationSize& size,
                                  const PathPart& part) const {
  const auto server = view.servers.find(part.server);
  const auto accelerator = server == view.servers.end()
                               ? engine.accelerators.end()
                               : engine.accelerators.find(server->second.accelerator);
  if (accelerator == engine.accelerators.end()) {
    return 0.0;
  }
  const double tokens = size.prompt_tokens + size.answer_tokens * kMeanAnswerShare;
  return tokens * part.layers.Count() * PrefillMsPerTokenLayer(engine, accelerator->second) *
         m_health.SlowdownFactor(part.server);
}

void RecoveryChooser::Consider(const ForwardingView& view,
                               const EngineProfile& engine,
                               const GenerationSize& size,
                               const LayerPath& kept,
                               std::optional<FoundPath> found,
                               std::optional<RecoveryPath>& best) const {
  if (!found || found->link_ms > 0) {
    return;
  }
  double longest = 0.0;
  double sum = 0.0;
  for (const PathPart& part : found->path) {
    if (ContainsPart(kept, part)) {
      continue;
    }
    const double prefill_ms = PrefillMs(view, engine, size, part);
    longest = std::max(longest, m_backlog.WaitMs(part.server) + prefill_ms);
    sum += prefill_ms;
  }
  const bool keeps_first_server = !kept.empty();
  const double pause =
      longest + sum * kUnoverlappedPrefill + (keeps_first_server ? 0.0 : kRestartMs);
  if (!best || pause < best->expected_pause_ms) {
    best = RecoveryPath{std::move(*found), keeps_first_server, pause};
  }
}

std::optional<RecoveryPath> RecoveryChooser::Choose(const ForwardingView& view,
                                                    const ServiceName& service,
                                                    const GenerationSize& size,
                                                    const LayerPath& present,
                                                    const std::set<BackendServerName>& avoided,
                                                    bool may_restart) {
  auto best = Find(view, service, size, present, avoided, may_restart);
  if (best) {
    // The other instances reroute their streams of the lost server at the same time.
    AddToBacklog(view, service, size, present, *best, 1.0 + m_loads.OthersTrafficRatio());
  }
  return best;
}

void RecoveryChooser::AddToBacklog(const ForwardingView& view,
                                   const ServiceName& service,
                                   const GenerationSize& size,
                                   const LayerPath& present,
                                   const RecoveryPath& recovery,
                                   double instances) {
  const EngineProfile& engine = *view.rules->services.at(service).engine;
  for (const PathPart& part : recovery.found.path) {
    if (!recovery.keeps_first_server || !ContainsPart(present, part)) {
      m_backlog.Add(part.server, PrefillMs(view, engine, size, part) * instances);
    }
  }
}

std::optional<RecoveryPath> RecoveryChooser::Find(const ForwardingView& view,
                                                  const ServiceName& service,
                                                  const GenerationSize& size,
                                                  const LayerPath& present,
                                                  const std::set<BackendServerName>& avoided,
                                                  bool may_restart) const {
  const auto found_service = view.rules->services.find(service);
  if (found_service == view.rules->services.end() || !found_service->second.engine) {
    return std::nullopt;
  }
  const EngineProfile& engine = *found_service->second.engine;
  std::optional<RecoveryPath> best;
  if (!present.empty()) {
    const auto first = view.servers.find(present.front().server);
    if (first != view.servers.end()) {
      const FailureDomainName& domain = first->second.failure_domain;
      Consider(view, engine, size, present,
               m_paths.Find(view, service, size, domain, avoided, {present.front(), domain}), best);
    }
  }
  if (may_restart) {
    for (const FailureDomainName& domain : DomainsOf(view, service)) {
      Consider(view, engine, size, {},
               m_paths.Find(view, service, size, domain, avoided, {std::nullopt, domain}), best);
    }
  }
  return best;
}

}  // namespace zinnia
