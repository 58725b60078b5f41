#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace zinnia::standins {

/** A layer range as half-open interval. */
struct Layers {
  std::uint32_t first = 0;
  std::uint32_t end = 0;

  bool operator==(const Layers&) const = default;
  std::uint32_t Count() const { return end - first; }
};

/** A hidden state between two stages. Later stages see no prompt, so it tells them its length. */
struct HiddenState {
  std::uint64_t hash = 0;
  std::uint32_t prompt_tokens = 0;
};

/** A model that hashes in the place of computing.

    A layer's output at a position is the hash of its input there and of its own output at the
    position before, which is what its cache holds. So a layer that is skipped, doubled or run out
    of order changes all later text, while the split of the layers into ranges changes nothing.
*/
class LanguageModel {
 public:
  static constexpr std::uint32_t kEndToken = 0;

  LanguageModel() = default;
  LanguageModel(std::string_view name, std::string_view version);

  /** The input of layer 0 for a word of the prompt or a token sampled before. */
  std::uint64_t EmbedWord(std::string_view word) const;
  std::uint64_t EmbedToken(std::uint32_t token) const;

  /** Runs `layers` on `input` at the position after those in `cache`, and appends their outputs,
      one number a layer. Gives the last layer's output. */
  std::uint64_t Run(Layers layers, std::uint64_t input, std::vector<std::uint64_t>& cache) const;

  /** The token after a position. `index` counts the answer's tokens from 0; the token number
      `answer_tokens` ends the answer. */
  std::uint32_t Sample(std::uint64_t last_output,
                       std::uint64_t seed,
                       std::uint32_t index,
                       std::uint32_t answer_tokens) const;

  /** The length of an answer, end token included, of a prompt whose last output is this. */
  static std::uint32_t AnswerTokens(std::uint64_t prompt_output, std::uint64_t seed);

  /** The text of a token: a word with a leading space, except at the start of the answer. */
  static std::string TextOf(std::uint32_t token, std::uint32_t index);

 private:
  std::uint64_t m_hash = 0;
};

}  // namespace zinnia::standins
