#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "zinnia_base/time/scheduler.h"
#include "zinnia_decisions/ports/platform_store.h"
#include "zinnia_world/fleet/instance.h"

namespace zinnia {

class Logger;

/** Keeps this instance's record in the store, bound to a lease, so that other instances find it and
    its end is noticed without polling. */
class InstanceRegistration {
 public:
  static constexpr std::string_view kKeyPrefix = "instances/";

  InstanceRegistration(PlatformStore& store, Scheduler& scheduler, Logger& logger, Instance self);

  /** Schedules the registration after a short delay, so that SetKnownVersion can be called first.
   */
  void Start();

  /** Sets the stored version of the own record, or 0 if there is none. A version known from the
      first list saves reading the record before it is written. */
  void SetKnownVersion(std::uint64_t version) { m_known_version = version; }

  /** Called when the store came back from an older copy, which may lack the lease and the record.
     Both are checked after `pause`, so that a fleet does not call the store at once. */
  void OnStoreEraChanged(std::chrono::milliseconds pause);

  /** Revokes the lease, which removes the record. */
  void Stop();

  static std::string Encode(const Instance& instance);

  /** Returns no value if key or value is not that of an instance's record. */
  static std::optional<Instance> Decode(const std::string& key, const std::string& value);

 private:
  void Grant();
  void ReadBack();
  void Write(std::uint64_t expected_version);
  void Renew();
  void ScheduleStep(std::chrono::milliseconds pause, void (InstanceRegistration::*step)());

  PlatformStore& m_store;
  Scheduler& m_scheduler;
  Logger& m_logger;
  const Instance m_self;
  StoreLeaseId m_lease = 0;
  std::uint64_t m_known_version = 0;
  bool m_stopped = false;

  /** The record is to be read back, since the lease is known and the record may be lost. */
  bool m_is_record_in_doubt = false;
  std::chrono::milliseconds m_check_pause{0};
  std::unique_ptr<ScheduledCall> m_timer;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace zinnia
