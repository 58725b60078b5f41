#pragma once

#include <memory>
#include <optional>
#include <string>

#include "zinnia_base/time/scheduler.h"
#include "zinnia_decisions/ports/platform_store.h"
#include "zinnia_world/fleet/instance.h"

namespace zinnia {

class Logger;

/** Keeps this instance's record in the store, bound to a lease, so that others find it and notice
    its end without being asked. */
class InstanceRegistration {
 public:
  static constexpr std::string_view kKeyPrefix = "instances/";

  InstanceRegistration(PlatformStore& store, Scheduler& scheduler, Logger& logger, Instance self);

  /** Begins a moment later, so that SetKnownVersion can come first. */
  void Start();

  /** Its own record is on record at `version`; 0: it is not. Known from a list of all records, it
     need not be read before it is written: that was two calls for each instance of a fleet that
     starts again together. */
  void SetKnownVersion(std::uint64_t version) { m_known_version = version; }

  /** Ends the lease, and with it the record. */
  void Stop();

  static std::string Encode(const Instance& instance);

  /** Nothing if the value is not an instance's record. */
  static std::optional<Instance> Decode(const std::string& key, const std::string& value);

 private:
  void Grant();
  void ReadBack();
  void Write(std::uint64_t expected_version);
  void Renew();
  void Again(std::chrono::milliseconds pause, void (InstanceRegistration::*step)());

  PlatformStore& m_store;
  Scheduler& m_scheduler;
  Logger& m_logger;
  const Instance m_self;
  StoreLeaseId m_lease = 0;
  std::uint64_t m_known_version = 0;
  bool m_stopped = false;
  std::unique_ptr<ScheduledCall> m_timer;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace zinnia
