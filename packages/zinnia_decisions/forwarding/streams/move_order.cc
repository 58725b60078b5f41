#include "zinnia_decisions/forwarding/streams/move_order.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace zinnia {

bool IsPauseOnTime(Duration pause, Duration event_gap_objective) {
  return event_gap_objective <= Duration::zero() || pause <= event_gap_objective;
}

std::vector<std::size_t> MoveOrder::Of(const std::vector<std::optional<MoveRank>>& ranks) {
  std::vector<std::size_t> order(ranks.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(order.begin(), order.end(), [&](std::size_t one, std::size_t other) {
    const std::optional<MoveRank>& left = ranks[one];
    const std::optional<MoveRank>& right = ranks[other];
    if (!left || !right) {
      return !left && right;
    }
    return std::make_tuple(!left->is_on_time, left->urgency_class, left->expected_rest) <
           std::make_tuple(!right->is_on_time, right->urgency_class, right->expected_rest);
  });
  return order;
}

}  // namespace zinnia
