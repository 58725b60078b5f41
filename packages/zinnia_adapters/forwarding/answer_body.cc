#include "zinnia_adapters/forwarding/answer_body.h"

#include <utility>

namespace zinnia {

void AnswerBody::Append(std::string_view bytes) {
  if (bytes.empty()) {
    return;
  }
  m_size += bytes.size();
  if (m_pieces.empty() || m_pieces.back().size() + bytes.size() > kPieceBytes) {
    m_pieces.emplace_back(bytes);
  } else {
    m_pieces.back().append(bytes);
  }
}

void AnswerBody::Clear() {
  std::vector<std::string>().swap(m_pieces);
  m_size = 0;
}

std::string AnswerBody::Take() {
  if (m_pieces.size() == 1) {
    std::string body = std::move(m_pieces.front());
    Clear();
    return body;
  }
  std::string body;
  body.reserve(m_size);
  for (std::string& piece : m_pieces) {
    body += std::string(std::move(piece));  // Frees the piece.
  }
  Clear();
  return body;
}

}  // namespace zinnia
