#pragma once

#include "zinnia_decisions/routing/pipeline_chooser.h"

namespace zinnia {

class FleetIndex;
struct IndexedServer;
struct ServerRates;

/** Where a hop stands in its route: the first gets text, the last gives tokens; all other legs
    carry hidden states. */
struct HopPosition {
  std::size_t hop = 0;
  std::size_t hops = 1;
  bool First() const { return hop == 0; }
  bool Last() const { return hop + 1 == hops; }
};

/** What one hop is expected to add, in seconds. `base_per_token` is an empty server's step with
    `links_per_token`, both legs of its links. `load_per_session` is how much each further session
    at the server slows down every token there. */
struct HopPrediction {
  double prefill = 0.0;
  double base_per_token = 0.0;
  double links_per_token = 0.0;
  double load_per_session = 0.0;
};

/** Predicts the time of a hop from the rates of the server and the links on both sides.

    A batching server is taken as one that serves its sessions by turns: with n sessions a token
    takes the step time of the empty server, or n tokens at full rate if that is longer. Both legs
    run between the instance and the server, because states are relayed by the instance.
*/
HopPrediction PredictHop(const FleetIndex& index,
                         const IndexedServer& server,
                         HopPosition position,
                         const RouteQuery& query);

/** Seconds that a token spends at a server which `sessions` sessions pass once in
   `between_tokens_seconds`.

    A session is at one server at a time, so the sessions of a route are not all in the batch: the
    batch is what arrives during an iteration. The iteration lasts its base time and more for each
    token in it, and a token also waits for the end of the one that is running. Beyond nearly full
    use the rest is a backlog that every token waits for, so that full servers get further sessions
    in proportion to their rates.

    @see CompletionChooser
*/
double StepSeconds(const ServerRates& rates, double sessions, double between_tokens_seconds);

}  // namespace zinnia
