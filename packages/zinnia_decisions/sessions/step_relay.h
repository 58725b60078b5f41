#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "zinnia_decisions/ports/stage_links.h"
#include "zinnia_decisions/sessions/stage_caches.h"
#include "zinnia_world/requests/chat_request.h"

namespace zinnia {

class KnownAnswer;

/** Carries one attempt's hidden states from hop to hop, one step in flight at a time.

    The first pass of an attempt starts the stages' caches: the first hops replay everything that is
    known, the others adopt the cache of an older attempt. Each later pass adds one position.

    Answers of other attempts, of other hops and of earlier positions are recognised here and
    dropped, so that a frozen stage that wakes after its replacement took over changes nothing.
*/
class StepRelay {
 public:
  /** What an answer means for the pass that is running. */
  enum class Progress { kStale, kNextHop, kToken, kFailed };

  StepRelay(StageLinks& links,
            const SessionName& session,
            const ChatRequest& request,
            const KnownAnswer& answer);

  /** A new attempt, whose next pass starts the caches. The route's former caches are adopted. */
  void StartAttempt(AttemptNumber attempt, const Route& route);

  /** Starts the next pass at the first hop. */
  void StartPass(std::weak_ptr<StepListener> listener);

  /** Takes an answer. After kNextHop, call SendToNextHop; after kToken the pass is complete and
      `answer` holds the token; after kFailed, call NoteFailure. */
  Progress Take(std::uint32_t hop, StepAnswer& answer);
  void SendToNextHop(StepAnswer answer, std::weak_ptr<StepListener> listener);

  /** Gives up the step in flight; its answer will be dropped. */
  void Abandon() { m_in_flight = false; }

  /** Corrects what is believed of the cache of the hop whose step failed. */
  void NoteFailure(const StepAnswer& answer);

  bool IsInFlight() const { return m_in_flight; }

  /** The hop and position of the last step that was sent. */
  std::uint32_t Hop() const { return m_hop; }
  std::uint32_t Position() const { return m_position; }

  std::size_t HopsReplayed() const { return m_hops_to_replay; }
  AttemptNumber Attempt() const { return m_attempt; }
  const Route& CurrentRoute() const { return m_route; }

  StageCaches& Caches() { return m_caches; }

  /** Drops the caches of this and all lower attempts at every stage of the route. */
  void ReleaseAll();

  /** @see StepRequest::isolated */
  void SetIsolated(bool isolated) { m_isolated = isolated; }

 private:
  void Send(std::uint32_t hop, StepRequest step, std::weak_ptr<StepListener> listener);
  StepRequest MakeStep(std::uint32_t hop) const;
  bool IsReplayed(std::uint32_t hop) const { return m_starting_caches && hop < m_hops_to_replay; }
  std::uint32_t ExpectedLength(const StepAnswer& answer) const;
  bool IsLastHop() const { return m_hop + 1 == m_route.hops.size(); }
  bool IsWellFormed(const StepAnswer& answer) const;

  StageLinks& m_links;
  const SessionName& m_session;
  const ChatRequest& m_request;
  const KnownAnswer& m_answer;
  Route m_route;
  StageCaches m_caches;
  AttemptNumber m_attempt = 0;
  std::size_t m_hops_to_replay = 0;
  bool m_starting_caches = true;
  bool m_isolated = false;
  bool m_in_flight = false;
  std::uint32_t m_hop = 0;
  std::uint32_t m_position = 0;
};

}  // namespace zinnia
