#include <fmt/format.h>

#include <algorithm>
#include <boost/beast/http/field.hpp>
#include <exception>
#include <utility>

#include "zinnia_adapters/callers/problem_document.h"
#include "zinnia_adapters/forwarding/forward_exchange.h"
#include "zinnia_adapters/forwarding/forward_outcomes.h"
#include "zinnia_adapters/forwarding/log_text.h"
#include "zinnia_adapters/forwarding/prompt_part_watch.h"
#include "zinnia_adapters/forwarding/server_connection.h"
#include "zinnia_adapters/services/header_filter.h"
#include "zinnia_base/logging/logger.h"
#include "zinnia_decisions/forwarding/admission/capacity_queue.h"
#include "zinnia_decisions/forwarding/admission/service_admission.h"
#include "zinnia_decisions/forwarding/crashes/request_quarantine.h"
#include "zinnia_decisions/forwarding/limits/limit_availability.h"
#include "zinnia_decisions/forwarding/observed_state/forwarding_view.h"
#include "zinnia_decisions/ports/metrics.h"

// Completion of a request in ForwardExchange: final answers and their Retry-After delays.

namespace zinnia {
namespace {

namespace http = boost::beast::http;
using std::chrono::milliseconds;

/** Retry delay while the configuration is unknown, as during a store outage of a few seconds. */
constexpr Duration kRetryAfterNoConfiguration = milliseconds(2'000);

/** Retry delay for shortages that usually end within a few hundred milliseconds. */
constexpr Duration kRetryAfterBriefShortage = milliseconds(300);

/** Retry delay when all servers are at their limits and this instance has no share of them; the
   retry may reach another instance. */
constexpr Duration kRetryAfterNoLimitShare = milliseconds(1'000);

/** Jitter, as a fraction of the retry delay, that keeps rejected callers from retrying at once. */
constexpr double kRetryAfterSpread = 0.5;

}  // namespace

void ForwardExchange::GiveUp(NextStep step, std::string_view reason) {
  if (m_answer.HasBegun()) {
    m_answer.CutOff();
    End("cut_off");
    return;
  }
  switch (step) {
    case NextStep::kRefuse:
      Answer(NotRun(ErrorKind::kOverloaded, std::string(reason)));
      return;
    case NextStep::kForwardFailure:
      // A status that means "not run" must not be sent for a request that has run.
      if (IsPromise(m_attempt.status)) {
        Answer(PerhapsRun(ErrorKind::kBackendUnavailable, std::string(reason)));
      } else {
        PassOnWholeAnswer();
      }
      return;
    case NextStep::kFail:
    case NextStep::kSendAgain:
      Answer(PerhapsRun(ErrorKind::kBackendUnavailable, std::string(reason)));
      return;
  }
}

void ForwardExchange::PassOnWholeAnswer() {
  CallerResponse response(static_cast<http::status>(m_attempt.status), 11);
  static_cast<http::fields&>(response) = m_attempt.fields;
  RemoveHopByHopFields(response);
  response.erase(http::field::content_length);
  response.body() = m_attempt.body.Take();
  m_parts.metrics.Observe(m_organisation, RequestClass::kServiceCall, Measure::kWholeAnswer,
                          m_parts.clock.Now() - m_started_at);
  SendWhole(std::move(response), fmt::format("status_{}", m_attempt.status));
}

void ForwardExchange::SendWhole(CallerResponse response, std::string_view outcome) {
  const bool is_sent = m_answer.SendWhole(std::move(response));
  End(is_sent ? outcome : "answer_misplaced");
}

void ForwardExchange::Answer(const Error& error) {
  CallerResponse response = MakeProblemResponse(error);
  // The caller returns with a new request, which may go to the servers that this one avoided.
  const LimitAvailability limits = AvailabilityUnderLimits({});
  if (error.was_run == WasRun::kUnknown) {
    response.result(error.kind == ErrorKind::kBackendTimeout ? http::status::gateway_timeout
                                                             : http::status::bad_gateway);
    response.erase(http::field::retry_after);
  } else if (error.kind == ErrorKind::kQuarantined) {
    response.result(http::status::service_unavailable);
  }
  if (error.was_run != WasRun::kUnknown && IsPromise(response.result_int())) {
    const bool wants_room = error.kind == ErrorKind::kOverloaded && m_route &&
                            m_route->repeatability == Repeatability::kStream;
    const bool is_by_class = wants_room && m_admission && !limits.all_at_limit;
    Duration soonest = kRetryAfterBriefShortage;
    if (is_by_class) {
      soonest = m_admission->OnRefused(m_class_request, m_fingerprint, TimeLeft());
    } else if (wants_room) {
      soonest = m_parts.capacity_queue.OnRefused();
    }
    if (error.kind == ErrorKind::kStoreUnavailable) {
      soonest = kRetryAfterNoConfiguration;
    } else if (limits.all_at_limit) {
      soonest = std::max(kRetryAfterBriefShortage,
                         limits.next_permit_in.value_or(kRetryAfterNoLimitShare));
    }
    if (error.kind == ErrorKind::kQuarantined) {
      const Duration by_request =
          m_parts.quarantine.TimeUntilRelease(m_fingerprint).value_or(soonest);
      const Duration by_part =
          m_parts.prompt_parts.TimeUntilRelease(m_facts.prompt_parts).value_or(soonest);
      soonest = std::max(by_request, by_part);
    }
    // The schedule of a prioritized service has spread the delays already.
    const double spread = is_by_class ? 1.0 : 1.0 + kRetryAfterSpread * RandomUnit(m_parts.random);
    if (is_by_class) {
      m_parts.metrics.Count(
          fmt::format("admission_refused_class_{}", m_class_request.request_class));
      LogAdmission("request_refused_by_class", soonest);
    }
    response.set(http::field::retry_after,
                 fmt::format("{:.2f}", std::chrono::duration<double>(soonest).count() * spread));
  }
  m_parts.metrics.Count(fmt::format("forward_{}", NameOf(error.kind)));
  m_parts.logger.Log(LogLevel::kInfo, "request_refused",
                     {{"request", m_facts.id},
                      {"kind", std::string(NameOf(error.kind))},
                      {"reason", error.message},
                      {"was_run", std::string(NameOf(error.was_run))},
                      {"status", std::to_string(response.result_int())},
                      {"at_limit", limits.all_at_limit ? "yes" : "no"},
                      {"revision", std::to_string(m_parts.view()->revision.number)}});
  MarkAsCutOff(response);
  SendWhole(std::move(response), "refused");
}

void ForwardExchange::End(std::string_view outcome) {
  if (std::exchange(m_ended, true)) {
    return;
  }
  Release(m_attempt);
  m_attempt.body.Clear();  // The request lives until its answer is written.
  ReleaseHeld();
  LeaveQueue();
  ReleaseReservations();
  m_parts.metrics.Count(fmt::format("requests_ended_{}", outcome));
  m_parts.logger.Log(LogLevel::kInfo, "request_ended",
                     {{"request", m_facts.id},
                      {"outcome", std::string(outcome)},
                      {"server", m_attempt.server},
                      {"head_of", m_head_of},
                      {"first_event_of", m_first_event_of},
                      {"first_event_ms", Milliseconds(m_first_event_after)},
                      {"longest_gap_ms", Milliseconds(m_event_intervals.LongestInterval())},
                      {"last_event", std::to_string(m_events.LastEventId().value_or(0))},
                      {"ms", Milliseconds(m_parts.clock.Now() - m_started_at)}});
  m_on_end(*this);
}

void ForwardExchange::OnDeadline() {
  if (m_capacity_ticket != CapacityQueue::kNoTicket) {
    RefuseForWantOfRoom();
    return;
  }
  if (m_answer.HasBegun()) {
    m_answer.CutOff();
    End("deadline");
    return;
  }
  Answer(PerhapsRun(ErrorKind::kBackendTimeout, "the time for the answer is over"));
}

bool ForwardExchange::HasCertainlyNotRun() const {
  const bool waits = m_awaits_configuration || m_capacity_ticket != CapacityQueue::kNoTicket;
  const bool is_unsent = m_attempt.connection && !m_attempt.may_have_arrived;
  return waits || (is_unsent && !m_history.may_have_run && !m_held);
}

void ForwardExchange::OnInstanceStops() {
  if (m_ended) {
    return;
  }
  if (m_answer.HasBegun()) {
    m_answer.CutOff();
    End("instance_stops");
  } else if (HasCertainlyNotRun()) {
    Answer(NotRun(ErrorKind::kStoreUnavailable, "this instance stops"));
  } else {
    Answer(PerhapsRun(ErrorKind::kBackendUnavailable,
                      "this instance stops before the server has answered"));
  }
}

void ForwardExchange::OnStepFailed() {
  if (m_ended) {
    return;
  }
  try {
    if (!m_answer.HasBegun()) {
      Answer(PerhapsRun(ErrorKind::kInternal, "this instance has failed to handle the request"));
      return;
    }
  } catch (const std::exception& failure) {
    m_parts.logger.Log(LogLevel::kError, "traffic_failure",
                       {{"request", Describe()}, {"reason", failure.what()}});
  }
  m_answer.CutOff();
  End("failed");
}

void ForwardExchange::OnCallerGone() {
  End("caller_gone");
}

}  // namespace zinnia
