#include "zinnia_decisions/sessions/generated_answer.h"

#include <array>
#include <cstring>
#include <string>

#include "zinnia_decisions/sessions/resume_token.h"

namespace zinnia {

Fingerprint ExtendDeliveredHash(const Fingerprint& before, std::string_view token_text) {
  constexpr std::size_t kShortText = 112;
  std::array<char, sizeof(before.high) + sizeof(before.low) + kShortText> buffer;
  std::memcpy(buffer.data(), &before.high, sizeof(before.high));
  std::memcpy(buffer.data() + sizeof(before.high), &before.low, sizeof(before.low));
  constexpr std::size_t kHeader = sizeof(before.high) + sizeof(before.low);
  if (token_text.size() <= kShortText) {
    std::memcpy(buffer.data() + kHeader, token_text.data(), token_text.size());
    return Fingerprint::Of({buffer.data(), kHeader + token_text.size()});
  }
  std::string bytes(buffer.data(), kHeader);
  bytes.append(token_text);
  return Fingerprint::Of(bytes);
}

GeneratedAnswer::GeneratedAnswer(std::uint32_t max_tokens, const ResumePoint* resume)
    : m_max_tokens(max_tokens) {
  if (resume != nullptr) {
    m_withheld = resume->delivered_tokens;
    m_withheld_hash = resume->delivered_hash;
    m_delivered = resume->delivered_tokens;
  }
}

GeneratedAnswer::Verdict GeneratedAnswer::Add(const SampledToken& token) {
  m_tokens.push_back(token.id);
  m_hash = ExtendDeliveredHash(m_hash, token.text);
  m_ended = token.end_of_answer;
  if (m_tokens.size() > m_withheld) {
    ++m_delivered;
    return Verdict::kDeliver;
  }
  const bool is_last_withheld = m_tokens.size() == m_withheld;
  const bool diverged = is_last_withheld ? m_hash != m_withheld_hash : m_ended;
  return diverged ? Verdict::kDiverged : Verdict::kWithhold;
}

std::uint32_t GeneratedAnswer::CachedPositions() const {
  if (m_tokens.empty()) {
    return 0;
  }
  return m_prompt_tokens.value_or(0) + static_cast<std::uint32_t>(m_tokens.size()) - 1;
}

bool GeneratedAnswer::IsComplete() const {
  return m_ended || (!m_tokens.empty() && m_tokens.size() >= m_max_tokens);
}

}  // namespace zinnia
