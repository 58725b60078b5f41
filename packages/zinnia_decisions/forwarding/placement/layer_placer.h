#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/forwarding/beliefs/forwarding_view.h"
#include "zinnia_decisions/forwarding/placement/layer_planner.h"
#include "zinnia_decisions/orders/order_role.h"
#include "zinnia_world/fleet/layer_range.h"

namespace zinnia {

class LayerOrders;
class Logger;

/** Keeps the layers of one pool placed, while this instance holds the right to give orders to it.

    An engine that comes gets the range that another one left, or what the pool lacks most. A range
    that stays without a holder breaks the chain of its failure domain; slower engines of the same
    failure domain then share it. An order that was carried out much too late shows in the engine's
    entry and is followed by the right one again. Layers that its domain holds with little room
   count as missing, and spares go back when a range has its holder again. After everything
   restarted at once, engines still hold their layers, and nothing is ordered.
*/
class LayerPlacer {
 public:
  /** All must outlive it. */
  LayerPlacer(const OrderRoleParts& parts,
              const OrderSettings& settings,
              LayerOrders& orders,
              Logger& logger,
              ServiceName service);
  ~LayerPlacer();

  /** Call it about once in `settings.tick`, and whenever the view has changed. */
  void Tick(const ForwardingView& view);

  /** Renews the right to give orders, or seeks it if it `may_seek`: looking costs a call. */
  void TickRole(bool may_seek);

  /** Traffic found that an engine does not go on. Its range counts as vacant from now on. */
  void NoteStalled(const BackendServerName& server);

  /** Whether some peer says that the store serves it; see OrderRole::NoteStoreServesOthers. */
  void NoteStoreServesOthers(bool serves) { m_role.NoteStoreServesOthers(serves); }

  bool HoldsRole() const { return m_role.IsHeld(); }

  const ServiceName& Service() const { return m_service; }

  void Stop() { m_role.StepDown("planned stop"); }

 private:
  struct Assignment {
    LayerRange layers;
    std::optional<TimePoint> sent_at;
    bool accepted = false;
  };

  /** A range whose holder left, until a server like it holds it. */
  struct UncoveredRange {
    ServerEntry last_holder;
    TimePoint since{};

    /** Who is to hold it and is loading it. */
    std::optional<BackendServerName> assigned_to;

    /** The servers that share it meanwhile. */
    std::vector<BackendServerName> spares;
  };

  bool IsSettled(const std::vector<ServerEntry>& servers);

  /** Engines that do not check fencing numbers would carry out an earlier holder's order after this
      one's, and keep layers that nobody counts on. They get orders once none of his can be on its
      way. */
  bool MayOrder() const;
  void Assign(const EngineProfile& engine, const std::vector<ServerEntry>& servers);
  void DetectDepartures(const ForwardingView& view);
  void RestoreLayersOf(const ServerEntry& before, const ServerEntry& now);
  void DetectGaps(const EngineProfile& engine, const std::vector<ServerEntry>& servers);
  bool IsUncovered(const FailureDomainName& domain, const LayerRange& layers) const;
  void AssignUncovered(const std::vector<ServerEntry>& servers);
  void AssignRange(const ServerEntry& server, UncoveredRange& vacancy);
  void RemoveLoadedRanges(const std::vector<ServerEntry>& servers);
  void RestoreSpares(const UncoveredRange& vacancy);
  LayerRange PlannedLayers(const ServerEntry& server) const;

  /** With the layers that they hold or are to hold, without those that stalled. */
  std::vector<ServerEntry> WithPlannedLayers(const std::vector<ServerEntry>& servers) const;
  void CoverWithSpares(UncoveredRange& vacancy,
                       const LayerRange& missing,
                       const EngineProfile& engine,
                       const std::vector<ServerEntry>& servers);
  void RepairWithSpares(const EngineProfile& engine, const std::vector<ServerEntry>& servers);
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

  /** Since when layers, by the first of them, lack a holder in a failure domain. */
  std::map<std::pair<FailureDomainName, std::uint32_t>, TimePoint> m_gaps_since;

  /** Engines that came late and got what the pool lacked, so that no chain rests on them. */
  std::set<BackendServerName> m_extras;

  /** Spares that took over a part of a vacant range, and what they held before. */
  std::map<BackendServerName, LayerRange> m_layers_before_repair;

  /** Engines whose ranges were taken for vacant while they are still on record. */
  std::set<BackendServerName> m_stalled;
  std::size_t m_last_count = 0;
  TimePoint m_last_change{};
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace zinnia
