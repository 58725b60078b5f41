#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "zinnia_base/hashing/fingerprint.h"
#include "zinnia_decisions/ports/step.h"

namespace zinnia {

struct ResumePoint;

/** The hash of a delivered text, extended by one more token. Costs the same for any length of the
    text before it. Start from a default Fingerprint. */
Fingerprint ExtendDeliveredHash(const Fingerprint& before, std::string_view token_text);

/** What is known of one answer: the ids of its tokens and how many of them the caller has.

    For a resumed stream the first tokens are withheld, because the caller has them already, and
    compared with the hash of what was delivered.
*/
class KnownAnswer {
 public:
  /** What to do with a token that was just added. */
  enum class Verdict { kDeliver, kWithhold, kDiverged };

  /** `resume` may be null. */
  KnownAnswer(std::uint32_t max_tokens, const ResumePoint* resume);

  Verdict Add(const SampledToken& token);

  /** The engine's count of the prompt's tokens, known after the first prefill. */
  std::optional<std::uint32_t> PromptTokens() const { return m_prompt_tokens; }
  void SetPromptTokens(std::uint32_t count) { m_prompt_tokens = count; }

  /** Until the first token the answer may still move to another version with another tokeniser. */
  void ForgetPromptTokens() { m_prompt_tokens.reset(); }

  /** The positions that every stage holds between two tokens. The last known token is not among
      them: it is the input of the next step. Zero before the first token. */
  std::uint32_t CachedPositions() const;

  bool IsComplete() const;
  const std::vector<TokenId>& Tokens() const { return m_tokens; }
  std::uint32_t DeliveredTokens() const { return m_delivered; }
  const Fingerprint& DeliveredHash() const { return m_hash; }

 private:
  const std::uint32_t m_max_tokens;
  std::uint32_t m_withheld = 0;
  Fingerprint m_withheld_hash;
  std::optional<std::uint32_t> m_prompt_tokens;
  std::vector<TokenId> m_tokens;
  std::uint32_t m_delivered = 0;
  Fingerprint m_hash;
  bool m_ended = false;
};

}  // namespace zinnia
