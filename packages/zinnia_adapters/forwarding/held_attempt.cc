#include "zinnia_adapters/forwarding/held_attempt.h"

namespace zinnia {

/** Another server has the request by now. */
bool HeldAttempt::OnServerConnected() {
  return false;
}

void HeldAttempt::OnServerAnswerHead(unsigned status, const boost::beast::http::fields& fields) {
  m_is_useless = !m_callbacks.is_usable(status, fields);
  m_head = Head{status, fields};
}

HeldAnswerBytes HeldAttempt::OnServerAnswerBody(std::string_view bytes) {
  if (m_is_useless) {
    return Held();
  }
  m_body.append(bytes);
  if (!m_events || m_events->Take(bytes).empty()) {
    return Held();
  }
  const auto next = m_next.lock();
  if (!next) {
    return Held();
  }
  m_callbacks.on_word();
  return PassOnArrived();
}

HeldAnswerBytes HeldAttempt::Held() const {
  const std::size_t event = m_events ? m_events->PartialEventBytes() : 0;
  return {m_attempt.body.size() + m_body.size() + event, event};
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
  m_callbacks.on_word();
  PassOnArrived();
  next->OnServerAnswerEnd();
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

HeldAnswerBytes HeldAttempt::PassOnArrived() {
  const auto next = m_next.lock();
  if (next && m_head) {
    next->OnServerAnswerHead(m_head->status, m_head->fields);
  }
  if (next && !m_body.empty()) {
    return next->OnServerAnswerBody(m_body);
  }
  return {};
}

}  // namespace zinnia
