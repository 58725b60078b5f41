#pragma once

#include <cstddef>

namespace zinnia {

/** Bounds on one answer of a server. An answer beyond one of them is broken off. */
struct AnswerLimits {
  /** Of the status line and the fields of one head. */
  std::size_t head_bytes = std::size_t{64} << 10;

  /** Interim heads (1xx) before the answer, and the bytes of all of them. */
  std::size_t interim_heads = 16;
  std::size_t interim_bytes = std::size_t{64} << 10;

  /** The line before a chunk with its extensions, or the trailer section. */
  std::size_t line_bytes = std::size_t{16} << 10;

  /** Of one event of a stream, until its end has arrived. */
  std::size_t event_bytes = std::size_t{1} << 20;

  /** Of the whole body, without the framing of chunks. */
  std::size_t body_bytes = std::size_t{32} << 20;
};

/** The default for what all answers in hand hold together: one of the longest, and many others. */
constexpr std::size_t kAnswersInHandBytes = std::size_t{48} << 20;

}  // namespace zinnia
