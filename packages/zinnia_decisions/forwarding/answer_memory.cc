#include "zinnia_decisions/forwarding/answer_memory.h"

#include <algorithm>
#include <utility>

namespace zinnia {

std::shared_ptr<AnswerMemory> AnswerMemory::Create(std::size_t limit) {
  return std::shared_ptr<AnswerMemory>(new AnswerMemory(limit));
}

AnswerMemory::Share::Share(std::shared_ptr<AnswerMemory> memory,
                           std::function<void(std::size_t bytes)> let_go)
    : m_memory(std::move(memory)), m_let_go(std::move(let_go)) {
  m_memory->m_shares.insert(this);
}

AnswerMemory::Share::~Share() {
  Clear();
  m_memory->m_shares.erase(this);
}

void AnswerMemory::Share::Set(std::size_t bytes) {
  const auto memory = m_memory;  // This share may be destroyed below.
  memory->m_sum = memory->m_sum - m_bytes + bytes;
  m_bytes = bytes;
  memory->LetGoBeyondLimit();
}

void AnswerMemory::Share::Clear() {
  m_memory->m_sum -= std::exchange(m_bytes, 0);
}

void AnswerMemory::LetGoBeyondLimit() {
  while (m_sum > m_limit) {
    Share* const largest = *std::ranges::max_element(m_shares, {}, &Share::m_bytes);
    const std::size_t bytes = largest->m_bytes;
    largest->Clear();
    const auto let_go = largest->m_let_go;  // The share may be destroyed by the call.
    let_go(bytes);
  }
}

}  // namespace zinnia
