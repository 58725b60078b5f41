#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "zinnia_base/errors/result.h"
#include "zinnia_base/time/scheduler.h"
#include "zinnia_decisions/sessions/session_driver.h"

namespace zinnia {

/** Transfers a session's caches from leaving servers to their replacements, in parallel.

    A transfer that exceeds the time limit counts as failed, and its stage is replayed. Destroying
    the object cancels the callback.
*/
class CacheTransfers {
 public:
  struct Transfer {
    std::size_t hop = 0;
    BackendServerName from;
    BackendServerName to;
    AttemptNumber attempt = 0;
  };

  /** `length` is the number of positions imported, 0 if the transfer failed. */
  struct Outcome {
    Transfer transfer;
    std::uint32_t length = 0;
    std::string failure;
  };
  using Callback = std::function<void(std::vector<Outcome>)>;

  /** Starts importing as `new_attempt`. The callback runs once, asynchronously. */
  static std::shared_ptr<CacheTransfers> Start(const SessionParts& parts,
                                               const SessionName& session,
                                               const std::vector<Transfer>& transfers,
                                               AttemptNumber new_attempt,
                                               Callback callback);

 private:
  CacheTransfers(const std::vector<Transfer>& transfers, Callback callback);
  void Finish(std::size_t index, const Result<std::uint32_t>& result);
  void Complete();

  std::vector<Outcome> m_outcomes;
  std::size_t m_pending;
  Callback m_callback;
  std::unique_ptr<ScheduledCall> m_time_limit;
};

}  // namespace zinnia
