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

/** One stage that needs a server: who may take it and what for. `candidates` is never empty and
    holds no excluded server. */
struct StageContext {
  const FleetIndex& index;
  const RouteQuery& query;
  LayerRange layers;
  HopPosition position;
  std::span<const std::uint32_t> candidates;
};

/** The server picked for a stage and what it counts towards the cost of the route. */
struct StageSelection {
  std::uint32_t server = 0;
  double cost = 0.0;
};

/** What all choosers share: which servers may be used at all, the index over the snapshot, the
    memory of what was sent, the expected times. Subclasses say which of the allowed ones to take.

    A snapshot is indexed once and known again by its sequence number. Snapshots with sequence 0
    are taken as unnumbered and indexed at every call, so number them where speed matters.

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
  /** In which order to look at a model's pipelines; the first of the cheapest is taken. */
  virtual std::vector<std::size_t> PipelineOrder(const RouteQuery& query, std::size_t count);

  /** After how many usable pipelines to stop looking. */
  virtual std::size_t MaxComparedPipelines() const;

  virtual StageSelection SelectServer(const StageContext& context) = 0;

  /** Called for each route that is really used. */
  virtual void OnRouteUsed(const Route& route, const RouteQuery& query);

  virtual std::string_view Reason() const = 0;

  /** Sessions believed to be at a server: the report, corrected by what was sent and finished here
      since, and never fewer than are in flight from here. */
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
