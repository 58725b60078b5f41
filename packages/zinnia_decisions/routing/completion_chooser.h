#pragma once

#include "zinnia_base/random/random_source.h"
#include "zinnia_decisions/routing/indexed_chooser.h"
#include "zinnia_decisions/routing/prefix_history.h"

namespace zinnia {

/** What steers CompletionChooser. The defaults are those that docs/design/routing.md measured. */
struct CompletionChooserSettings {
  /** How many servers of a stage are compared; of more, so many are drawn at random. */
  std::size_t max_compared_servers = 8;
  std::size_t max_compared_pipelines = 8;

  /** How much of the slowdown of the sessions already there counts against a server. 0 looks only
      at this request. */
  double other_sessions_slowdown_weight = 1.0;

  /** The time between tokens that users want. Servers count as full when their sessions could not
      all have it. */
  double target_inter_token_seconds = 0.035;

  /** Seconds that a hop's links may take between two tokens before a route counts as slow, and how
      often what goes beyond that is counted. Full servers make a slow link look like the cheaper
      way, but whoever is sent over it cannot be in time at all; one notices admitted sessions that
      miss their deadlines while the others are quick. Such links are still used when nothing else
      is left or everything else is far too full. */
  double slow_link_threshold_seconds = 0.005;
  double slow_link_penalty = 5.0;

  /** Part of a prompt that a cached prefix is expected to save. */
  double cached_prefill_fraction = 0.5;

  /** The sessions at a server are estimated twice: from its report, which counts everybody's but is
      late, and from this chooser's own sessions times the number of instances, which is coarse but
      never late. This is the share of the second. */
  double local_estimate_weight = 0.5;

  /** Costs are multiplied by up to 1 + this at random. */
  double noise = 0.02;

  /** Prefixes remembered by one chooser. */
  std::size_t prefix_history_capacity = 4096;
};

/** Chooses routes by expected completion and by what the choice costs everybody else.

    A session is at one of its servers at a time. How much of a server it uses follows from the time
    between tokens that users want. If sessions counted as if they were at all servers of a route
    at once, pipelines of few stages would run full batches while longer ones had room.

    The expected time of a hop grows with the sessions at the server; a further session slows the
    others too, and that slowdown is counted, so that load spreads by rate when it is high and goes
    to fast near servers when it is low. Instances that see the same late report would all run to
    the same server, and then all away from it; one notices load that swings with the period of the
    reports. So each chooser also counts what it has in flight itself, which is never late, as if
    the other instances had the same, compares only some servers drawn at random, and adds a little
    noise. Equal prefixes go to the same servers
    from every instance (rendezvous hashing), unless those are busy.

    @see PredictHop, ShortestCompletionChooser
*/
class CompletionChooser final : public IndexedChooser {
 public:
  CompletionChooser(const Clock& clock,
                    RandomSource random,
                    CompletionChooserSettings settings = {});

 protected:
  std::vector<std::size_t> PipelineOrder(const RouteQuery& query, std::size_t count) override;
  std::size_t MaxComparedPipelines() const override { return m_settings.max_compared_pipelines; }
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
