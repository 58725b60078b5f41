#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/forwarding/observed_state/slowdown_report.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** Tracks server health from request outcomes: servers to avoid for a while, and failure rates.

    Health checks are not considered, since a server may pass them and still fail requests, or the
    reverse. Observations decay, so that a recovered server receives requests again.
*/
class ServerHealth {
 public:
  explicit ServerHealth(const Clock& clock) : m_clock(clock) {}

  /** Excludes a server for `duration`, after it refused for lack of capacity or layers. */
  void Exclude(const BackendServerName& server, Duration duration);

  /** Excludes a server for `first`, doubled at each refusal up to `longest`. OnProgress resets
      it. */
  void ExcludeWithBackoff(const BackendServerName& server, Duration first, Duration longest);

  /** Marks a server as suspect: unreachable, silent or reported as stalled. It is excluded for
      `duration` and until it answers a probe. Then single requests may try it until one makes
      progress. The entry of a dead server may remain for as long as a store outage lasts, and each
      request that tries it meanwhile is delayed. */
  void MarkSuspect(const BackendServerName& server, Duration duration);

  /** Returns the suspects that are due for a probe and records that they are being probed. */
  std::vector<BackendServerName> TakeSuspectsToProbe();

  /** The server answered a probe. A suspect may now be tried by a request. */
  void OnProbeAnswered(const BackendServerName& server);

  /** A request was sent on a path that includes the server. */
  void OnAttempt(const BackendServerName& server);

  /** A request made progress on a path that includes the server, so it is no longer suspect. */
  void OnProgress(const BackendServerName& server);

  /** A request at the server succeeded, or failed due to the server. */
  void OnOutcome(const BackendServerName& server, bool succeeded);

  /** A request whose path begins at the server received its first event after `delay`. */
  void OnFirstEvent(const BackendServerName& server, Duration delay);

  /** Moving average of recent first-event delays; zero if unknown. */
  Duration FirstEventDelay(const BackendServerName& server) const;

  /** Records a server's slowdown report, received directly or through a peer. The latest one counts
      until it expires. */
  void OnSlowdownReport(const SlowdownReport& report);

  /** Factor by which the server's work takes longer than usual; 1 if unknown. */
  double SlowdownFactor(const BackendServerName& server) const;

  /** Returns whether the server's slowdown should be queried now, and records the query if so.
      Limits queries, since each has a cost and peers send them too. */
  bool TryBeginSlowdownQuery(const BackendServerName& server);

  /** Servers known to be slow, to be reported to peers and queried again. */
  std::vector<SlowdownReport> SlowServers() const;

  bool IsExcluded(const BackendServerName& server) const;

  /** Whether the server was marked as suspect and no request has made progress there since. */
  bool IsSuspect(const BackendServerName& server) const;

  /** Fraction of recent requests that failed, 0 to 1. */
  double FailureRate(const BackendServerName& server) const;

 private:
  struct Record {
    TimePoint excluded_until{};
    Duration last_exclusion{};
    bool is_suspect = false;
    bool has_answered = false;  // Since the server became suspect.
    TimePoint next_probe_at{};
    TimePoint next_attempt_at{};
    TimePoint updated_at{};
    double failure_rate = 0.0;
    double first_event_ms = 0.0;
    double slowdown = 1.0;
    std::optional<TimePoint> slowdown_known_at;
    std::optional<TimePoint> slowdown_queried_at;
  };

  Record& UpdateRecord(const BackendServerName& server);

  const Clock& m_clock;
  std::map<BackendServerName, Record> m_records;
};

}  // namespace zinnia
