#include "zinnia_decisions/admission/start_tags.h"

#include <algorithm>

namespace zinnia {
double StartTags::Earliest(double cost, double weight) const {
  return m_virtual_time - m_max_saved_requests * cost / weight;
}

double StartTags::Assign(double& finish_tag, double cost, double weight) const {
  const double start_tag = std::max(Earliest(cost, weight), finish_tag);
  finish_tag = start_tag + cost / weight;
  return start_tag;
}

void StartTags::OnServed(double start_tag) {
  m_virtual_time = std::max(m_virtual_time, start_tag);
}

}  // namespace zinnia
