#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "zinnia_decisions/ports/stage_links.h"
#include "zinnia_decisions/sessions/stage_caches.h"
#include "zinnia_world/requests/chat_request.h"

namespace zinnia {

class GeneratedAnswer;

/** Runs the steps of one attempt hop by hop, with one step in flight at a time.

    In the first pass of an attempt, leading hops replay all tokens and the others adopt the cache
    of an older attempt. Each later pass adds one position.

    Answers for other attempts, other hops or earlier positions are dropped as stale, such as those
    of a replaced stage that resumes after a freeze.
*/
class StepRelay {
 public:
  /** Effect of an answer on the current pass. */
  enum class Progress { kStale, kNextHop, kToken, kFailed };

  StepRelay(StageLinks& links,
            const SessionName& session,
            const ChatRequest& request,
            const GeneratedAnswer& answer);

  /** Begins a new attempt. Its first pass adopts usable caches and replays the other hops. */
  void StartAttempt(AttemptNumber attempt, const Route& route);

  /** Starts the next pass at the first hop. */
  void StartPass(std::weak_ptr<StepListener> listener);

  /** Processes an answer. After kNextHop, call SendToNextHop; after kToken the pass is complete and
      `answer` holds the token; after kFailed, call HandleFailedStep. */
  Progress HandleAnswer(std::uint32_t hop, StepAnswer& answer);
  void SendToNextHop(StepAnswer answer, std::weak_ptr<StepListener> listener);

  /** Abandons the step in flight; its answer will be ignored. */
  void Abandon() { m_in_flight = false; }

  /** Updates the cache state of the hop whose step failed. */
  void HandleFailedStep(const StepAnswer& answer);

  bool IsInFlight() const { return m_in_flight; }

  /** The hop and position of the last step that was sent. */
  std::uint32_t Hop() const { return m_hop; }
  std::uint32_t Position() const { return m_position; }

  std::size_t HopsReplayed() const { return m_hops_to_replay; }
  AttemptNumber Attempt() const { return m_attempt; }
  const Route& CurrentRoute() const { return m_route; }

  StageCaches& Caches() { return m_caches; }

  /** Releases the caches of this and all lower attempts at every stage of the route. */
  void ReleaseAll();

  /** @see StepRequest::isolated */
  void SetIsolated(bool isolated) { m_isolated = isolated; }

 private:
  void Send(std::uint32_t hop, StepRequest step, std::weak_ptr<StepListener> listener);
  StepRequest MakeStep(std::uint32_t hop) const;
  bool IsReplayed(std::uint32_t hop) const { return m_is_first_pass && hop < m_hops_to_replay; }
  std::uint32_t ExpectedLength(const StepAnswer& answer) const;
  bool IsLastHop() const { return m_hop + 1 == m_route.hops.size(); }
  bool IsWellFormed(const StepAnswer& answer) const;

  StageLinks& m_links;
  const SessionName& m_session;
  const ChatRequest& m_request;
  const GeneratedAnswer& m_answer;
  Route m_route;
  StageCaches m_caches;
  AttemptNumber m_attempt = 0;
  std::size_t m_hops_to_replay = 0;
  bool m_is_first_pass = true;
  bool m_isolated = false;
  bool m_in_flight = false;
  std::uint32_t m_hop = 0;
  std::uint32_t m_position = 0;
};

}  // namespace zinnia
