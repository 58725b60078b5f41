#include "zinnia_adapters/engines/step_batch.h"

#include <algorithm>

namespace zinnia {
namespace {

std::uint32_t WordsOf(const std::string& text) {
  return text.empty() ? 0 : 1 + static_cast<std::uint32_t>(std::ranges::count(text, ' '));
}

}  // namespace

std::uint32_t PositionsOf(const StepRequest& step) {
  if (const auto* tokens = std::get_if<TokenInput>(&step.input)) {
    return WordsOf(tokens->prompt) + static_cast<std::uint32_t>(tokens->tokens.size());
  }
  return static_cast<std::uint32_t>(std::get<HiddenInput>(step.input).states.size());
}

std::size_t BytesOf(const StepRequest& step) {
  if (const auto* tokens = std::get_if<TokenInput>(&step.input)) {
    return tokens->prompt.size();
  }
  std::size_t bytes = 0;
  for (const std::string& state : std::get<HiddenInput>(step.input).states) {
    bytes += state.size();
  }
  return bytes;
}

BatchKind KindOf(const StepRequest& step) {
  if (step.isolated) {
    return BatchKind::kIsolated;
  }
  return PositionsOf(step) > 1 ? BatchKind::kPrefill : BatchKind::kDecode;
}

}  // namespace zinnia
