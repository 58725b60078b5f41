#pragma once

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "zinnia_base/hashing/fingerprint.h"
#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/forwarding/crashes/crash_report.h"
#include "zinnia_decisions/forwarding/crashes/recent_requests.h"

namespace zinnia {

struct RequestQuarantineSettings {
  /** How long a crash counts against a request. */
  Duration evidence_lifetime = std::chrono::minutes(2);

  /** Doubled each time that the request crashes a server after its release. */
  Duration first_quarantine = std::chrono::minutes(1);
  Duration longest_quarantine = std::chrono::minutes(15);

  /** Requests whose crashes are remembered. The one whose last crash is oldest is dropped first. */
  std::size_t max_requests = 4'096;
};

/** Recognises requests that crash the servers that run them, and says how long to refuse them.

    Everything in flight at a server is lost with it, so a crash alone says little about each of the
    requests there. A crash counts against a request

    - whose stream had begun less than kOnsetTime before, or whose answer comes whole, so that
      nothing shows whether it had begun;
    - that was sent after its previous crash, since servers that end together have a common cause.

    Three such crashes in a row prove that the request causes them; more, if servers also end often
    without a suspect in flight. Crashes that don't count for want of a beginning prove it in double
    number. A request whose crashes are all explained by other suspects is not proven. A request
    that runs longer elsewhere than it did until a crash did not cause that crash. One that has
    ended well within the last seconds, here or at a peer, is not blamed at all: callers may send
    the same request many times at once, and some of its copies are in flight at any crash.

    State is merged from this instance and its peers in any order; a repeated report changes
    nothing. Not thread-safe.
*/
class RequestQuarantine {
 public:
  /** A stream that has run for longer did not crash its server as it began. */
  static constexpr Duration kOnsetTime = std::chrono::milliseconds(300);

  RequestQuarantine(const Clock& clock, RequestQuarantineSettings settings)
      : m_clock(clock), m_settings(settings), m_ended_well(clock) {}

  /** Sets the number of servers in use, of which some may crash for other reasons. */
  void SetServerCount(std::size_t servers) { m_servers = std::max<std::size_t>(1, servers); }

  /** Returns whether the report was new evidence. */
  bool OnCrash(const CrashReport& report);

  /** The request ran to its end at a server that lived. */
  void OnEndedWell(const Fingerprint& request);

  /** The same, as a peer saw it. */
  void OnCleared(const ClearedRequest& cleared);

  /** Returns the requests that ended well although something speaks against them, to be reported to
     peers at once. */
  std::vector<ClearedRequest> TakeCleared();

  /** The request has run for `ran` at a server that lives. */
  void OnRunning(const Fingerprint& request, Duration ran);

  /** Takes over a quarantine from a peer. Ignores one that is not longer than the last known one of
      the request, which peers may report for a little longer. Returns whether it is new. */
  bool OnQuarantine(const QuarantineReport& report);

  /** Whether the request ended well so lately that no crash is counted against it. */
  bool EndedWellLately(const Fingerprint& request) const {
    return m_ended_well.LastEndOf(request).has_value();
  }

  /** Whether there is evidence against the request. */
  bool IsSuspect(const Fingerprint& request) const { return m_requests.contains(request); }

  /** Time until the request may be sent again; nullopt if it may be sent now. */
  std::optional<Duration> TimeUntilRelease(const Fingerprint& request) const;

  /** Whether the request would be quarantined if `unconfirmed` further attempts turned out to be
      crashes. */
  bool WouldBeQuarantined(const Fingerprint& request, std::size_t unconfirmed) const;

  /** Whether a request whose answer comes whole must wait, since it lost two servers or more in
     this moment: only a crash after it would tell a common cause from the request itself. */
  bool MustWait(const Fingerprint& request, std::size_t unconfirmed) const;

  /** The servers whose crashes count against the request. */
  std::vector<BackendServerName> CrashedServers(const Fingerprint& request) const;

  /** The request must be refused now. */
  QuarantineReport ReportOf(const Fingerprint& request) const;

  /** The quarantines in force, the latest first. */
  std::vector<QuarantineReport> InForce(std::size_t most) const;
  std::size_t CountInForce() const;
  std::size_t CountRemembered() const { return m_requests.size(); }

  /** Drops expired state, and releases requests whose crashes others explain. Call a few times a
      second. */
  void RemoveExpired();

 private:
  struct Crash {
    TimePoint at{};
    TimePoint sent_at{};
    Duration ran{};
    CrashOnset onset = CrashOnset::kUnknown;
  };
  struct Request {
    std::map<BackendServerName, Crash> crashes;

    /** Zero duration: not quarantined so far. */
    Duration quarantine{};
    TimePoint released_at{};

    /** Released because its crashes turned out to be explained by others. */
    bool was_explained = false;
  };

  struct Evidence {
    /** Crashes under attempts that were sent after the previous crash. */
    std::size_t independent = 0;

    /** Those of them that count by themselves. */
    std::size_t counted = 0;
  };

  /** Requests with two crashes or more that count. */
  using Suspects = std::vector<const Request*>;

  static std::vector<Crash> InOrder(const Request& request);
  static Evidence EvidenceAgainst(const Request& request);
  static TimePoint LastCrashOf(const Request& request);
  Suspects StrongSuspects() const;
  std::size_t CountUnrelatedCrashes(const Suspects& suspects) const;
  std::size_t CrashesThatProve(const Suspects& suspects) const;

  /** Whether suspects that explain other crashes were at each crash of the request. */
  static bool IsExplained(const Request& request, const Suspects& suspects);
  static bool IsOutmatched(const Request& request, const Suspects& suspects);
  bool IsProven(const Request& request, std::size_t unconfirmed) const;
  void QuarantineIfProven(Request& request);

  /** Adds the request to those of which peers are told, if it ended well lately. Returns whether it
      did. */
  bool AddIfCleared(const Fingerprint& request);
  void ReleaseExplained();
  bool IsInForce(const Request& request) const;
  bool IsExpired(const Request& request) const;
  void EvictOverLimit();

  const Clock& m_clock;
  const RequestQuarantineSettings m_settings;
  std::size_t m_servers = 1;
  std::unordered_map<Fingerprint, Request> m_requests;
  RecentRequests m_ended_well;

  /** Of which peers are told next, and when they ended well. */
  std::map<Fingerprint, TimePoint> m_cleared;
};

}  // namespace zinnia
