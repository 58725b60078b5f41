#include "zinnia_decisions/sessions/step_relay.h"

#include <cassert>
#include <utility>

#include "zinnia_decisions/sessions/attempt_numbers.h"
#include "zinnia_decisions/sessions/generated_answer.h"

namespace zinnia {

StepRelay::StepRelay(StageLinks& links,
                     const SessionName& session,
                     const ChatRequest& request,
                     const GeneratedAnswer& answer)
    : m_links(links), m_session(session), m_request(request), m_answer(answer) {}

void StepRelay::StartAttempt(AttemptNumber attempt, const Route& route) {
  assert(attempt > m_attempt);
  m_attempt = attempt;
  m_route = route;
  m_caches.SetRoute(route);
  m_hops_to_replay = m_caches.HopsToReplay(m_answer.CachedPositions());
  m_is_first_pass = true;
  m_in_flight = false;
}

void StepRelay::StartPass(std::weak_ptr<StepListener> listener) {
  StepRequest step = MakeStep(0);
  TokenInput input;
  if (IsReplayed(0)) {
    input.prompt = m_request.prompt;
    input.tokens = m_answer.Tokens();
  } else {
    input.tokens.push_back(m_answer.Tokens().back());
  }
  step.input = std::move(input);
  Send(0, std::move(step), std::move(listener));
}

StepRelay::Progress StepRelay::HandleAnswer(std::uint32_t hop, StepAnswer& answer) {
  if (!m_in_flight || answer.attempt != m_attempt || hop != m_hop) {
    return Progress::kStale;
  }
  // A duplicate answer to an earlier step: the reported length is what the step in flight requires,
  // so the refusal cannot refer to that step.
  const bool adopts = m_is_first_pass && !IsReplayed(hop);
  if (answer.status == StepStatus::kWrongLength && answer.length == m_position && !adopts) {
    return Progress::kStale;
  }
  const bool is_done = answer.status == StepStatus::kDone;
  if (is_done && answer.length <= m_position) {
    return Progress::kStale;
  }
  m_in_flight = false;
  if (!is_done) {
    return Progress::kFailed;
  }
  if (!IsWellFormed(answer)) {
    // The server does not run what the route specifies; kNotLoaded excludes it from the session.
    answer.status = StepStatus::kNotLoaded;
    return Progress::kFailed;
  }
  if (m_is_first_pass && m_attempt != AttemptNumbers::kFirst) {
    m_links.ReleaseSession(m_route.hops[hop].server, m_session, m_attempt - 1);
  }
  m_caches.Set(hop, m_attempt, answer.length);
  if (!IsLastHop()) {
    return Progress::kNextHop;
  }
  m_is_first_pass = false;
  return Progress::kToken;
}

void StepRelay::SendToNextHop(StepAnswer answer, std::weak_ptr<StepListener> listener) {
  const std::uint32_t hop = m_hop + 1;
  StepRequest step = MakeStep(hop);
  HiddenInput input;
  const bool only_last = !IsReplayed(hop) && answer.states.size() > 1;
  if (only_last) {
    input.states.push_back(std::move(answer.states.back()));
  } else {
    input.states = std::move(answer.states);
  }
  step.input = std::move(input);
  Send(hop, std::move(step), std::move(listener));
}

void StepRelay::HandleFailedStep(const StepAnswer& answer) {
  const bool adopted = m_is_first_pass && !IsReplayed(m_hop);
  switch (answer.status) {
    case StepStatus::kUnknownSession:
    case StepStatus::kNotLoaded:
    case StepStatus::kServerCrashed:
      m_caches.Invalidate(m_hop);
      break;
    case StepStatus::kWrongLength:
      if (adopted) {
        m_caches.Invalidate(m_hop);
      } else {
        m_caches.Set(m_hop, m_attempt, answer.length);
      }
      break;
    case StepStatus::kTimedOut:
    case StepStatus::kConnectionLost:
      // The stage probably ran the step. Otherwise it rejects the adoption and is replayed.
      if (m_is_first_pass) {
        m_caches.Set(m_hop, m_attempt, m_answer.CachedPositions());
      }
      break;
    default:
      break;  // Refused before execution: the cache is unchanged.
  }
}

void StepRelay::ReleaseAll() {
  for (const Route::Hop& hop : m_route.hops) {
    m_links.ReleaseSession(hop.server, m_session, m_attempt);
  }
}

void StepRelay::Send(std::uint32_t hop, StepRequest step, std::weak_ptr<StepListener> listener) {
  m_hop = hop;
  m_position = step.position;
  m_in_flight = true;
  m_links.SendStep(m_route.hops[hop].server, hop, std::move(step), std::move(listener));
}

StepRequest StepRelay::MakeStep(std::uint32_t hop) const {
  StepRequest step;
  step.session = m_session;
  step.attempt = m_attempt;
  step.layers = m_route.hops[hop].layers;
  step.version = m_route.version;
  step.sample = hop + 1 == m_route.hops.size();
  step.priority = m_request.priority;
  step.seed = m_request.seed;
  step.fingerprint = m_request.fingerprint;
  step.isolated = m_isolated;
  if (!IsReplayed(hop)) {
    step.position = m_answer.CachedPositions();
    if (m_is_first_pass) {
      step.adopt = m_caches.AdoptionAt(hop, step.position);
    }
  }
  return step;
}

std::uint32_t StepRelay::ExpectedLength(const StepAnswer& answer) const {
  const bool is_first_prefill = !m_answer.PromptTokens();
  const std::uint32_t prompt = is_first_prefill ? answer.prompt_tokens : *m_answer.PromptTokens();
  return prompt + static_cast<std::uint32_t>(m_answer.Tokens().size());
}

bool StepRelay::IsWellFormed(const StepAnswer& answer) const {
  const std::uint32_t expected = ExpectedLength(answer);
  if (expected <= m_position || answer.length != expected) {
    return false;
  }
  if (IsLastHop()) {
    return answer.token.has_value();
  }
  return answer.states.size() == expected - m_position;
}

}  // namespace zinnia
