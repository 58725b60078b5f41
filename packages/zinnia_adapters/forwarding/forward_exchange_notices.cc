#include "zinnia_adapters/forwarding/forward_exchange.h"
#include "zinnia_adapters/forwarding/forward_outcomes.h"
#include "zinnia_adapters/forwarding/log_text.h"
#include "zinnia_base/logging/logger.h"
#include "zinnia_decisions/forwarding/limits/server_limits.h"
#include "zinnia_decisions/ports/metrics.h"

// What servers say of themselves in their answers, in ForwardExchange.

namespace zinnia {

/** Ignores 421, which another server at a reused address may have sent. */
void ForwardExchange::HandleNotices() {
  if (m_attempt.status == kStatusMisdirected) {
    return;
  }
  if (!m_attempt.answer_facts.notices.unreadable.empty()) {
    m_parts.logger.Log(
        LogLevel::kWarning, "server_notice_unreadable",
        {{"server", m_attempt.server}, {"notice", m_attempt.answer_facts.notices.unreadable}});
  }
  NoteLimit();
  NotePause();
  NoteLeaving();
}

/** The removal of a limit is accepted from signed answers only, since others may be truncated or
    come from another server. */
void ForwardExchange::NoteLimit() {
  const std::optional<double> limit = m_attempt.answer_facts.notices.requests_per_second;
  const bool is_from_server = limit || m_attempt.answer_facts.is_signed;
  if (is_from_server && m_parts.limits.OnAnswer(m_attempt.server, limit, m_attempt.sent_at)) {
    m_parts.report_limit(m_attempt.server);
  }
}

/** Reported with every answer, since the directory may have lost an earlier report. */
void ForwardExchange::NoteLeaving() {
  if (m_attempt.answer_facts.notices.is_leaving) {
    m_parts.report_server_state({m_attempt.server, {}, true, true});
  }
}

void ForwardExchange::NotePause() {
  if (!m_attempt.answer_facts.notices.pause) {
    return;
  }
  m_parts.limits.OnPauseRequested(m_attempt.server, *m_attempt.answer_facts.notices.pause);
  m_parts.metrics.SetGauge("server_pauses_in_force",
                           static_cast<double>(m_parts.limits.CountPauses()));
  m_parts.logger.Log(LogLevel::kInfo, "server_pause_heard",
                     {{"request", m_facts.id},
                      {"server", m_attempt.server},
                      {"pause_ms", Milliseconds(*m_attempt.answer_facts.notices.pause)}});
}

}  // namespace zinnia
