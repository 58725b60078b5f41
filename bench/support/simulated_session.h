#pragma once

#include <memory>
#include <vector>

#include "bench/support/simulation.h"

namespace zinnia::bench {

/** One admitted request on its way through the stages, token by token, relayed by its instance. */
class SimulatedSession final : public StepSink {
 public:
  static void Start(Simulation& simulation,
                    SimulatedInstance& instance,
                    const OfferedRequest& request,
                    std::unique_ptr<AdmissionGrant> grant);

  void OnStepRun(std::uint32_t attempt) override;

  /** Called when its instance has noticed that a server is dead; moves off it if it is on it. */
  void OnServerLost(const BackendServerName& server);

  bool IsOver() const { return m_over; }

 private:
  SimulatedSession(Simulation& simulation,
                   SimulatedInstance& instance,
                   const OfferedRequest& request,
                   std::unique_ptr<AdmissionGrant> grant);

  bool TakeRoute(Result<RouteChoice> choice);
  void LeaveRoute();
  void StartAttempt();
  std::uint32_t UncachedTokens();
  void SendToHop(std::size_t hop);
  void OnBackAtInstance();
  void OnToken();
  void Finish(bool answered);
  double StateBytes() const;

  Simulation& m_simulation;
  SimulatedInstance& m_instance;
  const OfferedRequest m_request;
  std::unique_ptr<AdmissionGrant> m_grant;
  RouteQuery m_query;
  Route m_route;
  std::vector<SimulatedServer*> m_servers;
  std::uint32_t m_attempt = 0;
  std::size_t m_hop = 0;
  std::uint32_t m_step_prompt_tokens = 0;
  std::uint32_t m_tokens = 0;
  TimePoint m_last_token_at{};
  TimePoint m_first_token_at{};
  bool m_over = false;
};

}  // namespace zinnia::bench
