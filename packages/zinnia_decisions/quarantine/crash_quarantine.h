#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/ports/peer_messages.h"
#include "zinnia_decisions/quarantine/quarantine_snapshot.h"

namespace zinnia {

/** Times and bounds of the quarantine. At a bound the oldest crash, and with it the suspicions that
    rest on it alone, or the oldest quarantined fingerprint goes; newcomers are always taken in. */
struct QuarantineSettings {
  Duration suspect_for = std::chrono::minutes(2);
  Duration quarantine_for = std::chrono::minutes(15);

  /** A suspect is not started anew within this time of its crash: every instance has heard of the
      crash by then, and agrees on the suspect's owner. */
  Duration hold = std::chrono::seconds(5);

  /** News of a crash reaches every instance in this time, also on busy machines. Crashes closer
     than that are one event for a request that was in flight at each, unless it ran alone. */
  Duration news_time = std::chrono::seconds(1);
  std::size_t most_crashes = 64;
  std::size_t most_fingerprints_per_crash = 128;
  std::size_t most_quarantined = 1024;
};

/** One row for operators. */
struct QuarantineRow {
  Fingerprint fingerprint;
  bool quarantined = false;
  std::vector<BackendServerName> crashed_servers;
  Duration remaining{};
};

/** Finds the requests that crash backend servers, from what was in flight at each crash.

    A fingerprint in flight at one crash is a suspect; at crashes of two distinct servers, or of two
    incarnations of one, it is quarantined, if the second attempt began when the first crash was
    known: it ran alone, or the crashes are further apart than news takes. Servers that die in the
    same moment prove nothing against those that ran at both. Everything is worked out from the
   crash rumours alone, so that all instances that heard the same come to the same rows. Once a
   fingerprint is quarantined, its crashes are explained: whoever was only in flight beside it is a
   suspect no longer.

    Lives on the control thread.

    @see QuarantineSnapshot, docs/design/quarantine.md
*/
class CrashQuarantine {
 public:
  explicit CrashQuarantine(QuarantineSettings settings) : m_settings(settings) {}

  /** Takes in a crash. Returns the fingerprints that were news, to be passed on. */
  std::vector<Fingerprint> OnCrash(const CrashRumour& rumour, TimePoint now);

  bool IsEmpty() const { return m_crashes.empty() && m_quarantined_since.empty(); }

  /** Lets entries expire and explained suspicions go. Returns whether anything changed. */
  bool Tick(TimePoint now);

  bool IsQuarantined(const Fingerprint& fingerprint) const;
  bool IsSuspect(const Fingerprint& fingerprint) const;

  /** The one right to start a suspect anew, given to its owner once at a time. Everything that is
      no suspect is granted without a claim. Give it back with Release. */
  bool Claim(const Fingerprint& fingerprint, TimePoint now);
  void Release(const Fingerprint& fingerprint);

  /** Tells which instances live, for the choice of owners. */
  void SetInstances(const InstanceName& self, std::vector<Instance> live);

  std::shared_ptr<const QuarantineSnapshot> BuildSnapshot(TimePoint now) const;
  std::vector<QuarantineRow> Rows(TimePoint now) const;

  /** All crashes that still matter, for instances that were not there. */
  std::vector<CrashRumour> Rumours(TimePoint now) const;

 private:
  using CrashKey = std::pair<BackendServerName, std::uint64_t>;
  struct Crash {
    TimePoint at{};
    std::unordered_set<Fingerprint> fingerprints;

    /** Of these, those that ran alone. */
    std::unordered_set<Fingerprint> alone;
    std::optional<TimePoint> explained_at;
  };

  CrashKey KeyOf(const CrashRumour& rumour, TimePoint at) const;
  bool IsProven(const Fingerprint& fingerprint, const std::vector<CrashKey>& crashes) const;
  void QuarantineIfProven(const Fingerprint& fingerprint);
  bool IsOwner(const Fingerprint& fingerprint) const;
  bool IsHeld(const Fingerprint& fingerprint, TimePoint now) const;
  bool DropExplained(TimePoint now);
  bool DropExpired(TimePoint now);
  void KeepWithinBounds();
  void Forget(const Fingerprint& fingerprint, const CrashKey& crash);

  const QuarantineSettings m_settings;
  std::map<CrashKey, Crash> m_crashes;
  std::unordered_map<Fingerprint, std::vector<CrashKey>> m_suspects;
  std::unordered_map<Fingerprint, TimePoint> m_quarantined_since;
  std::unordered_set<Fingerprint> m_claimed;
  InstanceName m_self;
  std::vector<Instance> m_live;
};

}  // namespace zinnia
