#include "zinnia_decisions/routing/least_loaded_chooser.h"

#include <limits>

namespace zinnia {

StageSelection LeastLoadedChooser::SelectServer(const StageContext& question) {
  StageSelection best{.cost = std::numeric_limits<double>::infinity()};
  for (const std::uint32_t candidate : question.candidates) {
    const double sessions = CorrectedSessions(question.index.Servers()[candidate]);
    if (sessions < best.cost) {
      best = {candidate, sessions};
    }
  }
  return best;
}

}  // namespace zinnia
