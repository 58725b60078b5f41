#include "zinnia_decisions/forwarding/paths/recovery_chooser.h"

#include <algorithm>
#include <utility>

#include "zinnia_decisions/forwarding/beliefs/forwarding_view.h"
#include "zinnia_decisions/forwarding/beliefs/load_tracker.h"
#include "zinnia_decisions/forwarding/beliefs/server_health.h"
#include "zinnia_decisions/forwarding/paths/reading_time.h"

namespace zinnia {
namespace {

/** Starting again needs another connection and the first server's queue; keeping it is one order.
 */
constexpr double kStartAgainMs = 10.0;

/** Engines read prompts in pieces and pass each on, so later stages wait for about this part of
   what the others read. */
constexpr double kUnoverlappedReading = 0.3;

/** Of a stream's answer so much is there on average when its path breaks. */
constexpr double kAnswerSoFar = 0.5;

bool Keeps(const LayerPath& kept, const PathPart& part) {
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

double RecoveryChooser::ReadingMs(const ForwardingView& view,
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
  const double tokens = size.prompt_tokens + size.answer_tokens * kAnswerSoFar;
  return tokens * part.layers.Count() * ReadingMsPerTokenLayer(engine, accelerator->second) *
         m_health.Pace(part.server);
}

void RecoveryChooser::Consider(const ForwardingView& view,
                               const EngineProfile& engine,
                               const GenerationSize& size,
                               const LayerPath& kept,
                               std::optional<FoundPath> found,
                               std::optional<RecoveryPath>& best) const {
  if (!found || found->pipe_ms > 0) {
    return;
  }
  double longest = 0.0;
  double sum = 0.0;
  for (const PathPart& part : found->path) {
    if (Keeps(kept, part)) {
      continue;
    }
    const double reading = ReadingMs(view, engine, size, part);
    longest = std::max(longest, m_backlog.WaitMs(part.server) + reading);
    sum += reading;
  }
  const bool keeps_first = !kept.empty();
  const double pause = longest + sum * kUnoverlappedReading + (keeps_first ? 0.0 : kStartAgainMs);
  if (!best || pause < best->expected_pause_ms) {
    best = RecoveryPath{std::move(*found), keeps_first, pause};
  }
}

std::optional<RecoveryPath> RecoveryChooser::Choose(const ForwardingView& view,
                                                    const ServiceName& service,
                                                    const GenerationSize& size,
                                                    const LayerPath& present,
                                                    const std::set<BackendServerName>& avoided,
                                                    bool may_start_again) {
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
  if (may_start_again) {
    for (const FailureDomainName& domain : DomainsOf(view, service)) {
      Consider(view, engine, size, {},
               m_paths.Find(view, service, size, domain, avoided, {std::nullopt, domain}), best);
    }
  }
  if (best) {
    // The other instances move their streams of the same server at the same moment.
    const double instances = 1.0 + m_loads.OthersTrafficRatio();
    for (const PathPart& part : best->found.path) {
      if (!best->keeps_first || !Keeps(present, part)) {
        m_backlog.Add(part.server, ReadingMs(view, engine, size, part) * instances);
      }
    }
  }
  return best;
}

}  // namespace zinnia
