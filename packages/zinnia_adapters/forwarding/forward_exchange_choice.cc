#include <fmt/format.h>

#include <algorithm>
#include <boost/beast/http/field.hpp>
#include <utility>

#include "zinnia_adapters/forwarding/forward_exchange.h"
#include "zinnia_adapters/forwarding/log_text.h"
#include "zinnia_base/logging/logger.h"
#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/forwarding/admission/service_admission.h"
#include "zinnia_decisions/forwarding/observed_state/forwarding_view.h"
#include "zinnia_decisions/forwarding/observed_state/inter_domain_link_meter.h"
#include "zinnia_decisions/forwarding/observed_state/load_tracker.h"
#include "zinnia_decisions/forwarding/observed_state/server_health.h"
#include "zinnia_decisions/forwarding/paths/path_finder.h"
#include "zinnia_decisions/forwarding/paths/plain_server_chooser.h"
#include "zinnia_decisions/forwarding/paths/recovery_chooser.h"
#include "zinnia_decisions/forwarding/paths/route_table.h"
#include "zinnia_decisions/forwarding/paths/service_classes.h"
#include "zinnia_decisions/ports/metrics.h"

// Selection of the route, organisation, service and servers in ForwardExchange.

namespace zinnia {

namespace http = boost::beast::http;

std::optional<Error> ForwardExchange::FindRoute() {
  const auto view = m_parts.view();
  m_route = view->routes->Find(m_request[http::field::host], m_request.target());
  if (!m_route) {
    return MakeError(ErrorKind::kNotFound, "no route fits the host and path");
  }
  if (!view->rules->keys_required) {
    return std::nullopt;
  }
  const auto organisation = view->rules->organisation_by_key.find(m_facts.api_key);
  if (organisation != view->rules->organisation_by_key.end()) {
    m_organisation = organisation->second;
  } else if (!m_route->is_public) {
    return MakeError(ErrorKind::kUnauthorized, "the key is not known");
  }
  return std::nullopt;
}

void ForwardExchange::LogRefusedByConfiguration() const {
  const auto view = m_parts.view();
  const TimePoint now = m_parts.clock.Now();
  m_parts.logger.Log(
      LogLevel::kInfo, "refused_by_configuration",
      {{"request", m_facts.id},
       {"version", std::to_string(view->rules->version)},
       {"configuration_revision", std::to_string(view->configuration.revision.number)},
       {"from", std::string(view->configuration.source)},
       {"in_force_ms", Milliseconds(now - view->configuration.since)},
       {"revision", std::to_string(view->revision.number)},
       {"era", std::to_string(view->revision.era)},
       {"view_age_ms", Milliseconds(now - view->as_of)}});
}

ServiceName ForwardExchange::ChooseService() {
  std::uint64_t sum = 0;
  for (const WeightedService& choice : m_route->services) {
    sum += choice.weight;
  }
  if (sum == 0) {
    return m_route->services.empty() ? ServiceName() : m_route->services.front().service;
  }
  std::uint64_t point = RandomBelow(m_parts.random, sum);
  for (const WeightedService& choice : m_route->services) {
    if (point < choice.weight) {
      return choice.service;
    }
    point -= choice.weight;
  }
  return m_route->services.back().service;
}

bool ForwardExchange::IsPrioritized() const {
  const auto view = m_parts.view();
  return view->classes && view->classes->IsPrioritized(m_service);
}

std::size_t ForwardExchange::Class() const {
  const auto view = m_parts.view();
  return view->classes ? view->classes->ClassOf(m_service, m_urgency) : 0;
}

std::uint32_t ForwardExchange::QueuePriority() const {
  return IsPrioritized() ? static_cast<std::uint32_t>(Class()) : m_route->priority;
}

bool ForwardExchange::ChooseServer() {
  const std::optional<Candidate> found = FindServer();
  if (found) {
    Take(*found);
  }
  return found.has_value();
}

std::optional<ForwardExchange::Candidate> ForwardExchange::FindServer() {
  if (NeedsPeer()) {
    return FindPeer();
  }
  const auto view = m_parts.view();
  const auto service = view->rules->services.find(m_service);
  const bool layered = service != view->rules->services.end() && service->second.engine &&
                       service->second.engine->IsLayered();
  if (layered) {
    return FindPath();
  }
  const auto server = m_parts.plain_servers.Choose(*view, m_service, m_avoided);
  if (!server) {
    return std::nullopt;
  }
  return Candidate{*server, view->servers.at(*server).address, {}, 0.0, false};
}

std::optional<ForwardExchange::Candidate> ForwardExchange::FindPath() {
  const auto view = m_parts.view();
  if (m_event_intervals.HasBegun()) {
    const auto recovery =
        m_parts.recovery.Choose(*view, m_service, ExpectedSize(), {}, m_avoided, true);
    if (recovery) {
      return AsCandidate(recovery->found);
    }
  }
  if (m_admission && m_history.servers_reached == 0 &&
      !m_admission->MayStart(m_class_request.request_class)) {
    return std::nullopt;
  }
  const auto found =
      m_parts.paths.Find(*view, m_service, ExpectedSize(), m_parts.own_failure_domain, m_avoided);
  if (!found) {
    return std::nullopt;
  }
  return AsCandidate(*found);
}

ForwardExchange::Candidate ForwardExchange::AsCandidate(const FoundPath& found) {
  const PathPart& first = found.path.front();
  return {first.server, first.address, found.path, found.link_ms, false};
}

void ForwardExchange::Take(const Candidate& candidate) {
  m_parts.link_meter.Add(candidate.link_ms);
  m_attempt = {};
  m_attempt.server = candidate.server;
  m_attempt.address = candidate.address;
  m_attempt.path = candidate.path;
  m_attempt.is_at_peer = candidate.is_peer;
  if (candidate.is_peer) {
    ++m_peers_asked;
    m_parts.metrics.Count("requests_sent_to_peers");
  }
  ReserveForAttempt();
}

bool ForwardExchange::ChosenServersTakeRequests() const {
  const auto view = m_parts.view();
  const auto takes_requests = [&view](const BackendServerName& name) {
    const auto server = view->servers.find(name);
    return server != view->servers.end() && !server->second.draining;
  };
  return takes_requests(m_attempt.server) &&
         std::all_of(m_attempt.path.begin(), m_attempt.path.end(),
                     [&](const PathPart& part) { return takes_requests(part.server); });
}

/** Includes tokens already generated, since they stay in the servers' memory. The share
    of a class limits only streams that have not begun, and only if PathFinder has quotas. */
GenerationSize ForwardExchange::ExpectedSize() const {
  GenerationSize size;
  if (m_admission && !m_event_intervals.HasBegun()) {
    size.quota_share = m_admission->ShareOf(m_class_request.request_class);
  }
  size.prompt_tokens = m_facts.prompt_tokens;
  if (m_tracked_answer && IsPrioritized()) {
    size.answer_tokens = m_tracked_answer->ExpectedLength();
    return size;
  }
  const auto view = m_parts.view();
  const auto service = view->rules->services.find(m_service);
  if (m_facts.expected_answer_tokens) {
    size.answer_tokens = *m_facts.expected_answer_tokens;
  } else if (service != view->rules->services.end() && service->second.engine) {
    size.answer_tokens = service->second.engine->usual_answer_tokens;
  }
  if (m_facts.most_answer_tokens > 0) {
    size.answer_tokens = std::min<double>(size.answer_tokens, m_facts.most_answer_tokens);
  }
  return size;
}

double ForwardExchange::TokensPerEvent() const {
  const auto view = m_parts.view();
  const auto service = view->rules->services.find(m_service);
  return service != view->rules->services.end() && service->second.engine
             ? std::max(1.0, service->second.engine->steps_per_pass)
             : 1.0;
}

void ForwardExchange::TrackAnswer() {
  const auto view = m_parts.view();
  const auto service = view->rules->services.find(m_service);
  if (!IsPrioritized() || service == view->rules->services.end() || !service->second.engine) {
    return;
  }
  const double already_sent =
      static_cast<double>(m_facts.last_event_id.value_or(0)) * TokensPerEvent();
  m_tracked_answer.emplace(
      m_parts.answer_lengths,
      AnswerKey{m_service, m_route->name, m_organisation, m_facts.expected_answer_tokens,
                m_facts.most_answer_tokens, service->second.engine->usual_answer_tokens},
      already_sent);
}

/** A peer counts what it forwards. */
void ForwardExchange::NoteTokensSent() {
  if (m_tracked_answer && !m_attempt.is_at_peer) {
    m_tracked_answer->OnSent(static_cast<double>(m_events.LastEventId().value_or(0)) *
                             TokensPerEvent());
  }
}

void ForwardExchange::NoteAnswerLength() {
  if (!m_tracked_answer || m_attempt.is_at_peer) {
    return;
  }
  m_tracked_answer->OnEnded();
  m_parts.logger.Log(
      LogLevel::kInfo, "answer_length",
      {{"request", m_facts.id},
       {"route", m_route->name},
       {"organisation", m_organisation},
       {"hint",
        m_facts.expected_answer_tokens ? std::to_string(*m_facts.expected_answer_tokens) : "none"},
       {"predicted", fmt::format("{:.0f}", m_tracked_answer->FirstExpectedLength())},
       {"actual", fmt::format("{:.0f}", m_tracked_answer->Sent())}});
}

void ForwardExchange::Reserve(const LayerPath& path) {
  ReleaseReservations();
  const GenerationSize size = ExpectedSize();
  const double tokens = size.prompt_tokens + size.answer_tokens;
  for (const PathPart& part : path) {
    const double token_layers = tokens * part.layers.Count();
    const bool begins = &part == &path.front();
    m_parts.loads.Add(part.server, token_layers, begins);
    m_parts.health.OnAttempt(part.server);
    m_reservations.push_back({part.server, token_layers, begins});
  }
}

/** A peer reserves for itself. */
void ForwardExchange::ReserveForAttempt() {
  if (m_attempt.is_at_peer) {
    ReleaseReservations();
  } else if (m_attempt.path.empty()) {
    Reserve({{m_attempt.server, m_attempt.address, {}}});
  } else {
    Reserve(m_attempt.path);
  }
}

void ForwardExchange::ReleaseReservations() {
  for (const Reservation& reservation : std::exchange(m_reservations, {})) {
    m_parts.loads.Remove(reservation.server, reservation.token_layers, reservation.begins);
  }
}

}  // namespace zinnia
