#include "zinnia_decisions/sessions/resume_lookup.h"

#include <algorithm>
#include <utility>

#include "zinnia_decisions/ports/snapshot_source.h"
#include "zinnia_decisions/sessions/generated_answer.h"

namespace zinnia {
namespace {

constexpr std::chrono::milliseconds kQueryTimeout{300};
constexpr std::size_t kMaxQueriedServers = 4;

/** Whether the held tokens start with the delivered text and the cache covers all but the last. */
bool MatchesDeliveredText(const ResumePoint& point, const HeldSession& held) {
  const bool has_cache = held.length + 1 >= held.prompt_tokens + held.tokens.size();
  if (held.tokens.empty() || held.tokens.size() < point.delivered_tokens || !has_cache) {
    return false;
  }
  Fingerprint hash;
  for (std::uint32_t token = 0; token < point.delivered_tokens; ++token) {
    hash = ExtendDeliveredHash(hash, held.tokens[token].text);
  }
  return hash == point.delivered_hash;
}

}  // namespace

std::shared_ptr<ResumeLookup> ResumeLookup::Start(const SessionParts& parts,
                                                  const ResumePoint& point,
                                                  Callback callback) {
  std::shared_ptr<ResumeLookup> lookup(new ResumeLookup(parts, point, std::move(callback)));
  lookup->CollectCandidates();
  lookup->QueryNext();
  return lookup;
}

ResumeLookup::ResumeLookup(const SessionParts& parts, const ResumePoint& point, Callback callback)
    : m_parts(parts), m_point(point), m_callback(std::move(callback)) {}

void ResumeLookup::CollectCandidates() {
  // The previous instance may have replaced the last stage after it issued this event id.
  const Route::Hop& last = m_point.route.hops.back();
  m_candidates.push_back(last.server);
  for (const Pipeline& pipeline : m_parts.snapshots.Current()->pipelines) {
    if (pipeline.name != m_point.route.pipeline || pipeline.stages.empty()) {
      continue;
    }
    for (const BackendServerName& server : pipeline.stages.back().replicas) {
      const bool is_new = std::ranges::find(m_candidates, server) == m_candidates.end();
      if (is_new && m_candidates.size() < kMaxQueriedServers) {
        m_candidates.push_back(server);
      }
    }
  }
}

void ResumeLookup::QueryNext() {
  const std::weak_ptr<ResumeLookup> weak = weak_from_this();
  const std::size_t query = m_query_index;
  const auto handle_answer = [weak, query](const Result<HeldSession>& held) {
    if (const auto lookup = weak.lock()) {
      lookup->HandleAnswer(query, held);
    }
  };
  m_query_timeout = m_parts.scheduler.ScheduleAfter(kQueryTimeout, [handle_answer] {
    handle_answer(
        MakeError(ErrorKind::kBackendTimeout, "the server did not say what it holds in time"));
  });
  m_parts.links.FindSession(m_candidates[query], m_point.session, handle_answer);
}

void ResumeLookup::HandleAnswer(std::size_t query, const Result<HeldSession>& held) {
  if (query != m_query_index || !m_callback) {
    return;
  }
  if (held && MatchesDeliveredText(m_point, *held)) {
    Finish(FoundSession{m_candidates[query], *held});
    return;
  }
  ++m_query_index;
  if (m_query_index == m_candidates.size()) {
    Finish(std::nullopt);
    return;
  }
  QueryNext();
}

void ResumeLookup::Finish(std::optional<FoundSession> found) {
  m_query_timeout.reset();
  if (const Callback callback = std::exchange(m_callback, nullptr)) {
    callback(std::move(found));
  }
}

}  // namespace zinnia
