#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "zinnia_adapters/forwarding/forward_exchange.h"
#include "zinnia_adapters/forwarding/forward_outcomes.h"
#include "zinnia_adapters/forwarding/log_text.h"
#include "zinnia_base/logging/logger.h"
#include "zinnia_decisions/forwarding/admission/capacity_queue.h"
#include "zinnia_decisions/forwarding/limits/limit_availability.h"
#include "zinnia_decisions/forwarding/limits/server_limits.h"
#include "zinnia_decisions/forwarding/observed_state/forwarding_view.h"
#include "zinnia_decisions/ports/metrics.h"

// The part of ForwardExchange that waits for capacity, and heeds the limits that servers name.

namespace zinnia {
namespace {

/** Servers named in one log line. */
constexpr std::ptrdiff_t kMostNamed = 8;

}  // namespace

/** Plain servers queue by themselves, and one that is free is taken: there only a server's turn at
    its limit is worth waiting for. */
void ForwardExchange::WaitForRoom() {
  const bool queues = m_route->repeatability == Repeatability::kStream;
  if (MayWait(AvailabilityUnderLimits(), queues, m_route->latency_objective)) {
    const TimePoint start_deadline = m_started_at + m_route->latency_objective / 2;
    m_capacity_ticket =
        m_parts.capacity_queue.Enter({m_route->priority, m_started_at, start_deadline});
  }
  if (m_capacity_ticket == CapacityQueue::kNoTicket) {
    RefuseForWantOfRoom();
  }
}

void ForwardExchange::RefuseForWantOfRoom() {
  const bool is_limit = AvailabilityUnderLimits().all_at_limit;
  Answer(NotRun(ErrorKind::kOverloaded,
                is_limit ? "every server of " + m_service + " has as many requests as it takes"
                         : "no server of " + m_service + " has room"));
}

LimitAvailability ForwardExchange::AvailabilityUnderLimits() const {
  return FindLimitAvailability(*m_parts.view(), m_service, m_avoided, m_parts.limits);
}

bool ForwardExchange::TryToBegin() {
  if (m_ended || !ChooseServer()) {
    return false;
  }
  m_parts.capacity_queue.Leave(std::exchange(m_capacity_ticket, CapacityQueue::kNoTicket));
  m_parts.logger.Log(
      LogLevel::kInfo, "request_waited_for_room",
      {{"request", m_facts.id}, {"waited_ms", Milliseconds(m_parts.clock.Now() - m_started_at)}});
  Send();
  return true;
}

/** Who asks why a request went elsewhere finds the servers that it was kept from. */
void ForwardExchange::LogServersAtLimit() {
  const std::vector<BackendServerName> closed = AvailabilityUnderLimits().at_limit;
  if (closed.empty()) {
    return;
  }
  const auto end = closed.begin() + std::min<std::ptrdiff_t>(std::ssize(closed), kMostNamed);
  m_parts.metrics.Count("requests_past_server_limits");
  m_parts.logger.Log(LogLevel::kInfo, "servers_at_limit",
                     {{"request", m_facts.id},
                      {"count", std::to_string(closed.size())},
                      {"servers", fmt::format("{}", fmt::join(closed.begin(), end, ","))}});
}

/** 421 may come from another server that got the address. That there is no limit any more is
    believed of signed answers only: others may be cut short, or not be the server's. */
void ForwardExchange::NoteLimit() {
  const std::optional<double> limit = m_answer_facts.requests_per_second;
  const bool is_own_word = m_status != kStatusMisdirected && (limit || m_answer_facts.is_signed);
  if (is_own_word && m_parts.limits.OnAnswer(m_server, limit, m_sent_at)) {
    m_parts.report_limit(m_server);
  }
}

}  // namespace zinnia
