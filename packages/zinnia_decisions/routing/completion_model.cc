#include "zinnia_decisions/routing/completion_model.h"

#include <algorithm>

#include "zinnia_decisions/routing/fleet_index.h"

namespace zinnia {
namespace {

/** Size of one token's hidden state on the wire. */
constexpr double kHiddenStateBytes = 16'384.0;
constexpr double kTokenBytes = 64.0;

/** Batch size at which the decode rate applies. */
constexpr double kFullBatchTokens = 16.0;

/** Part of an idle server's step time that does not depend on the batch size. */
constexpr double kFixedShareOfEmptyStep = 0.7;

/** A token arrives halfway through an iteration on average and completes with the next one. */
constexpr double kMeanIterationsPerToken = 1.5;
constexpr double kMaxUtilization = 0.9;

double LinkSeconds(const FleetIndex& index,
                   const IndexedServer& server,
                   HopPosition position,
                   double tokens) {
  const double out = tokens * (position.First() ? kTokenBytes : kHiddenStateBytes);
  const double back = position.Last() ? kTokenBytes : tokens * kHiddenStateBytes;
  return index.Links().OneWaySeconds(index.OwnDomain(), server.failure_domain, out) +
         index.Links().OneWaySeconds(server.failure_domain, index.OwnDomain(), back);
}

}  // namespace

HopPrediction PredictHop(const FleetIndex& index,
                         const IndexedServer& server,
                         HopPosition position,
                         const RouteQuery& query) {
  const ServerRates& rates = server.rates;
  const double links = LinkSeconds(index, server, position, 1.0);
  return {.prefill = query.prompt_tokens / rates.prefill_tokens_per_second +
                     LinkSeconds(index, server, position, query.prompt_tokens),
          .base_per_token = rates.base_step_seconds + links,
          .links_per_token = links,
          .load_per_session = 1.0 / rates.decode_tokens_per_second};
}

double StepSeconds(const ServerRates& rates, double sessions, double between_tokens_seconds) {
  const double base = kFixedShareOfEmptyStep * rates.base_step_seconds;
  const double per_token = 1.0 / rates.decode_tokens_per_second - base / kFullBatchTokens;
  const double utilization = sessions * per_token / between_tokens_seconds;
  const double clamped_utilization = std::min(utilization, kMaxUtilization);
  const double idle_fraction = 1.0 - clamped_utilization;
  const double backlog = (utilization - clamped_utilization) * between_tokens_seconds;
  return kMeanIterationsPerToken * (base / idle_fraction + backlog);
}

}  // namespace zinnia
