#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <unordered_map>
#include <vector>

#include "bench/support/fleet_plan.h"
#include "bench/support/simulation_time.h"

namespace zinnia::bench {

/** Is told when a server has run a step. `attempt` is what was given with the step. */
class StepSink {
 public:
  virtual ~StepSink() = default;
  virtual void OnStepRun(std::uint32_t attempt) = 0;
};

/** A batching engine in virtual time: runs iterations over up to a full batch of steps, first come
    first served, each longer with every token in it; keeps a bounded cache of prompt prefixes and
    tells its load as it was some time ago. */
class SimulatedServer {
 public:
  SimulatedServer(SimulationTime& time, BackendServer server);

  const BackendServer& Server() const { return m_server; }
  const EngineCost& Cost() const { return m_cost; }
  bool IsDead() const { return m_dead; }

  /** Queues a step with that many new prompt tokens (0: one decoded token). Dead servers drop it.
   */
  void Enqueue(StepSink& sink, std::uint32_t attempt, std::uint32_t prompt_tokens);

  /** Drops everything and answers nothing until Revive. */
  void Kill();
  void Revive();

  void AddSession() { ++m_sessions; }
  void RemoveSession();

  bool HoldsPrefix(std::uint64_t prefix) const { return m_prefixes.contains(prefix); }
  void UsePrefix(std::uint64_t prefix);

  /** The number of sessions `lag` ago. */
  std::uint32_t SessionsBefore(Duration lag) const;

  /** Notes the present load; call it at regular times. */
  void SampleLoad();

 private:
  struct Step {
    StepSink* sink;
    std::uint32_t attempt;
    std::uint32_t prompt_tokens;
  };

  void StartIteration();
  void EndIteration(std::uint64_t life);

  SimulationTime& m_time;
  const BackendServer m_server;
  const EngineCost m_cost;
  std::deque<Step> m_queue;
  std::vector<Step> m_batch;
  bool m_running = false;
  bool m_dead = false;
  std::uint64_t m_life = 0;
  std::uint32_t m_sessions = 0;
  std::deque<std::pair<TimePoint, std::uint32_t>> m_samples;
  std::list<std::uint64_t> m_prefix_order;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_prefixes;
};

}  // namespace zinnia::bench
