#include "zinnia_decisions/forwarding/streams/move_attempts.h"

#include <algorithm>
#include <iterator>

#include "zinnia_decisions/forwarding/streams/move_order.h"

namespace zinnia {

void MoveAttempts::OnRefused(const LayerPath& parts) {
  ++m_refusals;
  for (const PathPart& part : parts) {
    m_refused.insert(part.server);
  }
}

void MoveAttempts::OnProgress() {
  m_refusals = 0;
  m_refused.clear();
}

bool MoveAttempts::MayRetry(Duration pause, Duration event_gap_objective) const {
  return m_refusals <= kMaxRetries && IsPauseOnTime(pause, event_gap_objective);
}

LayerPath NewParts(const LayerPath& present, const LayerPath& path) {
  LayerPath added;
  std::copy_if(path.begin(), path.end(), std::back_inserter(added), [&](const PathPart& part) {
    return std::find(present.begin(), present.end(), part) == present.end();
  });
  return added;
}

LayerPath RefusedParts(const LayerPath& present,
                       const LayerPath& path,
                       const std::optional<NetworkAddress>& refused_by) {
  const auto named = std::find_if(path.begin(), path.end(), [&](const PathPart& part) {
    return refused_by && part.address == *refused_by;
  });
  return named == path.end() ? NewParts(present, path) : LayerPath{*named};
}

}  // namespace zinnia
