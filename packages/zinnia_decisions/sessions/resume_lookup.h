#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "zinnia_base/errors/result.h"
#include "zinnia_base/time/scheduler.h"
#include "zinnia_decisions/sessions/session_driver.h"

namespace zinnia {

/** A session held by a stage, whose tokens begin with the text already delivered. */
struct FoundSession {
  BackendServerName server;
  HeldSession held;
};

/** Queries the replicas of the last stage in turn for a session whose tokens match the delivered
    text. Other stages do not sample and hold no tokens. Destroying it cancels the lookup. */
class ResumeLookup : public std::enable_shared_from_this<ResumeLookup> {
 public:
  using Callback = std::function<void(std::optional<FoundSession>)>;

  /** The callback runs once, asynchronously. `point` is copied. */
  static std::shared_ptr<ResumeLookup> Start(const SessionParts& parts,
                                             const ResumePoint& point,
                                             Callback callback);

 private:
  ResumeLookup(const SessionParts& parts, const ResumePoint& point, Callback callback);
  void QueryNext();
  void HandleAnswer(std::size_t query, const Result<HeldSession>& held);
  void Finish(std::optional<FoundSession> found);
  void CollectCandidates();

  SessionParts m_parts;
  const ResumePoint m_point;
  Callback m_callback;
  std::vector<BackendServerName> m_candidates;
  std::size_t m_query_index = 0;
  std::unique_ptr<ScheduledCall> m_query_timeout;
};

}  // namespace zinnia
