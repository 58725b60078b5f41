#pragma once

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/forwarding/forwarding_view.h"
#include "zinnia_decisions/forwarding/layer_planner.h"
#include "zinnia_decisions/orders/order_role.h"
#include "zinnia_world/fleet/layer_range.h"

namespace zinnia {

class LayerOrders;
class Logger;

/** Keeps the layers of one pool placed, while this instance holds the right to give orders to it.

    An engine gets one range for its whole life: an order that was lost and is carried out much
    later then asks for what holds anyway. After everything restarted at once, engines still hold
    their layers, and nothing is ordered.
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

  /** Renews or seeks the right to give orders. */
  void TickRole();

  void Stop() { m_role.StepDown("planned stop"); }

 private:
  struct Assignment {
    LayerRange layers;
    std::optional<TimePoint> sent_at;
    bool accepted = false;
  };

  bool IsSettled(const std::vector<ServerEntry>& servers);
  void Assign(const EngineProfile& engine, const std::vector<ServerEntry>& servers);
  void AssignVacated(const std::vector<ServerEntry>& servers);
  void SendOrders(const std::vector<ServerEntry>& servers);
  void OnAnswer(const BackendServerName& server, const Result<void>& result);

  const OrderRoleParts m_parts;
  const OrderSettings m_settings;
  LayerOrders& m_orders;
  Logger& m_logger;
  const ServiceName m_service;
  OrderRole m_role;
  std::map<BackendServerName, Assignment> m_assignments;
  std::map<BackendServerName, ServerEntry> m_seen;
  std::vector<ServerEntry> m_vacated;
  std::size_t m_last_count = 0;
  TimePoint m_last_change{};
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace zinnia
