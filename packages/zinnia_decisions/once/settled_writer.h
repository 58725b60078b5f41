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

/** Compare-and-swap whose outcome is always known in the end: one write at a time.

    What fails: the store's answer is lost after the write took effect, or the write takes effect
    after its caller gave up (kStoreOutcomeUnknown). Reading back once is not enough, since a write
    can take effect after the read. So the same value is written again at the same expected version
    until one of the two is seen to have taken effect, or the record has moved on and neither can.

    The callback gets the new version, kStoreConflict (not in force, and never will be) or
    kStoreUnavailable (never took effect); it is dropped when the writer is destroyed. No two
    writers may write the same value to the same key: put an epoch and a serial into it.
*/
class SettledWriter {
 public:
  SettledWriter(PlatformStore& store, Scheduler& scheduler, std::chrono::milliseconds retry_pause);
  ~SettledWriter();

  void Write(std::string key,
             std::uint64_t expected_version,
             std::string value,
             PlatformStore::WriteCallback callback);

  /** Whether a write is under way whose answer was lost. */
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
