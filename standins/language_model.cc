#include "language_model.h"

#include <array>

#include "zinnia_base/hashing/fingerprint.h"

namespace zinnia::standins {

namespace {

constexpr std::uint32_t kShortestAnswer = 8;
constexpr std::uint32_t kLongestAnswer = 48;

constexpr std::array<std::string_view, 48> kWords = {
    "karibu", "chumba", "kitanda", "leo",       "kesho",   "usiku",  "mgeni",   "bei",
    "ndiyo",  "hapana", "asante",  "tafadhali", "hosteli", "funguo", "mlango",  "chakula",
    "saa",    "siku",   "wiki",    "tatu",      "nne",     "tano",   "mbili",   "moja",
    "bed",    "room",   "guest",   "night",     "booking", "house",  "rules",   "quiet",
    "notice", "wall",   "owner",   "party",     "award",   "survey", "builder", "consent",
    "reply",  "window", "title",   "plan",      "before",  "after",  "with",    "and"};

/** Mixes two numbers into one; each bit of both changes about half of the result's bits. */
std::uint64_t Mix(std::uint64_t left, std::uint64_t right) {
  std::uint64_t mixed = (left ^ (right + 0x9e3779b97f4a7c15ULL)) * 0xff51afd7ed558ccdULL;
  mixed = (mixed ^ (mixed >> 32U) ^ (left << 17U | left >> 47U)) * 0xc4ceb9fe1a85ec53ULL;
  return mixed ^ (mixed >> 29U);
}

}  // namespace

LanguageModel::LanguageModel(std::string_view name, std::string_view version)
    : m_hash(Mix(Hash64(name), Hash64(version))) {}

std::uint64_t LanguageModel::EmbedWord(std::string_view word) const {
  return Mix(m_hash, Hash64(word));
}

std::uint64_t LanguageModel::EmbedToken(std::uint32_t token) const {
  return Mix(m_hash + 1, token);
}

std::uint64_t LanguageModel::Run(Layers layers,
                                 std::uint64_t input,
                                 std::vector<std::uint64_t>& cache) const {
  const std::size_t row = cache.size();
  const std::size_t before = row - layers.Count();
  cache.resize(row + layers.Count());
  std::uint64_t output = input;
  for (std::uint32_t index = 0; index < layers.Count(); ++index) {
    const std::uint64_t previous = row == 0 ? m_hash : cache[before + index];
    output = Mix(output + layers.first + index, previous);
    cache[row + index] = output;
  }
  return output;
}

std::uint32_t LanguageModel::Sample(std::uint64_t last_output,
                                    std::uint64_t seed,
                                    std::uint32_t index,
                                    std::uint32_t answer_tokens) const {
  if (index + 1 >= answer_tokens) {
    return kEndToken;
  }
  return 1 + static_cast<std::uint32_t>(Mix(last_output, seed) % kWords.size());
}

std::uint32_t LanguageModel::AnswerTokens(std::uint64_t prompt_output, std::uint64_t seed) {
  return kShortestAnswer + Mix(seed, prompt_output) % (kLongestAnswer - kShortestAnswer + 1);
}

std::string LanguageModel::TextOf(std::uint32_t token, std::uint32_t index) {
  if (token == kEndToken) {
    return "";
  }
  return std::string(index == 0 ? "" : " ") + std::string(kWords[(token - 1) % kWords.size()]);
}

}  // namespace zinnia::standins
