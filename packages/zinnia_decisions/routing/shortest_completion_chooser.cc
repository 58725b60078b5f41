#include "zinnia_decisions/routing/shortest_completion_chooser.h"

#include <limits>

namespace zinnia {

StageSelection ShortestCompletionChooser::SelectServer(const StageContext& context) {
  StageSelection best{.cost = std::numeric_limits<double>::infinity()};
  for (const std::uint32_t candidate : context.candidates) {
    const IndexedServer& server = context.index.Servers()[candidate];
    const auto hop = PredictHop(context.index, server, context.position, context.query);
    const double sessions = CorrectedSessions(server) + 1.0;
    const double per_token = hop.base_per_token + sessions * hop.load_per_session;
    const double seconds = hop.prefill + context.query.answer_tokens * per_token;
    if (seconds < best.cost) {
      best = {candidate, seconds};
    }
  }
  return best;
}

}  // namespace zinnia
