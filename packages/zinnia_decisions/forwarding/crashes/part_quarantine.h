#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "zinnia_base/hashing/fingerprint.h"
#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/forwarding/crashes/crash_report.h"
#include "zinnia_decisions/forwarding/crashes/probation.h"

namespace zinnia {

struct PartQuarantineSettings {
  /** How long a crash counts against a part of which no stream is heard. */
  Duration evidence_lifetime = std::chrono::minutes(10);

  /** Doubled each time that a request with the part crashes a server after its release. Long, as
      several such requests are on their way when the first crash after a release becomes known. */
  Duration first_quarantine = std::chrono::hours(2);
  Duration longest_quarantine = std::chrono::hours(24);

  /** By how much this instance releases a part later than others. Different ones at different
      instances have one of them find out whether the part still does harm. */
  Duration release_delay{};

  /** Parts whose crashes are remembered. The one whose last crash is oldest is dropped first. */
  std::size_t max_parts = 4'096;
};

/** Recognises parts of prompts that crash each server that begins to answer a request with them,
    whatever else the request holds, and says which requests to refuse.

    Requests with such a part have nothing else in common, and share their other parts with sound
    ones. So what counts is who lived elsewhere: a stream that runs for longer than
    RequestQuarantine::kOnsetTime at a server that lives vouches for all its parts, and drops their
    crashes up to the moment at which it began. It says nothing of later crashes, since a part may
    turn harmful.

    A part whose crashes lie in two moments (servers that end together have a common cause) is on
    probation: few requests with it are sent at a time in the whole fleet. It is guilty if two of
    these have ended their servers too. Crashes at which a guilty part was are not counted against
    others, and neither are those of a part that was only where another suspect was too.

    State is merged from this instance and its peers in any order; a repeated report changes
    nothing. Not thread-safe.
*/
class PartQuarantine {
 public:
  PartQuarantine(const Clock& clock, PartQuarantineSettings settings)
      : m_clock(clock), m_settings(settings), m_probation(clock) {}

  /** Of this instance among those that live. */
  void SetPlace(FleetPlace place) { m_probation.SetPlace(place); }

  /** Returns whether the report was new evidence. */
  bool OnCrash(const CrashReport& report);

  /** A stream of this instance with these parts has run for longer than kOnsetTime at a server that
      lives. */
  void OnSurvived(const std::vector<Fingerprint>& parts, TimePoint began_at);

  /** The same of one part, as a peer saw it. */
  void OnCleared(const ClearedRequest& cleared);

  /** Returns the parts that this instance vouches for although something spoke against them, to be
      reported to peers at once. */
  std::vector<ClearedRequest> TakeCleared();

  /** Takes over a quarantine from a peer or the store. Returns whether it is new. */
  bool OnQuarantine(const QuarantineReport& report);

  /** Returns a part for which a request must be refused; nullopt if it may be sent. */
  std::optional<Fingerprint> FindQuarantined(const std::vector<Fingerprint>& parts) const;

  /** Time until a request with these parts may be sent; nullopt if it may be sent now. */
  std::optional<Duration> TimeUntilRelease(const std::vector<Fingerprint>& parts) const;

  /** Whether a request with these parts must not be sent yet: with a suspect, few are sent at a
     time in the whole fleet. */
  bool MustWait(const std::vector<Fingerprint>& parts);

  /** Call for each request that is sent. */
  void OnSent(const std::vector<Fingerprint>& parts);

  /** The parts of which requests are sent at turns only. */
  std::size_t CountOnProbation() const { return m_probation.Count(); }

  /** Whether a request that lost its server must not be sent again by ourselves, since one of these
      parts is likely the cause. Not to be asked for one whose stream had run for longer than
      kOnsetTime: it vouches for its parts itself. */
  bool HasStrongSuspect(const std::vector<Fingerprint>& parts) const;

  /** The servers whose crashes count against the part. */
  std::vector<BackendServerName> CrashedServers(const Fingerprint& part) const;

  /** The part must be quarantined now. */
  QuarantineReport ReportOf(const Fingerprint& part) const;

  /** The quarantines in force, the latest first. */
  std::vector<QuarantineReport> InForce(std::size_t most) const;
  std::size_t CountInForce() const;
  std::size_t CountRemembered() const { return m_parts.size(); }

  /** Drops expired state and decides who is guilty; not done for each report, as the parts of one
      crash are told one after the other. Call a few times a second. Returns the parts whose
      quarantine this instance began since the last call. */
  std::vector<Fingerprint> RemoveExpired();

 private:
  struct Crash {
    TimePoint at{};
    int weight = 0;

    /** When the request was sent that was in flight. */
    TimePoint sent_at{};
  };
  using Crashes = std::map<BackendServerName, Crash>;
  struct Part {
    Crashes crashes;

    /** Zero duration: not quarantined so far, or cleared since. */
    Duration quarantine{};
    TimePoint released_at{};

    /** When a quarantine ended early. */
    std::optional<TimePoint> cleared_at;
  };
  struct PartsAtCrash {
    TimePoint at{};
    std::size_t count = 0;
  };
  struct Survivor {
    TimePoint began_at{};
    bool is_own = false;
  };
  using Survivors = std::unordered_map<Fingerprint, Survivor>;

  /** What crashes say together. */
  struct Evidence {
    int weight = 0;

    /** Crashes close together are one. */
    int moments = 0;

    /** Moments in which requests were in flight that were sent on probation. */
    int trials = 0;
  };

  Evidence EvidenceOf(const Crashes& crashes) const;
  int WeightOfCrash(const BackendServerName& server,
                    const Crash& crash,
                    std::optional<TimePoint> suspected_at) const;
  int WeightOf(const Crashes& crashes) const { return EvidenceOf(crashes).weight; }
  bool IsOnProbation(const Fingerprint& fingerprint) const;
  bool IsUnexplained(const Part& part) const;
  std::vector<Fingerprint> SuspectsAmong(const std::vector<Fingerprint>& parts) const;
  void EndProbations();
  std::optional<Survivor> LastSurvivorOf(const Fingerprint& part) const;
  void RememberSurvivor(const Fingerprint& part, const Survivor& survivor);
  void Vouch(const Fingerprint& fingerprint, const Survivor& survivor);
  bool IsRefuted(const Part& part, const Survivor& survivor, bool drops_crashes) const;
  void AddCleared(const Fingerprint& part, TimePoint began_at);
  bool AddCrash(Part& part, const CrashReport& report, TimePoint at);
  bool IsInForce(const Part& part) const;
  bool IsExpired(const Part& part) const;
  void Quarantine(const Fingerprint& fingerprint, Duration duration);
  Crashes Unexplained(const Part& part) const;
  Crashes Settled(Crashes crashes) const;
  Crashes UnexplainedByRivals(const Part& part) const;
  bool IsTied(const Part& part) const;
  static bool IsEnough(const Evidence& evidence);
  static bool IsOverLongEnough(const Crashes& crashes);
  bool IsTrialNews(const Part& part, Duration turn_age) const;
  bool IsProven(const Part& part) const;
  bool IsStrongSuspect(const Part& part) const;
  std::optional<Fingerprint> FindGuilty() const;
  void EvictOverLimit();

  const Clock& m_clock;
  const PartQuarantineSettings m_settings;
  std::unordered_map<Fingerprint, Part> m_parts;
  Probation m_probation;

  struct Verdict {
    TimePoint at{};
    bool is_on_probation = false;
  };

  /** Of parts that were asked for lately: to find them out looks at all parts. */
  mutable std::unordered_map<Fingerprint, Verdict> m_verdicts;

  /** How many parts were at each crash without a survivor since. */
  std::map<BackendServerName, PartsAtCrash> m_parts_at;

  /** Since when survivors are added to m_survivors. They are set aside after their lifetime, and
      dropped when the next ones are. */
  TimePoint m_survivors_since{};
  Survivors m_survivors;
  Survivors m_former_survivors;

  /** Of which peers are told next, and when their streams began. */
  std::map<Fingerprint, TimePoint> m_cleared;
  std::vector<Fingerprint> m_new_quarantines;
};

}  // namespace zinnia
