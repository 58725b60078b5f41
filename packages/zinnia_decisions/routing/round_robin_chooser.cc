#include "zinnia_decisions/routing/round_robin_chooser.h"

#include <algorithm>

namespace zinnia {

std::vector<std::size_t> RoundRobinChooser::PipelineOrder(const RouteQuery& query,
                                                          std::size_t count) {
  auto order = IndexedChooser::PipelineOrder(query, count);
  if (count > 0) {
    const std::size_t first = m_next_pipeline[query.model]++ % count;
    std::rotate(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(first), order.end());
  }
  return order;
}

StageSelection RoundRobinChooser::SelectServer(const StageContext& context) {
  const std::size_t turn = m_next_server[{context.query.model, context.layers.first}]++;
  return {.server = context.candidates[turn % context.candidates.size()], .cost = 0.0};
}

}  // namespace zinnia
