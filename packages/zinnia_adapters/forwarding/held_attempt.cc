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

HeldAnswerBytes HeldAttempt::OnServerAnswerBody(std::string_view bytes) {
  if (m_is_useless) {
    return Held();
  }
  m_arrived.body.Append(bytes);
  if (!m_events || m_events->Take(bytes).empty()) {
    return Held();
  }
  if (const auto next = m_next.lock()) {
    m_callbacks.on_word();
    return {};  // The listener that has taken the attempt back counts from now on.
  }
  return Held();
}

HeldAnswerBytes HeldAttempt::Held() const {
  const std::size_t event = m_events ? m_events->PartialEventBytes() : 0;
  return {m_attempt.body.Size() + m_arrived.body.Size() + event, event};
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

void HeldAttempt::OnStepFailed() {
  if (const auto next = m_next.lock()) {
    next->OnStepFailed();
  }
}

void HeldAttempt::OnRerouted(std::optional<LayerPath> path) {
  m_attempt.rerouting = false;
  if (path) {
    m_attempt.path = std::move(*path);
  }
}

}  // namespace zinnia
