#include "zinnia_decisions/routing/least_loaded_chooser.h"

#include <limits>

namespace zinnia {

StageSelection LeastLoadedChooser::SelectServer(const StageContext& context) {
  StageSelection best{.cost = std::numeric_limits<double>::infinity()};
  for (const std::uint32_t candidate : context.candidates) {
    const double sessions = CorrectedSessions(context.index.Servers()[candidate]);
    if (sessions < best.cost) {
      best = {candidate, sessions};
    }
  }
  return best;
}

}  // namespace zinnia
