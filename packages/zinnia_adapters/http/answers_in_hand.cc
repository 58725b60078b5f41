#include "zinnia_adapters/http/answers_in_hand.h"

#include <algorithm>
#include <utility>

namespace zinnia {

void AnswersInHand::Set(Call call, std::size_t bytes) {
  m_bytes -= std::exchange(m_calls[call], bytes);
  m_bytes += bytes;
}

void AnswersInHand::Remove(Call call) {
  const auto found = m_calls.find(call);
  if (found != m_calls.end()) {
    m_bytes -= found->second;
    m_calls.erase(found);
  }
}

std::optional<AnswersInHand::Excess> AnswersInHand::TakeExcess() {
  if (m_bytes <= m_most_bytes) {
    return std::nullopt;
  }
  const auto most = std::max_element(
      m_calls.begin(), m_calls.end(),
      [](const auto& first, const auto& second) { return first.second < second.second; });
  const Excess excess{most->first, most->second};
  Remove(excess.call);
  return excess;
}

}  // namespace zinnia
