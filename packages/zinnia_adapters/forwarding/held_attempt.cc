#include "zinnia_adapters/forwarding/held_attempt.h"

namespace zinnia {

/** Another server has the request by now. */
bool HeldAttempt::OnServerConnected() {
  return false;
}

void HeldAttempt::OnServerAnswerHead(unsigned status, const boost::beast::http::fields& fields) {
  m_is_useless = !m_callbacks.is_usable(status, fields);
  m_arrived.head = Arrived::Head{status, fields};
}

void HeldAttempt::OnServerAnswerBody(std::string_view bytes) {
  if (m_is_useless) {
    return;
  }
  m_arrived.body.append(bytes);
  if (!m_events || m_events->Take(bytes).empty()) {
    return;
  }
  if (const auto next = m_next.lock()) {
    m_callbacks.on_word();
  }
}

void HeldAttempt::OnServerAnswerEnd() {
  const auto next = m_next.lock();
  if (!next) {
    return;
  }
  if (m_is_useless) {
    m_callbacks.on_lost(std::nullopt);
    return;
  }
  if (m_events && m_events->HasPartialEvent()) {
    m_callbacks.on_lost(AnswerFailure::kBroken);
    return;
  }
  if (m_callbacks.on_word()) {
    next->OnServerAnswerEnd();
  }
}

void HeldAttempt::OnServerFailed(AnswerFailure failure, std::string_view) {
  if (const auto next = m_next.lock()) {
    m_callbacks.on_lost(failure);
  }
}

void HeldAttempt::OnRerouted(std::optional<LayerPath> path) {
  m_attempt.rerouting = false;
  if (path) {
    m_attempt.path = std::move(*path);
  }
}

}  // namespace zinnia
