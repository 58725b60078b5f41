#pragma once

#include "zinnia_adapters/forwarding/engine_calls.h"

namespace zinnia {

class ServerLimits;

/** Counts engine calls as requests to a server, since its rate limit includes them. */
class CountedEngineCalls final : public EngineCalls {
 public:
  /** Both must outlive it. */
  CountedEngineCalls(EngineCalls& calls, ServerLimits& limits) : m_calls(calls), m_limits(limits) {}

  void ReadReport(const PathPart& first,
                  std::function<void(Result<EngineReport>)> callback) override;
  void Probe(const PathPart& server, std::function<void(bool)> callback) override;
  void AskHealth(const PathPart& server,
                 const std::string& health_path,
                 std::function<void(HealthAnswer)> callback) override;
  void Reroute(const std::string& request_id,
               const LayerPath& path,
               std::function<void(RerouteAnswer)> callback) override;

 private:
  EngineCalls& m_calls;
  ServerLimits& m_limits;
};

}  // namespace zinnia
