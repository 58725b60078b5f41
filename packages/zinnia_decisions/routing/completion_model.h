#pragma once

#include "zinnia_decisions/routing/pipeline_chooser.h"

namespace zinnia {

class FleetIndex;
struct IndexedServer;
struct ServerRates;

/** Position of a hop in its route. The first hop receives text and the last returns tokens; between
    hops, hidden states are transferred. */
struct HopPosition {
  std::size_t hop = 0;
  std::size_t hops = 1;
  bool First() const { return hop == 0; }
  bool Last() const { return hop + 1 == hops; }
};

/** Predicted latency of one hop in seconds. `links_per_token` is the round trip over its links;
    `base_per_token` adds the step time of an idle server. `load_per_session` is the increase of the
    time per token with each session at the server. */
struct HopPrediction {
  double prefill = 0.0;
  double base_per_token = 0.0;
  double links_per_token = 0.0;
  double load_per_session = 0.0;
};

/** Predicts the latency of a hop from the server's rates and its links.

    Assumes that the time per token grows linearly with the sessions at the server. The links in
    both directions are those between the instance and the server, because the instance relays
    hidden states.
*/
HopPrediction PredictHop(const FleetIndex& index,
                         const IndexedServer& server,
                         HopPosition position,
                         const RouteQuery& query);

/** Seconds that a token spends at a server that each of `sessions` sessions visits once every
    `between_tokens_seconds`.

    Models a batching server as a queue: a batch holds the tokens that arrive during one iteration,
    and a new token first waits for the running iteration to end. Utilization is clamped below 1;
    the excess counts as backlog, so that overloaded servers are still compared by their rates.

    @see CompletionChooser
*/
double StepSeconds(const ServerRates& rates, double sessions, double between_tokens_seconds);

}  // namespace zinnia
