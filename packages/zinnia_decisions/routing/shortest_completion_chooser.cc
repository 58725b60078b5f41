#include "zinnia_decisions/routing/shortest_completion_chooser.h"

#include <limits>

namespace zinnia {

StageSelection ShortestCompletionChooser::SelectServer(const StageContext& question) {
  StageSelection best{.cost = std::numeric_limits<double>::infinity()};
  for (const std::uint32_t candidate : question.candidates) {
    const IndexedServer& server = question.index.Servers()[candidate];
    const auto hop = PredictHop(question.index, server, question.position, question.query);
    const double sessions = CorrectedSessions(server) + 1.0;
    const double per_token = hop.base_per_token + sessions * hop.load_per_session;
    const double seconds = hop.prefill + question.query.answer_tokens * per_token;
    if (seconds < best.cost) {
      best = {candidate, seconds};
    }
  }
  return best;
}

}  // namespace zinnia
