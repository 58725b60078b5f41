#pragma once

#include <cstdint>
#include <cstring>
#include <string>
#include <vector>

#include "zinnia_base/hashing/fingerprint.h"
#include "zinnia_decisions/ports/step.h"

namespace zinnia {

/** A deterministic model whose every value depends on all previous layers and positions. A layer
    that is skipped, repeated or run on a wrong cache changes the text; the split of layers into
    stages does not. */
class FakeModel {
 public:
  /** The cache of one layer: a value for each position. */
  using LayerCache = std::vector<std::uint64_t>;

  static std::vector<std::string> Words(const std::string& prompt) {
    std::vector<std::string> words(1);
    for (const char character : prompt) {
      if (character == ' ') {
        words.emplace_back();
      } else {
        words.back().push_back(character);
      }
    }
    return words;
  }

  static std::string Embed(const std::string& word) { return ToState(Hash64(word)); }
  static std::string Embed(TokenId token) { return ToState(Mix(token, kTokenSalt)); }

  /** Runs one layer on one position and appends the position to its cache. */
  static std::string RunLayer(std::uint32_t layer, const std::string& state, LayerCache& cache) {
    const std::uint64_t input = FromState(state);
    const std::uint64_t seen = cache.empty() ? 0 : cache.back();
    cache.push_back(Mix(seen, input));
    return ToState(Mix(Mix(input, seen), layer));
  }

  static SampledToken Sample(const std::string& state, std::uint64_t seed) {
    constexpr std::uint64_t kVocabulary = 50'000;
    const auto id = static_cast<TokenId>(Mix(FromState(state), seed) % kVocabulary);
    return {.id = id, .text = "t" + std::to_string(id) + " "};
  }

 private:
  static constexpr std::uint64_t kTokenSalt = 0x9e3779b97f4a7c15;

  static std::uint64_t Mix(std::uint64_t left, std::uint64_t right) {
    std::uint64_t value = (left ^ (right + kTokenSalt)) * 0xbf58476d1ce4e5b9;
    value ^= value >> 29;
    value *= 0x94d049bb133111eb;
    return value ^ (value >> 32);
  }

  static std::string ToState(std::uint64_t value) {
    return {reinterpret_cast<const char*>(&value), sizeof(value)};
  }
  static std::uint64_t FromState(const std::string& state) {
    std::uint64_t value = 0;
    std::memcpy(&value, state.data(), sizeof(value));
    return value;
  }
};

}  // namespace zinnia
