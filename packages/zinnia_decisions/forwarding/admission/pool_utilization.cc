#include "zinnia_decisions/forwarding/admission/pool_utilization.h"

#include <algorithm>
#include <map>
#include <vector>

#include "zinnia_decisions/forwarding/observed_state/forwarding_view.h"
#include "zinnia_decisions/forwarding/observed_state/load_tracker.h"
#include "zinnia_decisions/forwarding/observed_state/server_health.h"
#include "zinnia_decisions/forwarding/paths/path_finder.h"

namespace zinnia {
namespace {

struct DomainRoom {
  double slots = 0.0;
  std::vector<double> tokens_by_layer;
};

void AddServer(const EngineProfile& engine, const ServerEntry& server, DomainRoom& room) {
  room.tokens_by_layer.resize(engine.layers, 0.0);
  const double tokens = TokenLayerCapacity(engine, server) / server.layers.Count();
  const std::uint32_t end = std::min(server.layers.end, engine.layers);
  for (std::uint32_t layer = server.layers.first; layer < end; ++layer) {
    room.tokens_by_layer[layer] += tokens;
  }
  if (server.layers.first == 0) {
    const double usual = engine.usual_prompt_tokens + engine.usual_answer_tokens;
    room.slots += std::min<double>(server.most_requests, tokens / std::max(1.0, usual));
  }
}

}  // namespace

PoolUtilization FindPoolUtilization(const ForwardingView& view,
                                    const ServiceName& service,
                                    const LoadTracker& loads,
                                    const ServerHealth& health) {
  const EngineProfile& engine = *view.rules->services.at(service).engine;
  PoolUtilization utilization;
  std::map<FailureDomainName, DomainRoom> domains;
  for (const auto& [name, server] : view.servers) {
    if (server.service != service || server.layers.Count() == 0) {
      continue;
    }
    utilization.running += loads.UseOf(name).first_stage_requests;
    if (!server.draining && !health.IsSuspect(name)) {
      AddServer(engine, server, domains[server.failure_domain]);
    }
  }
  const double usual = std::max(1.0, engine.usual_prompt_tokens + engine.usual_answer_tokens);
  for (const auto& [domain, room] : domains) {
    const double scarcest =
        *std::min_element(room.tokens_by_layer.begin(), room.tokens_by_layer.end());
    utilization.capacity += std::min(room.slots, scarcest / usual);
  }
  return utilization;
}

}  // namespace zinnia
