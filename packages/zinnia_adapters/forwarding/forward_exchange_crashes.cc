#include <algorithm>
#include <boost/beast/http/field.hpp>
#include <utility>

#include "zinnia_adapters/forwarding/crash_watch.h"
#include "zinnia_adapters/forwarding/forward_exchange.h"
#include "zinnia_adapters/forwarding/forward_outcomes.h"
#include "zinnia_adapters/forwarding/held_attempt.h"
#include "zinnia_adapters/forwarding/prompt_part_watch.h"
#include "zinnia_adapters/forwarding/server_connection.h"
#include "zinnia_decisions/forwarding/admission/capacity_queue.h"
#include "zinnia_decisions/forwarding/crashes/request_quarantine.h"
#include "zinnia_decisions/forwarding/observed_state/forwarding_view.h"

// Servers that crash while they process the request, in ForwardExchange.

namespace zinnia {

/** The same for each client attempt with the same method, target, caller and body. */
Fingerprint ForwardExchange::FingerprintOf(const CallerRequest& request,
                                           const std::string& api_key) {
  std::string text;
  for (const std::string_view part :
       {std::string_view(request.method_string()), std::string_view(request.target()),
        std::string_view(request[boost::beast::http::field::host]), std::string_view(api_key)}) {
    text.append(part);
    text.push_back('\0');
  }
  return Fingerprint::Of(text + Fingerprint::Of(request.body()).ToHex());
}

/** The end of a leaving server is no crash. */
std::optional<BrokenAttempt> ForwardExchange::DescribeAttempt(const ServerAttempt& from) const {
  const auto view = m_parts.view();
  const auto server = view->servers.find(from.server);
  if (server == view->servers.end() || server->second.draining) {
    return std::nullopt;
  }
  BrokenAttempt attempt;
  attempt.request = m_fingerprint;
  attempt.request_id = m_facts.id;
  attempt.server = from.server;
  attempt.server_address = from.address;
  attempt.prompt_parts = m_facts.prompt_parts;
  attempt.sent_at = from.sent_at;
  attempt.broken_at = m_parts.clock.Now();
  if (from.is_streaming) {
    attempt.ran = attempt.broken_at - from.stream_began_at;
    attempt.onset =
        attempt.ran < RequestQuarantine::kOnsetTime ? CrashOnset::kBegun : CrashOnset::kRunning;
  } else if (m_route->repeatability == Repeatability::kStream) {
    attempt.onset = CrashOnset::kQueued;
  }
  return attempt;
}

void ForwardExchange::NoteBrokenAnswer(const ServerAttempt& from) {
  if (const auto attempt = DescribeAttempt(from)) {
    m_parts.crashes.OnAnswerBroken(*attempt, from.address);
  }
}

/** A stream that has run for longer did not crash its server as it began. */
void ForwardExchange::Release(ServerAttempt& released) {
  if (!released.connection) {
    return;
  }
  std::exchange(released.connection, nullptr)->Close();
  const auto attempt = DescribeAttempt(released);
  if (attempt && attempt->onset != CrashOnset::kRunning) {
    m_parts.crashes.OnAttemptReleased(*attempt);
  }
}

bool ForwardExchange::IsHarmful() const {
  const std::size_t pending = m_parts.crashes.Attempts().CountPending(m_fingerprint);
  const bool is_stream = m_route->repeatability == Repeatability::kStream;
  return m_parts.prompt_parts.IsRefused(m_facts.prompt_parts) ||
         m_parts.quarantine.WouldBeQuarantined(m_fingerprint, pending) ||
         (!is_stream && m_parts.quarantine.MustWait(m_fingerprint, pending));
}

bool ForwardExchange::IsHeldBack() const {
  return !NeedsPeer() && m_parts.prompt_parts.MustWait(m_facts.prompt_parts);
}

bool ForwardExchange::MustNotBeSentAgain() const {
  return IsHarmful() ||
         (!m_attempt.has_survived && m_parts.prompt_parts.IsSuspect(m_facts.prompt_parts));
}

void ForwardExchange::NoteSurvival() {
  if (!std::exchange(m_attempt.has_survived, true)) {
    m_parts.prompt_parts.OnSurvived(m_facts.prompt_parts, m_attempt.stream_began_at);
  }
}

/** A request that runs on for long at a server that lives did not cause its earlier crashes. */
void ForwardExchange::NoteProgressOfSuspect() {
  if (m_attempt.is_streaming && m_parts.quarantine.IsSuspect(m_fingerprint)) {
    m_parts.quarantine.OnRunning(m_fingerprint,
                                 m_attempt.last_progress - m_attempt.stream_began_at);
  }
}

void ForwardExchange::RefuseHarmful() {
  Answer(NotRun(ErrorKind::kQuarantined, "the servers that ran this request have crashed"));
}

void ForwardExchange::OnRequestQuarantined(const Fingerprint& request) {
  if (!m_ended && request == m_fingerprint && !m_attempt.is_streaming) {
    EndAsHarmful();
  }
}

void ForwardExchange::OnPartQuarantined(const Fingerprint& part) {
  const auto& parts = m_facts.prompt_parts;
  const bool has_part = std::find(parts.begin(), parts.end(), part) != parts.end();
  if (!m_ended && has_part && !m_attempt.is_streaming) {
    EndAsHarmful();
  }
}

void ForwardExchange::EndAsHarmful() {
  if (m_capacity_ticket != CapacityQueue::kNoTicket) {
    RefuseHarmful();
  } else if (m_held && m_held->Attempt().is_streaming) {
    ReturnToHeld("other servers that ran this request have crashed");
  } else if (m_attempt.connection) {
    std::exchange(m_attempt.connection, nullptr)->Close();
    GiveUp(NextStep::kFail, "other servers that ran this request have crashed");
  }
}

}  // namespace zinnia
