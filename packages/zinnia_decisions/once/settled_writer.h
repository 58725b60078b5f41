#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "zinnia_base/errors/result.h"
#include "zinnia_decisions/ports/platform_store.h"

namespace zinnia {

class ScheduledCall;
class Scheduler;

/** Compare-and-swap that resolves unknown outcomes. Handles one write at a time.

    After kStoreOutcomeUnknown, the write may have taken effect or may still do so, possibly after
    the record is read back. The writer therefore repeats the write with the same expected version
    until either a write has taken effect or the record has another version, so that neither can.

    The callback gets the new version, kStoreConflict (the record changed, so the write cannot take
    effect) or kStoreUnavailable (the write did not take effect); it is dropped if the writer is
    destroyed. Values written to one key must be unique, for example by an epoch and a serial.
*/
class SettledWriter {
 public:
  SettledWriter(PlatformStore& store, Scheduler& scheduler, std::chrono::milliseconds retry_pause);
  ~SettledWriter();

  void Write(std::string key,
             std::uint64_t expected_version,
             std::string value,
             PlatformStore::WriteCallback callback);

  /** Returns whether the outcome of the current write is unknown. */
  bool IsUncertain() const { return m_uncertain; }

 private:
  void Send();
  void OnWritten(const Result<std::uint64_t>& result);
  void ReadBack();
  void OnReadBack(Result<std::optional<StoreRecord>> result);
  void RetryLater(void (SettledWriter::*step)());
  void Finish(Result<std::uint64_t> result);

  PlatformStore& m_store;
  Scheduler& m_scheduler;
  const std::chrono::milliseconds m_retry_pause;
  std::string m_key;
  std::uint64_t m_expected_version = 0;
  std::string m_value;
  PlatformStore::WriteCallback m_callback;
  bool m_uncertain = false;
  std::unique_ptr<ScheduledCall> m_timer;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace zinnia
