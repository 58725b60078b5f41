#include "zinnia_adapters/forwarding/held_attempt.h"

#include <utility>

namespace zinnia {

/** Another server has the request by now. */
bool HeldAttempt::OnServerConnected() {
  return false;
}

void HeldAttempt::OnServerAnswerHead(unsigned status, const boost::beast::http::fields& fields) {
  if (const auto next = m_next.lock()) {
    m_on_word();
    next->OnServerAnswerHead(status, fields);
  }
}

void HeldAttempt::OnServerAnswerBody(std::string_view bytes) {
  if (const auto next = m_next.lock()) {
    m_on_word();
    next->OnServerAnswerBody(bytes);
  }
}

void HeldAttempt::OnServerAnswerEnd() {
  if (const auto next = m_next.lock()) {
    m_on_word();
    next->OnServerAnswerEnd();
  }
}

void HeldAttempt::OnServerFailed(AnswerFailure failure, std::string_view) {
  if (const auto next = m_next.lock()) {
    m_on_lost(failure);
  }
}

}  // namespace zinnia
