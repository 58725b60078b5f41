#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "zinnia_adapters/forwarding/forward_exchange.h"
#include "zinnia_adapters/forwarding/forward_outcomes.h"
#include "zinnia_adapters/forwarding/log_text.h"
#include "zinnia_adapters/forwarding/prompt_part_watch.h"
#include "zinnia_base/logging/logger.h"
#include "zinnia_decisions/forwarding/admission/capacity_queue.h"
#include "zinnia_decisions/forwarding/admission/service_admission.h"
#include "zinnia_decisions/forwarding/admission/service_admissions.h"
#include "zinnia_decisions/forwarding/limits/limit_availability.h"
#include "zinnia_decisions/forwarding/limits/server_limits.h"
#include "zinnia_decisions/forwarding/observed_state/forwarding_view.h"
#include "zinnia_decisions/ports/metrics.h"

// Waiting for capacity in ForwardExchange.

namespace zinnia {
namespace {

/** Maximum number of servers listed in one log event. */
constexpr std::ptrdiff_t kMaxLoggedServers = 8;

}  // namespace

/** Plain servers queue requests themselves, so requests to them wait here only for a rate limit. */
void ForwardExchange::WaitForRoom() {
  if (NeedsPeer()) {
    Answer(NotRun(ErrorKind::kOverloaded, "neither this instance nor its peers reach a server"));
    return;
  }
  if (IsHeldBack()) {
    m_parts.metrics.Count("requests_held_back");
    m_parts.logger.Log(LogLevel::kInfo, "request_held_back", {{"request", m_facts.id}});
  }
  const bool queues = m_route->repeatability == Repeatability::kStream;
  if (MayWait(AvailabilityUnderLimits(m_avoided), queues, m_route->latency_objective)) {
    const TimePoint start_deadline = m_started_at + m_route->latency_objective / 2;
    if (m_admission && !IsHeldBack()) {
      WaitByClass();
      return;
    }
    m_capacity_ticket =
        m_parts.capacity_queue.Enter({QueuePriority(), m_started_at, start_deadline});
  }
  if (m_capacity_ticket == CapacityQueue::kNoTicket) {
    RefuseForWantOfRoom();
  }
}

void ForwardExchange::RefuseForWantOfRoom() {
  if (IsHeldBack()) {
    Answer(NotRun(ErrorKind::kOverloaded,
                  "a part of the prompt may crash servers, so that few requests with it are sent"));
    return;
  }
  const bool is_limit = AvailabilityUnderLimits(m_avoided).all_at_limit;
  Answer(NotRun(ErrorKind::kOverloaded,
                is_limit ? "every server of " + m_service + " has as many requests as it takes"
                         : "no server of " + m_service + " has room"));
}

LimitAvailability ForwardExchange::AvailabilityUnderLimits(
    const std::set<BackendServerName>& avoided) const {
  return FindLimitAvailability(*m_parts.view(), m_service, avoided, m_parts.limits);
}

bool ForwardExchange::TryBegin() {
  if (m_ended || IsHeldBack()) {
    return false;
  }
  if (!ChooseServer()) {
    if (m_admission) {
      m_admission->OnNoRoom();
    }
    return false;
  }
  LeaveQueue();
  NoteStart();
  m_parts.logger.Log(
      LogLevel::kInfo, "request_waited_for_room",
      {{"request", m_facts.id}, {"waited_ms", Milliseconds(m_parts.clock.Now() - m_started_at)}});
  Send();
  return true;
}

void ForwardExchange::LeaveQueue() {
  const std::uint64_t ticket = std::exchange(m_capacity_ticket, CapacityQueue::kNoTicket);
  if (const auto admission = std::exchange(m_queued_by_class, nullptr)) {
    admission->Queue().Leave(ticket);
  } else if (ticket != CapacityQueue::kNoTicket) {
    m_parts.capacity_queue.Leave(ticket);
  }
}

void ForwardExchange::EnterAdmission() {
  m_admission = m_parts.admissions.Find(*m_parts.view(), m_service);
  if (!m_admission) {
    return;
  }
  const GenerationSize size = ExpectedSize();
  m_class_request.request_class = Class();
  m_class_request.organisation = m_organisation;
  m_class_request.work = size.prompt_tokens + size.answer_tokens;
  m_class_request.arrived_at = m_started_at;
  SetWaitLimits(m_class_request, m_route->latency_objective, m_deadline);
  m_admission->OnArrival(m_class_request, m_fingerprint);
  if (m_class_request.is_returning) {
    m_parts.metrics.Count(fmt::format("admission_returned_class_{}", Class()));
  }
}

/** A request that cannot wait is tried at once. */
bool ForwardExchange::MustWaitBehindOthers() const {
  return m_admission && m_route->repeatability == Repeatability::kStream && !NeedsPeer() &&
         m_admission->MustWait(m_class_request);
}

void ForwardExchange::WaitByClass() {
  const bool was_tried = !MustWaitBehindOthers();
  if (was_tried) {
    m_admission->OnNoRoom();
  }
  m_queued_by_class = m_admission;
  m_capacity_ticket = m_admission->Queue().Enter(m_class_request);
  if (was_tried && m_admission->Queue().MustRefuse(m_capacity_ticket)) {
    RefuseForWantOfRoom();
    return;
  }
  m_parts.metrics.Count(fmt::format("admission_waited_class_{}", m_class_request.request_class));
  LogAdmission("request_waits_by_class", Duration::zero());
}

/** Called when the request is first sent. */
void ForwardExchange::NoteStart() {
  if (m_admission) {
    m_admission->OnStarted(m_class_request);
    m_parts.metrics.Count(fmt::format("admission_started_class_{}", m_class_request.request_class));
  }
}

void ForwardExchange::LogAdmission(std::string_view event, Duration retry_after) const {
  if (!m_admission->TakeLogLine()) {
    return;
  }
  AdmissionQueue& queue = m_admission->Queue();
  const auto predicted = m_queued_by_class ? queue.PredictedWait(m_capacity_ticket) : std::nullopt;
  m_parts.logger.Log(
      LogLevel::kInfo, event,
      {{"request", m_facts.id},
       {"service", m_service},
       {"class", std::to_string(m_class_request.request_class)},
       {"organisation", m_organisation},
       {"returned", m_class_request.is_returning ? "yes" : "no"},
       {"share", fmt::format("{:.2f}", m_admission->ShareOf(m_class_request.request_class))},
       {"waiting", std::to_string(queue.Count())},
       {"waiting_of_class", std::to_string(queue.CountOf(m_class_request.request_class))},
       {"waited_ms", Milliseconds(m_parts.clock.Now() - m_started_at)},
       {"predicted_wait_ms", predicted ? Milliseconds(*predicted) : "unknown"},
       {"retry_after_ms", Milliseconds(retry_after)}});
}

/** Logs the servers that were skipped because they are at their limits. */
void ForwardExchange::LogServersAtLimit() {
  const std::vector<BackendServerName> closed = AvailabilityUnderLimits(m_avoided).at_limit;
  if (closed.empty()) {
    return;
  }
  const auto end = closed.begin() + std::min<std::ptrdiff_t>(std::ssize(closed), kMaxLoggedServers);
  m_parts.metrics.Count("requests_past_server_limits");
  m_parts.logger.Log(LogLevel::kInfo, "servers_at_limit",
                     {{"request", m_facts.id},
                      {"count", std::to_string(closed.size())},
                      {"servers", fmt::format("{}", fmt::join(closed.begin(), end, ","))}});
}

}  // namespace zinnia
