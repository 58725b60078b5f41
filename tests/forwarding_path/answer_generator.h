#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>

#include "tests/forwarding_path/generated_answer.h"

namespace zinnia {

/** Draws answers from a seed: sound ones of every kind, most of which are then mutated. */
class AnswerGenerator {
 public:
  explicit AnswerGenerator(std::uint64_t seed) : m_random(seed) {}

  /** `last_event`: the events up to this one have arrived already. */
  GeneratedAnswer Draw(RequestKind kind, const std::string& id, int attempt, int last_event);

  /** The whole stream of a request, or its events from one to another. */
  static std::string Events(const std::string& id, int first, int last);
  static int EventCount(const std::string& id);

  /** In all bodies of servers, and in none of the instance's own. */
  static constexpr std::string_view kMark = "mine:";

 private:
  enum class Framing { kLength, kChunks, kUntilEnd, kNone };

  std::uint64_t Below(std::uint64_t bound) { return m_random() % bound; }
  bool OneIn(std::uint64_t count) { return Below(count) == 0; }
  template <typename List>
  const auto& OneOf(const List& list) {
    return list[Below(std::size(list))];
  }

  void DrawStatus();
  void DrawBody(int last_event);
  void DrawHead();
  std::string Chunked(const std::string& body);
  std::string Whole() const { return m_interim + m_head + "\r\n" + m_framed; }
  void Mutate();
  void Spoil(const std::string& name);
  void MutateFields();
  void MutateFraming();
  void MutateStatus();
  void CutShort();
  void AddBytes();
  void Pour();
  void Split(std::string bytes);

  std::mt19937_64 m_random;
  GeneratedAnswer m_answer;
  std::string m_id;
  RequestKind m_kind = RequestKind::kOnce;
  Framing m_framing = Framing::kLength;
  std::string m_sent_body;
  std::string m_interim;
  std::string m_head;
  std::string m_framed;

  /** What is sent instead of the whole answer. */
  std::optional<std::string> m_bytes;
  int m_first_event = 1;
};

}  // namespace zinnia
