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

/** Time and size limits of the quarantine. When a size limit is reached, the oldest crash (with the
    suspects that it alone supports) or the oldest quarantined fingerprint is evicted. */
struct QuarantineSettings {
  Duration suspect_for = std::chrono::minutes(2);
  Duration quarantine_for = std::chrono::minutes(15);

  /** A suspect is not restarted within this time after its crash, so that every instance has
      received the report and agrees on the suspect's owner. */
  Duration hold = std::chrono::seconds(5);

  /** Upper bound on the time for a crash report to reach every instance. Crashes less than this
      apart count as one event for a request in flight at each, unless it ran alone. */
  Duration report_propagation_time = std::chrono::seconds(1);
  std::size_t max_crashes = 64;
  std::size_t max_fingerprints_per_crash = 128;
  std::size_t max_quarantined = 1024;
};

/** One row of the operators' quarantine table. */
struct QuarantineRow {
  Fingerprint fingerprint;
  bool quarantined = false;
  std::vector<BackendServerName> crashed_servers;
  Duration remaining{};
};

/** Identifies requests that crash backend servers, from those in flight at each crash.

    A fingerprint in flight at one crash is a suspect. After crashes of two servers, or of two
    incarnations of one server, it is quarantined if it ran alone at one of them or the crashes are
    at least `report_propagation_time` apart; simultaneous crashes may have a common cause. Once a
   fingerprint is quarantined, its crashes are explained, and the other fingerprints in flight at
   them are cleared. The state depends only on crash reports, so that instances that received the
   same reports reach the same result.

    Lives on the control thread.

    @see QuarantineSnapshot, docs/design/quarantine.md
*/
class CrashQuarantine {
 public:
  explicit CrashQuarantine(QuarantineSettings settings) : m_settings(settings) {}

  /** Records a crash. Returns the fingerprints with new evidence, to be forwarded to peers. */
  std::vector<Fingerprint> OnCrash(const CrashRumour& rumour, TimePoint now);

  bool IsEmpty() const { return m_crashes.empty() && m_quarantined_since.empty(); }

  /** Drops expired entries and cleared suspects. Returns whether anything changed. */
  bool Tick(TimePoint now);

  bool IsQuarantined(const Fingerprint& fingerprint) const;
  bool IsSuspect(const Fingerprint& fingerprint) const;

  /** Claims the exclusive right to restart a suspect; only its owner can get it. Returns true
      without a claim for a fingerprint that is neither suspect nor quarantined. @see Release */
  bool Claim(const Fingerprint& fingerprint, TimePoint now);
  void Release(const Fingerprint& fingerprint);

  /** Sets the live instances from which the owners of suspects are chosen. */
  void SetInstances(const InstanceName& self, std::vector<Instance> live);

  std::shared_ptr<const QuarantineSnapshot> BuildSnapshot(TimePoint now) const;
  std::vector<QuarantineRow> Rows(TimePoint now) const;

  /** Reports of all recorded crashes, for instances that joined later. */
  std::vector<CrashRumour> Rumours(TimePoint now) const;

 private:
  using CrashKey = std::pair<BackendServerName, std::uint64_t>;
  struct Crash {
    TimePoint at{};
    std::unordered_set<Fingerprint> fingerprints;

    /** The subset of `fingerprints` that ran alone. */
    std::unordered_set<Fingerprint> alone;
    std::optional<TimePoint> explained_at;
  };

  CrashKey KeyOf(const CrashRumour& rumour, TimePoint at) const;
  bool IsProven(const Fingerprint& fingerprint, const std::vector<CrashKey>& crashes) const;
  void QuarantineIfProven(const Fingerprint& fingerprint);
  bool IsOwner(const Fingerprint& fingerprint) const;
  bool IsInHoldPeriod(const Fingerprint& fingerprint, TimePoint now) const;
  bool DropExplained(TimePoint now);
  bool DropExpired(TimePoint now);
  void EvictOverLimits();
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
