#pragma once

#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/routing/completion_model.h"
#include "zinnia_decisions/routing/fleet_index.h"
#include "zinnia_decisions/routing/local_server_loads.h"
#include "zinnia_decisions/routing/pipeline_chooser.h"

namespace zinnia {

/** Input of SelectServer for one stage. `candidates` is never empty and has no excluded server. */
struct StageContext {
  const FleetIndex& index;
  const RouteQuery& query;
  LayerRange layers;
  HopPosition position;
  std::span<const std::uint32_t> candidates;
};

/** The server selected for a stage and its part of the route's cost. */
struct StageSelection {
  std::uint32_t server = 0;
  double cost = 0.0;
};

/** Base class of the choosers: filters usable servers, indexes the snapshot, tracks this chooser's
    sessions in flight and predicts latencies. Subclasses select among the usable servers.

    The index is rebuilt when the snapshot's sequence number changes, and at every call if the
    number is 0.

    @see RoundRobinChooser, LeastLoadedChooser, ShortestCompletionChooser, CompletionChooser
*/
class IndexedChooser : public PipelineChooser {
 public:
  explicit IndexedChooser(const Clock& clock) : m_clock(clock) {}

  Result<RouteChoice> Choose(const FleetSnapshot& fleet, const RouteQuery& query) final;
  Result<RouteChoice> Replace(const FleetSnapshot& fleet,
                              const Route& route,
                              std::size_t hop,
                              const RouteQuery& query) final;
  void OnSent(const Route& route, const RouteQuery& query) final;
  void OnFinished(const Route& route, const RouteQuery& query) final;

 protected:
  /** Order in which a model's pipelines are tried. Of equally cheap ones the first is chosen. */
  virtual std::vector<std::size_t> PipelineOrder(const RouteQuery& query, std::size_t count);

  /** Number of usable pipelines after which the search stops. */
  virtual std::size_t MaxComparedPipelines() const;

  virtual StageSelection SelectServer(const StageContext& context) = 0;

  /** Called by OnSent with each route that was sent a request. */
  virtual void OnRouteUsed(const Route& route, const RouteQuery& query);

  virtual std::string_view Reason() const = 0;

  /** Estimated sessions at a server: the reported number plus this chooser's change since the
      report, and at least its sessions in flight. */
  static double CorrectedSessions(const IndexedServer& server);

  const Clock& GetClock() const { return m_clock; }

 private:
  struct Candidate {
    const IndexedPipeline* pipeline = nullptr;
    std::vector<std::uint32_t> servers;
    double cost = 0.0;
  };

  void RefreshIndex(const FleetSnapshot& fleet);
  std::optional<Candidate> TryPipeline(const IndexedPipeline& pipeline, const RouteQuery& query);
  std::optional<StageSelection> TryStage(const IndexedStage& stage,
                                         HopPosition position,
                                         const RouteQuery& query);
  void FilterExcluded(const std::vector<std::uint32_t>& servers, const RouteQuery& query);
  RouteChoice MakeChoice(Route route, const RouteQuery& query) const;
  Route MakeRoute(const Candidate& candidate, const RouteQuery& query) const;

  const Clock& m_clock;
  LocalServerLoads m_local_loads;
  std::uint64_t m_indexed_sequence = 0;
  std::unique_ptr<FleetIndex> m_index;
  std::vector<std::uint32_t> m_allowed;
};

}  // namespace zinnia
