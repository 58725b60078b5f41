#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/forwarding/beliefs/slowdown_report.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** What the traffic itself says about servers: which to avoid for a while, and which fail often.

    Health checks are not asked: a server may answer them well and fail its requests, or the
    reverse. Evidence decays, so that a server that recovered gets a try again.
*/
class ServerHealth {
 public:
  explicit ServerHealth(const Clock& clock) : m_clock(clock) {}

  /** It refuses for now, for want of room or layers: no requests for `duration`. */
  void Exclude(const BackendServerName& server, Duration duration);

  /** The same, twice as long at each refusal since a request last got through, up to `longest`. */
  void ExcludeLonger(const BackendServerName& server, Duration first, Duration longest);

  /** Strong evidence (cannot be reached, silent, named as stalled): no requests for `duration`, and
      then none before it has answered a question, and one at a time until one gets through. Its
      entry may stay for seconds after its death, as long as an outage of the store lasts, and each
      request that tries it meanwhile is lost time for a caller. */
  void Suspect(const BackendServerName& server, Duration duration);

  /** Suspects that should be asked now whether they answer. Notes that they are. */
  std::vector<BackendServerName> TakeSuspectsToAsk();

  /** A suspect has answered: a request may try it. */
  void OnAnswered(const BackendServerName& server);

  /** A request was sent on a path that needs the server. */
  void OnTried(const BackendServerName& server);

  /** A request that needs the server went on: it is not suspect. */
  void OnReached(const BackendServerName& server);

  /** A request at the server ended well, or failed through its fault. */
  void OnOutcome(const BackendServerName& server, bool good);

  /** A request that began at the server had its first event after so long. */
  void OnFirstEvent(const BackendServerName& server, Duration delay);

  /** The usual delay of first events lately; zero if none is known. */
  Duration FirstEventDelay(const BackendServerName& server) const;

  /** What a server says of its pace, here or to a peer. The newest word counts, for three seconds.
   */
  void NotePace(const SlowdownReport& news);

  /** How many times longer than usual the server's work takes; 1 if nothing is known. */
  double Pace(const BackendServerName& server) const;

  /** Whether the server should be asked for its pace now: each question is priced, and peers ask
      too. Notes that it is. */
  bool TakePaceQuestion(const BackendServerName& server);

  /** The servers that are known to be slow, for peers and for asking again. */
  std::vector<SlowdownReport> SlowServers() const;

  bool IsExcluded(const BackendServerName& server) const;

  /** The share of its recent requests that failed, 0 to 1. */
  double FailureShare(const BackendServerName& server) const;

 private:
  struct Record {
    TimePoint excluded_until{};
    Duration last_exclusion{};
    bool is_suspect = false;
    bool has_answered = false;  // Since it became a suspect.
    TimePoint next_question_at{};
    TimePoint next_try_at{};
    TimePoint changed_at{};
    double failure_share = 0.0;
    double first_event_ms = 0.0;
    double pace = 1.0;
    std::optional<TimePoint> pace_known_at;
    std::optional<TimePoint> pace_asked_at;
  };

  Record& Touch(const BackendServerName& server);

  const Clock& m_clock;
  std::map<BackendServerName, Record> m_records;
};

}  // namespace zinnia
