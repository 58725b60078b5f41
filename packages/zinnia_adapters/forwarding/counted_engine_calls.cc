#include "zinnia_adapters/forwarding/counted_engine_calls.h"

#include <utility>

#include "zinnia_decisions/forwarding/limits/server_limits.h"

namespace zinnia {

void CountedEngineCalls::ReadReport(const PathPart& first,
                                    std::function<void(Result<EngineReport>)> callback) {
  m_limits.OnSent(first.server);
  m_calls.ReadReport(first, std::move(callback));
}

void CountedEngineCalls::Probe(const PathPart& server, std::function<void(bool)> callback) {
  m_limits.OnSent(server.server);
  m_calls.Probe(server, std::move(callback));
}

void CountedEngineCalls::AskHealth(const PathPart& server,
                                   const std::string& health_path,
                                   std::function<void(HealthAnswer)> callback) {
  m_limits.OnSent(server.server);
  m_calls.AskHealth(server, health_path, std::move(callback));
}

void CountedEngineCalls::Reroute(const std::string& request_id,
                                 const LayerPath& path,
                                 std::function<void(RerouteAnswer)> callback) {
  m_limits.OnSent(path.front().server);
  m_calls.Reroute(request_id, path, std::move(callback));
}

}  // namespace zinnia
