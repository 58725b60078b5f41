#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "zinnia_base/time/clock.h"
#include "zinnia_base/time/scheduler.h"
#include "zinnia_decisions/forwarding/crashes/crash_report.h"
#include "zinnia_decisions/forwarding/crashes/suspect.h"
#include "zinnia_decisions/ports/platform_store.h"

namespace zinnia {

class Logger;

/** Keeps a record in the store of each request or part of a prompt that is refused because it
    crashes servers, so that instances know it after all of them were killed at once. A record ends
    with its lease.

    The key tells the kind: that of a request is its fingerprint alone, as older versions write it.
    They ignore keys of other kinds.

    Belongs to the control thread. */
class QuarantineRecords {
 public:
  static constexpr std::string_view kKeyPrefix = "quarantines/";

  /** Maximum number of records of one instance for each kind; further quarantines are known to
      running instances only. */
  static constexpr std::size_t kMaxRecords = 64;

  /** All references must outlive this object. */
  QuarantineRecords(PlatformStore& store, Scheduler& scheduler, const Clock& clock, Logger& logger);
  ~QuarantineRecords();

  /** Writes the record, unless there is one. Call it on one instance of the fleet. */
  void Write(const QuarantineReport& quarantine);

  /** Removes the record if this instance wrote it. */
  void Remove(const Suspect& suspect);

  /** Called when the store came back from an older copy, which may lack records of this instance.
      They are written again after `pause`. */
  void OnStoreEraChanged(std::chrono::milliseconds pause);

  static std::string KeyOf(const Suspect& suspect);

  /** Returns no value if key or value is not that of a record, or its time has passed. */
  static std::optional<QuarantineReport> Decode(const std::string& key,
                                                const std::string& value,
                                                WallTimePoint now);

 private:
  struct Own {
    QuarantineReport quarantine;
    TimePoint until{};
    int attempts = 0;

    /** Zero until the record is written. */
    StoreLeaseId lease = 0;
    std::unique_ptr<ScheduledCall> next;
  };

  std::chrono::milliseconds TimeLeft(const Own& own) const;
  void Schedule(const Suspect& suspect, std::chrono::milliseconds pause);
  void Grant(const Suspect& suspect);
  void Put(const Suspect& suspect, StoreLeaseId lease);
  void OnWritten(const Suspect& suspect, StoreLeaseId lease, const Result<std::uint64_t>& result);
  std::size_t CountOwn(SuspectKind kind) const;
  void LogNotRecorded(const Suspect& suspect, std::string_view reason);
  void RemoveExpired();

  PlatformStore& m_store;
  Scheduler& m_scheduler;
  const Clock& m_clock;
  Logger& m_logger;
  std::map<Suspect, Own> m_own;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace zinnia
