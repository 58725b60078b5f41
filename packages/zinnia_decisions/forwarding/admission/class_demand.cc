#include "zinnia_decisions/forwarding/admission/class_demand.h"

#include <algorithm>
#include <cmath>

namespace zinnia {

// Ratios of the sums do not change while they decay, so reading them needs no update.

void ClassDemand::OnArrival(std::size_t request_class, double work) {
  Sums& sums = Update(request_class);
  sums.work += work;
  sums.arrived += 1.0;
}

void ClassDemand::OnStarted(std::size_t request_class) {
  Update(request_class).started += 1.0;
}

double ClassDemand::MoreUrgentPart(std::size_t request_class) const {
  double more_urgent = 0.0;
  double all = 0.0;
  for (std::size_t other = 0; other < m_classes.size(); ++other) {
    all += m_classes[other].work;
    if (other < request_class) {
      more_urgent += m_classes[other].work;
    }
  }
  return all > 0.0 ? more_urgent / all : 0.0;
}

double ClassDemand::ServedRatio(std::size_t request_class) const {
  if (request_class >= m_classes.size()) {
    return 1.0;
  }
  double arrived = 0.0;
  double started = 0.0;
  for (const Sums& sums : m_classes) {
    arrived += sums.arrived;
    started += sums.started;
  }
  const Sums& own = m_classes[request_class];
  if (own.arrived <= 0.0 || started <= 0.0) {
    return 1.0;
  }
  return (own.started / own.arrived) / (started / arrived);
}

ClassDemand::Sums& ClassDemand::Update(std::size_t request_class) {
  const TimePoint now = m_clock.Now();
  const std::chrono::duration<double> passed = now - m_updated_at;
  const double kept = std::exp(-passed / std::chrono::duration<double>(kMemory));
  for (Sums& sums : m_classes) {
    sums.work *= kept;
    sums.arrived *= kept;
    sums.started *= kept;
  }
  m_updated_at = now;
  m_classes.resize(std::max(m_classes.size(), request_class + 1));
  return m_classes[request_class];
}

}  // namespace zinnia
