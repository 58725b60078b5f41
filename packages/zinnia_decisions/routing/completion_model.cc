#include "zinnia_decisions/routing/completion_model.h"

#include "zinnia_decisions/routing/fleet_index.h"

namespace zinnia {
namespace {

/** What a hidden state of one position takes on the wire. */
constexpr double kStateBytes = 16'384.0;
constexpr double kTokenBytes = 64.0;

double LinkSeconds(const FleetIndex& index,
                   const IndexedServer& server,
                   HopPosition position,
                   double positions) {
  const double out = positions * (position.First() ? kTokenBytes : kStateBytes);
  const double back = position.Last() ? kTokenBytes : positions * kStateBytes;
  return index.Links().OneWaySeconds(index.OwnDomain(), server.failure_domain, out) +
         index.Links().OneWaySeconds(server.failure_domain, index.OwnDomain(), back);
}

}  // namespace

HopPrediction PredictHop(const FleetIndex& index,
                         const IndexedServer& server,
                         HopPosition position,
                         const RouteQuery& query) {
  const ServerRates& rates = server.rates;
  return {.prefill = query.prompt_tokens / rates.prefill_tokens_per_second +
                     LinkSeconds(index, server, position, query.prompt_tokens),
          .base_per_token = rates.base_step_seconds + LinkSeconds(index, server, position, 1.0),
          .load_per_session = 1.0 / rates.decode_tokens_per_second};
}

}  // namespace zinnia
