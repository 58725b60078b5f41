#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "zinnia_base/hashing/fingerprint.h"
#include "zinnia_decisions/ports/step.h"

namespace zinnia {

struct ResumePoint;

/** Extends the rolling hash of the delivered text by one token, in constant time. The hash of the
    empty text is a default Fingerprint. */
Fingerprint ExtendDeliveredHash(const Fingerprint& before, std::string_view token_text);

/** The tokens generated so far for one answer, and how many of them were delivered.

    On resume, tokens that the caller already has are withheld and checked against the hash of the
    delivered text.
*/
class GeneratedAnswer {
 public:
  /** How to treat a token that was just added. */
  enum class Verdict { kDeliver, kWithhold, kDiverged };

  /** `resume` may be null. */
  GeneratedAnswer(std::uint32_t max_tokens, const ResumePoint* resume);

  Verdict Add(const SampledToken& token);

  /** The engine's token count of the prompt, available after the first prefill. */
  std::optional<std::uint32_t> PromptTokens() const { return m_prompt_tokens; }
  void SetPromptTokens(std::uint32_t count) { m_prompt_tokens = count; }

  /** Called before the first token, when a new route may use a version with another tokeniser. */
  void ResetPromptTokens() { m_prompt_tokens.reset(); }

  /** Number of positions in every stage's cache between two tokens: all but the last token, which
      is the input of the next step. Zero before the first token. */
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
