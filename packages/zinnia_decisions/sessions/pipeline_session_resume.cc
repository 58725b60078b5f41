#include <algorithm>
#include <utility>

#include "zinnia_decisions/sessions/attempt_numbers.h"
#include "zinnia_decisions/sessions/pipeline_session.h"

namespace zinnia {

void PipelineSession::StartResume() {
  m_state = SessionState::kResuming;
  m_point.route = m_resume->route;
  if (m_resume->route.hops.empty()) {
    HandleLookupResult(std::nullopt);
    return;
  }
  m_lookup = ResumeLookup::Start(
      m_parts, *m_resume, [weak = weak_from_this()](const std::optional<FoundSession>& found) {
        // The listener may release the session during delivery of the found tokens.
        if (const auto self = weak.lock()) {
          self->HandleLookupResult(found);
        }
      });
}

void PipelineSession::HandleLookupResult(const std::optional<FoundSession>& found) {
  const auto lookup = std::exchange(m_lookup, nullptr);
  const AttemptNumber held = found ? found->held.attempt : AttemptNumber{0};
  const auto first =
      AttemptNumbers::ForResume(std::max(m_resume->attempt, held), m_request.request_id);
  if (!first) {
    Fail(first.error());
    return;
  }
  m_next_attempt = *first;
  if (found) {
    ResumeFoundSession(*found);
  } else {
    Regenerate();
  }
}

void PipelineSession::ResumeFoundSession(const FoundSession& found) {
  Route route = m_resume->route;
  route.hops.back().server = found.server;
  m_records.Write("resume_session", "a stage still knows the tokens",
                  {{"server", found.server},
                   {"held_attempt", std::to_string(found.held.attempt)},
                   {"held_tokens", std::to_string(found.held.tokens.size())},
                   {"delivered_tokens", std::to_string(m_resume->delivered_tokens)}});
  m_answer.SetPromptTokens(found.held.prompt_tokens);
  m_point.attempt = m_next_attempt;
  m_point.route = route;
  for (const SampledToken& token : found.held.tokens) {
    if (!AddToken(token)) {
      return;
    }
  }
  if (m_answer.IsComplete()) {
    Finish();
    return;
  }
  m_relay.Caches().SetRoute(route);
  for (std::size_t hop = 0; hop < route.hops.size(); ++hop) {
    m_relay.Caches().Set(hop, found.held.attempt, m_answer.CachedPositions());
  }
  StartAttempt(route);
}

void PipelineSession::Regenerate() {
  auto choice = m_routes.Choose(MakeQuery(), RequiredVersion());
  if (choice) {
    m_records.Write("regenerate_answer", "no stage knows the delivered tokens",
                    {{"delivered_tokens", std::to_string(m_resume->delivered_tokens)}});
    StartOn(std::move(*choice));
    return;
  }
  Error error = MakeError(ErrorKind::kRecoveryFailed, choice.error().message);
  error.retry_after = std::chrono::seconds(2);
  Fail(std::move(error));
}

}  // namespace zinnia
