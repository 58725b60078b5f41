#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "zinnia_base/time/scheduler.h"

namespace zinnia {

/** Timers of one Asio loop. Use it, and destroy its calls, only on the thread that runs the loop.

    @see TrafficThread
*/
class AsioScheduler final : public Scheduler {
 public:
  explicit AsioScheduler(boost::asio::io_context& loop) : m_loop(loop) {}
  [[nodiscard]] std::unique_ptr<ScheduledCall> ScheduleAfter(Duration delay,
                                                             std::function<void()> call) override;

 private:
  boost::asio::io_context& m_loop;
};

}  // namespace zinnia
