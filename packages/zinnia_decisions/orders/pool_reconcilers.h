#pragma once

#include <map>
#include <memory>
#include <string>

#include "zinnia_base/errors/result.h"
#include "zinnia_decisions/orders/order_role.h"

namespace zinnia {

class EngineOrders;
class EngineReconciler;
class SnapshotSource;
struct FleetSnapshot;

/** Runs an EngineReconciler for each pool with a desired model for at least one server.

    Call OnSnapshot for each new snapshot. A pool without orders has no reconciler and therefore
   uses no lease in the store.

    @see EngineReconciler
*/
class PoolReconcilers {
 public:
  /** Fails with kInvalidSettings. */
  static Result<std::unique_ptr<PoolReconcilers>> Create(OrderRoleParts parts,
                                                         EngineOrders& engines,
                                                         const SnapshotSource& snapshots,
                                                         OrderSettings settings);
  ~PoolReconcilers();

  void OnSnapshot(const FleetSnapshot& snapshot);

  /** Releases all roles, for a planned stop. */
  void Stop();

  /** Whether this instance may send orders to that pool now. */
  bool HoldsRole(const std::string& pool) const;

 private:
  PoolReconcilers(OrderRoleParts parts,
                  EngineOrders& engines,
                  const SnapshotSource& snapshots,
                  OrderSettings settings);

  const OrderRoleParts m_parts;
  EngineOrders& m_engine_orders;
  const SnapshotSource& m_snapshots;
  const OrderSettings m_settings;
  std::map<std::string, std::unique_ptr<EngineReconciler>> m_reconcilers;
  bool m_stopped = false;
};

}  // namespace zinnia
