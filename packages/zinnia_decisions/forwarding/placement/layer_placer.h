#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/forwarding/observed_state/forwarding_view.h"
#include "zinnia_decisions/forwarding/placement/layer_planner.h"
#include "zinnia_decisions/orders/order_role.h"
#include "zinnia_world/fleet/layer_range.h"

namespace zinnia {

class LayerOrders;
class Logger;
struct SparePool;

/** Assigns layer ranges to the engines of one pool while this instance holds the order role of the
    pool.

    A new engine gets the range of an engine that left, or the range with the least capacity. A
    range that stays uncovered breaks the chain of its failure domain, so slower engines of that
    domain cover it until it has a holder again; then they return to their previous layers. Layers
    with little capacity are treated like uncovered ones. So are, for prioritized services, those of
    a lost first server if the remaining ones cannot begin as many requests as there is memory for.

    An order that took effect too late shows in the view and is followed by the current one. Engines
    that still hold layers after a restart of all instances get no orders.
*/
class LayerPlacer {
 public:
  /** All references must outlive the object. */
  LayerPlacer(const OrderRoleParts& parts,
              const OrderSettings& settings,
              LayerOrders& orders,
              Logger& logger,
              ServiceName service);
  ~LayerPlacer();

  /** Call about once per `settings.tick` and after each change of the view. */
  void Tick(const ForwardingView& view);

  /** Renews the order role. If `may_seek`, also tries to acquire it, which costs a store call. */
  void TickRole(bool may_seek);

  /** Reports that an engine has stopped responding. Its range counts as uncovered from now on. */
  void OnEngineStalled(const BackendServerName& server);

  /** Tells whether a peer says the store serves it; see OrderRole::SetStoreServesOthers. */
  void SetStoreServesOthers(bool serves) { m_role.SetStoreServesOthers(serves); }

  /** See OrderRole::OnStoreEraChanged. */
  void OnStoreEraChanged(StoreEra era) { m_role.OnStoreEraChanged(era); }

  bool HoldsRole() const { return m_role.IsHeld(); }

  const ServiceName& Service() const { return m_service; }

  void Stop() { m_role.StepDown("planned stop"); }

 private:
  struct Assignment {
    LayerRange layers;
    std::optional<TimePoint> sent_at;
    bool accepted = false;
  };

  /** A layer range whose holder left, until another server has loaded it. */
  struct UncoveredRange {
    ServerEntry last_holder;
    TimePoint since{};

    /** The server that is loading the range. */
    std::optional<BackendServerName> assigned_to;

    /** Servers that cover the range until then. */
    std::vector<BackendServerName> spares;

    /** Whether it was logged that there are no spares for it. */
    bool is_logged = false;
  };

  /** Who covers an uncovered range, most urgent first. */
  enum class RangeCover {
    kNone,

    /** Another engine of the failure domain holds or is assigned exactly this range, for example
        one of a second chain. */
    kOtherHolder,
    kSpares,
  };

  /** Decides from the lost holder whether an engine may get its range. */
  using RangeFilter = bool (*)(const ServerEntry& last_holder, const ServerEntry& server);

  bool IsSettled(const std::vector<ServerEntry>& servers);

  /** Returns whether orders may be sent now. Engines that do not check fencing numbers could carry
      out an order of the previous holder after one of this holder. They get orders only when no
      order of the previous holder can still be in flight. */
  bool MayOrder() const;
  void Assign(const EngineProfile& engine, const std::vector<ServerEntry>& servers);
  void DetectDepartures(const ForwardingView& view);
  void RestoreLayersOf(const ServerEntry& before, const ServerEntry& now);
  void DetectGaps(const EngineProfile& engine, const std::vector<ServerEntry>& servers);

  /** Returns entries of failure domain, layers and, if known, accelerator of the engines that are
      missing. */
  std::vector<ServerEntry> FindGaps(const EngineProfile& engine,
                                    const FailureDomainName& domain,
                                    const std::vector<ServerEntry>& planned) const;
  bool IsUncovered(const FailureDomainName& domain, const LayerRange& layers) const;
  RangeCover CoverOf(const UncoveredRange& uncovered_range,
                     const std::vector<ServerEntry>& servers) const;
  void AssignUncovered(const EngineProfile& engine, const std::vector<ServerEntry>& servers);

  /** Assigns ranges with this cover to the empty engines that can hold them and that `is_eligible`
      accepts. */
  void AssignUncovered(const EngineProfile& engine,
                       const std::vector<ServerEntry>& servers,
                       RangeCover cover,
                       RangeFilter is_eligible);
  void AssignRange(const ServerEntry& server, UncoveredRange& uncovered_range);
  void RemoveLoadedRanges(const std::vector<ServerEntry>& servers);
  void RestoreSpares(const UncoveredRange& uncovered_range);
  void ForgetRecoveredEngines();
  LayerRange PlannedLayers(const ServerEntry& server) const;

  /** Returns the servers that are not stalled, with the layers they hold or are assigned. */
  std::vector<ServerEntry> WithPlannedLayers(const std::vector<ServerEntry>& servers) const;
  void DivideRange(UncoveredRange& uncovered_range,
                   const LayerRange& missing,
                   const EngineProfile& engine,
                   const std::vector<ServerEntry>& servers,
                   const SparePool& pool);
  void LogWithoutSpares(UncoveredRange& uncovered_range);
  SparePool MakeSparePool(const std::vector<ServerEntry>& servers) const;

  /** Removes the engines that chains depend on from the pool. A lost first server leaves its layers
      covered, so replacing it is not worth breaking another chain. */
  void KeepDispensable(const EngineProfile& engine,
                       const FailureDomainName& domain,
                       SparePool& pool) const;
  bool AdjoinsUncovered(const ServerEntry& server) const;
  void RepairWithSpares(const EngineProfile& engine, const std::vector<ServerEntry>& servers);
  void WithdrawBeyondMemory(const EngineProfile& engine, const std::vector<ServerEntry>& servers);
  void SendOrders(const std::vector<ServerEntry>& servers);
  void OnOrderResult(const BackendServerName& server, const Result<void>& result);

  const OrderRoleParts m_parts;
  const OrderSettings m_settings;
  LayerOrders& m_orders;
  Logger& m_logger;
  const ServiceName m_service;
  OrderRole m_role;
  std::map<BackendServerName, Assignment> m_assignments;
  std::map<BackendServerName, ServerEntry> m_last_servers;
  std::map<BackendServerName, TimePoint> m_empty_since;
  std::vector<UncoveredRange> m_uncovered;

  /** Since when a gap exists, by failure domain and first layer of the gap. */
  std::map<std::pair<FailureDomainName, std::uint32_t>, TimePoint> m_gaps_since;

  /** Engines that registered after the pool was planned. No chain depends on them. */
  std::set<BackendServerName> m_late_engines;

  /** Layers that spares held before they were assigned a part of an uncovered range. */
  std::map<BackendServerName, LayerRange> m_layers_before_repair;

  /** Stalled engines that are still in the view and whose ranges count as uncovered, and since
      when. */
  std::map<BackendServerName, TimePoint> m_stalled;

  /** Whether the requests that first servers can begin count as capacity; other services are placed
      by memory only. */
  bool m_is_prioritized = false;
  std::size_t m_last_server_count = 0;
  TimePoint m_server_count_changed_at{};
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace zinnia
