#pragma once

#include <functional>
#include <optional>
#include <string_view>
#include <vector>

#include "zinnia_base/hashing/fingerprint.h"
#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/forwarding/crashes/broken_attempts.h"
#include "zinnia_decisions/forwarding/crashes/part_quarantine.h"

namespace zinnia {

class Logger;
class Metrics;

/** Finds the parts of prompts that crash servers, by what this instance and its peers see, and logs
    what is found.

    Not thread-safe. */
class PromptPartWatch {
 public:
  using OnQuarantined = std::function<void(const QuarantineReport&)>;

  PromptPartWatch(const Clock& clock, Logger& logger, Metrics& metrics, OnQuarantined callback);

  /** A server has crashed under these attempts. Returns what to tell peers of it. */
  std::vector<CrashReport> OnServerCrash(const std::vector<BrokenAttempt>& attempts);

  /** A stream with these parts has run on, or ended whole, at a server that lives. */
  void OnSurvived(const std::vector<Fingerprint>& parts, TimePoint began_at);

  void OnPeerCrash(const CrashReport& crash);
  void OnPeerQuarantine(const QuarantineReport& quarantine);
  void OnPeerCleared(const ClearedRequest& cleared);

  /** Whether a request with these parts must be refused. */
  bool IsRefused(const std::vector<Fingerprint>& parts) const;

  /** The place of this instance decides when it may send requests with suspects. */
  void SetPlace(FleetPlace place) { m_quarantine.SetPlace(place); }

  /** See PartQuarantine::MustWait. */
  bool MustWait(const std::vector<Fingerprint>& parts) { return m_quarantine.MustWait(parts); }
  void OnSent(const std::vector<Fingerprint>& parts) { m_quarantine.OnSent(parts); }

  /** Whether a request with these parts should not be sent to a further server on our own. */
  bool IsSuspect(const std::vector<Fingerprint>& parts) const;
  std::optional<Duration> TimeUntilRelease(const std::vector<Fingerprint>& parts) const;

  /** Decides who is guilty, and returns whom peers should refuse. Call about every tenth of a
      second. */
  std::vector<QuarantineReport> TakeQuarantines(std::size_t most);

  /** For peers, at once. */
  std::vector<ClearedRequest> TakeCleared();

 private:
  CrashReport ReportOf(const BrokenAttempt& attempt, const Fingerprint& part) const;
  void Report(const Fingerprint& part, std::string_view heard_from);

  const Clock& m_clock;
  Logger& m_logger;
  Metrics& m_metrics;
  OnQuarantined m_on_quarantined;
  PartQuarantine m_quarantine;
};

}  // namespace zinnia
