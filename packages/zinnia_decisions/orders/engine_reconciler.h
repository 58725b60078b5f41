#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "zinnia_decisions/orders/load_planner.h"
#include "zinnia_decisions/orders/order_role.h"
#include "zinnia_decisions/ports/engine_orders.h"
#include "zinnia_decisions/ports/snapshot_source.h"

namespace zinnia {

/** Reconciles the engines of one pool with the layer ranges that the configuration assigns them.

    Every instance runs one for each pool; only the holder of the pool's role polls the engines and
    orders loads. An accepted order does not count as done: loads are ordered again until the state
    that the engine reports matches.

    Call Start after Create, and Stop for a planned shutdown.

    @see OrderRole, PlanLoads
*/
class EngineReconciler {
 public:
  /** Fails with kInvalidSettings. */
  static Result<std::unique_ptr<EngineReconciler>> Create(OrderRoleParts parts,
                                                          EngineOrders& engines,
                                                          const SnapshotSource& snapshots,
                                                          OrderSettings settings,
                                                          std::string pool);
  ~EngineReconciler();

  void Start();
  void Stop();

  bool HoldsRole() const { return m_role.MaySend(); }

 private:
  struct Engine {
    std::optional<EngineState> state;
    TimePoint read_at{};
    std::optional<TimePoint> ordered_at;
    bool reading = false;
  };

  EngineReconciler(OrderRoleParts parts,
                   EngineOrders& engines,
                   const SnapshotSource& snapshots,
                   OrderSettings settings,
                   std::string pool);
  void Tick();
  void ReadStates(const FleetSnapshot& fleet);
  void ReadState(const BackendServerName& server);
  void OnState(const BackendServerName& server, const Result<EngineState>& result);
  void OrderLoads(const FleetSnapshot& fleet);
  EnginePlanView ViewOf(const ServerView& server, const Configuration& configuration) const;
  bool MayOrder(const BackendServer& server, const Engine& engine) const;
  bool IsOrderInFlight(const Engine& engine) const;
  void SendOrder(const BackendServerName& server, const LoadedRange& target);
  void OnOrdered(const BackendServerName& server, const Result<void>& result);
  std::uint64_t HighestEpochSeen() const;

  OrderRoleParts m_parts;
  EngineOrders& m_engine_orders;
  const SnapshotSource& m_snapshots;
  const OrderSettings m_settings;
  const std::string m_pool;
  OrderRole m_role;
  std::map<BackendServerName, Engine> m_engines;
  std::uint64_t m_next_order = 1;
  std::unique_ptr<ScheduledCall> m_timer;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace zinnia
