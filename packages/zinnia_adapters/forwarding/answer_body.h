#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace zinnia {

/** The body of an answer, kept until it is whole.

    Holds hardly more than its bytes while it grows, and nothing once it is cleared, assigned or
    taken. A string holds up to twice as much, three times while it grows, and keeps that when an
    empty one is assigned to it.
*/
class AnswerBody {
 public:
  void Append(std::string_view bytes);
  void Clear();

  /** Moves the body out. */
  std::string Take();

  std::size_t Size() const { return m_size; }

 private:
  /** No piece is longer unless it was appended so. */
  static constexpr std::size_t kPieceBytes = std::size_t{128} << 10;

  std::vector<std::string> m_pieces;
  std::size_t m_size = 0;
};

}  // namespace zinnia
