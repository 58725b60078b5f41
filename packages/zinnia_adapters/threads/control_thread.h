#pragma once

#include <functional>
#include <memory>

#include "zinnia_base/errors/result.h"
#include "zinnia_base/time/scheduler.h"

namespace kj {
struct AsyncIoContext;
}

namespace zinnia {

class Logger;
class Metrics;

/** The one thread that owns all control state: membership, configuration, partitions, orders.

    Runs a kj event loop, so that the links to peers live on it as well. Start it, then bring work
   to it with Post; objects that live on it are created in the set-up function and destroyed in the
    tear-down function, both of which run on the thread itself. Never block on it: every instance's
    failure detection waits for it.

    Reports the gauge `control_thread_lag_ms` every second: the longest time in that second for
   which a posted call waited or a timer was late. A lag near the failure detector's timeout means
   that this instance is about to be suspected by its peers, although it runs. A call that throws
    is logged, counted as `control_thread_failures`, and dropped.

    @see CapnpPeerServer, CapnpPeerTransport
*/
class ControlThread final : public Scheduler {
 public:
  using SetUp = std::function<void(ControlThread&)>;

  /** Starts the thread and returns when `set_up` is done. An ErrorException that `set_up` throws is
      the result, any other exception becomes kInternal; by then it must have destroyed whatever
     uses Io(). The references must outlive the thread. */
  static Result<std::unique_ptr<ControlThread>> Start(const Clock& clock,
                                                      Metrics& metrics,
                                                      Logger& logger,
                                                      SetUp set_up);

  /** Stops without a tear-down function if Stop was not called. */
  ~ControlThread() override;

  /** Runs `call` on the thread. Any thread may post; calls of one poster run in their order. After
      Stop, calls are dropped. */
  void Post(std::function<void()> call);

  /** Post as a function object, for adapters that bring answers back to this thread. */
  std::function<void(std::function<void()>)> Poster();

  /** Only for code on this thread. */
  [[nodiscard]] std::unique_ptr<ScheduledCall> ScheduleAfter(Duration delay,
                                                             std::function<void()> call) override;

  /** The event loop's input and output. Only for code on this thread. */
  kj::AsyncIoContext& Io();

  bool IsCurrent() const;

  /** Runs what was posted before, then `tear_down` on the thread, and joins it. Call it from
     another thread, once. `tear_down` must destroy everything that uses Io() or holds a
     ScheduledCall. */
  void Stop(std::function<void()> tear_down);

 private:
  class Loop;
  explicit ControlThread(std::shared_ptr<Loop> loop);

  std::shared_ptr<Loop> m_loop;
};

}  // namespace zinnia
