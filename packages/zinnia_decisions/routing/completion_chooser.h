#pragma once

#include "zinnia_base/random/random_source.h"
#include "zinnia_decisions/routing/indexed_chooser.h"
#include "zinnia_decisions/routing/prefix_history.h"

namespace zinnia {

/** Settings of CompletionChooser, described in docs/operations/routing.md. */
struct CompletionChooserSettings {
  /** Servers compared per stage. A larger stage is sampled at random. */
  std::size_t compared_servers = 8;
  std::size_t compared_pipelines = 8;

  /** Weight of the slowdown that a new session causes for the sessions already at the server. 0
      considers this request only. */
  double slowdown_of_others = 1.0;

  /** Target time between tokens. A server is full when it cannot meet it for all its sessions. */
  double wanted_between_tokens_seconds = 0.035;

  /** Link time per token and hop above which `weight_of_slow_links` applies. Without it,
      sessions would be moved from busy servers to links too slow to meet any deadline. */
  double tolerated_link_seconds = 0.005;

  /** Multiplies the link time above the threshold. */
  double weight_of_slow_links = 5.0;

  /** Fraction of the prefill time that a cached prefix is expected to save. */
  double cached_share = 0.5;

  /** Weight of the local estimate of a server's sessions (this chooser's sessions times the number
      of instances, current but coarse) against its load report (complete but stale). */
  double trust_in_own_sessions = 0.5;

  /** Each cost is multiplied by a random factor between 1 and 1 + `noise`. */
  double noise = 0.02;

  std::size_t remembered_prefixes = 4096;
};

/** Chooses the route with the lowest expected completion time plus the slowdown that it causes for
    other sessions.

    Low load goes to fast, near servers; high load spreads in proportion to the servers' rates.
    Since a session occupies one server of its route at a time, the load of a server follows from
    the target time between tokens.

    Instances that act on the same stale load report would overload the same server. Each chooser
    therefore also extrapolates from its own sessions in flight, compares a random sample of servers
    and adds noise to the costs. Weighted rendezvous hashing routes equal prefixes from every
    instance to the same servers unless those are busy.

    @see PredictHop, ShortestCompletionChooser
*/
class CompletionChooser final : public IndexedChooser {
 public:
  CompletionChooser(const Clock& clock,
                    RandomSource random,
                    CompletionChooserSettings settings = {});

 protected:
  std::vector<std::size_t> PipelineOrder(const RouteQuery& query, std::size_t count) override;
  std::size_t MaxComparedPipelines() const override { return m_settings.compared_pipelines; }
  StageSelection SelectServer(const StageContext& context) override;
  void OnRouteUsed(const Route& route, const RouteQuery& query) override;
  std::string_view Reason() const override {
    return "shortest expected completion with the slowdown of others counted";
  }

 private:
  void SampleCandidates(const StageContext& context);
  std::uint32_t PreferredServer(const StageContext& context) const;
  double CostOf(const StageContext& context, std::uint32_t candidate, bool probably_cached) const;
  double ExpectedSessions(const FleetIndex& index, const IndexedServer& server) const;

  RandomSource m_random;
  const CompletionChooserSettings m_settings;
  PrefixHistory m_prefix_history;
  std::vector<std::uint32_t> m_sampled;
};

}  // namespace zinnia
