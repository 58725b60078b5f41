#include "zinnia_decisions/orders/pool_reconcilers.h"

#include <set>
#include <utility>

#include "zinnia_decisions/orders/engine_reconciler.h"
#include "zinnia_decisions/ports/snapshot_source.h"

namespace zinnia {
namespace {

std::set<std::string> PoolsWithOrders(const FleetSnapshot& snapshot) {
  std::set<std::string> pools;
  for (const auto& [name, order] : snapshot.configuration->server_orders()) {
    const auto server = snapshot.servers.find(name);
    if (order.desired_model && server != snapshot.servers.end()) {
      pools.insert(server->second.server.pool);
    }
  }
  return pools;
}

}  // namespace

Result<std::unique_ptr<PoolReconcilers>> PoolReconcilers::Create(OrderRoleParts parts,
                                                                 EngineOrders& engines,
                                                                 const SnapshotSource& snapshots,
                                                                 OrderSettings settings) {
  const Result<void> checked = CheckOrderSettings(settings);
  if (!checked) {
    return checked.error();
  }
  return std::unique_ptr<PoolReconcilers>(new PoolReconcilers(parts, engines, snapshots, settings));
}

PoolReconcilers::PoolReconcilers(OrderRoleParts parts,
                                 EngineOrders& engines,
                                 const SnapshotSource& snapshots,
                                 OrderSettings settings)
    : m_parts(parts), m_engine_orders(engines), m_snapshots(snapshots), m_settings(settings) {}

PoolReconcilers::~PoolReconcilers() = default;

void PoolReconcilers::OnSnapshot(const FleetSnapshot& snapshot) {
  if (m_stopped) {
    return;
  }
  const std::set<std::string> pools = PoolsWithOrders(snapshot);
  for (auto& [pool, reconciler] : m_reconcilers) {
    if (!pools.contains(pool)) {
      reconciler->Stop();
    }
  }
  std::erase_if(m_reconcilers, [&](const auto& entry) { return !pools.contains(entry.first); });
  for (const std::string& pool : pools) {
    auto& reconciler = m_reconcilers[pool];
    if (!reconciler) {
      reconciler =
          EngineReconciler::Create(m_parts, m_engine_orders, m_snapshots, m_settings, pool).value();
      reconciler->Start();
    }
  }
}

void PoolReconcilers::Stop() {
  m_stopped = true;
  for (auto& [pool, reconciler] : m_reconcilers) {
    reconciler->Stop();
  }
}

bool PoolReconcilers::HoldsRole(const std::string& pool) const {
  const auto found = m_reconcilers.find(pool);
  return found != m_reconcilers.end() && found->second->HoldsRole();
}

}  // namespace zinnia
