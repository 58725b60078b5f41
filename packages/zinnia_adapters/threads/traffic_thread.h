#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <string_view>
#include <thread>

#include "zinnia_adapters/threads/traffic_scheduler.h"

namespace zinnia {

/** One traffic thread: an Asio loop, its timers, and the thread that runs it.

    Traffic threads share nothing: each has its own caller server, engine links, chooser and
    admission controller, created and destroyed on the thread itself by Post. Other threads reach
    them by Post only.

    A handler that throws must not end the process, and with it the requests of all others: the loop
    goes on. What belongs to a connection or a request is expected to end it before that.

    @see CallerServer, HttpStageLinks
*/
class TrafficThread {
 public:
  /** Called on the thread with the reason of each exception that a handler has thrown. */
  using OnFailure = std::function<void(std::string_view reason)>;

  /** Without `on_failure`, an exception ends the process. */
  explicit TrafficThread(OnFailure on_failure = {});
  ~TrafficThread();
  TrafficThread(const TrafficThread&) = delete;
  TrafficThread& operator=(const TrafficThread&) = delete;

  /** Starts the thread. Call it once. */
  void Start();

  /** Stops the loop and joins the thread. Calls posted later are never run. Not from the thread
      itself. */
  void Stop();

  /** Runs the call on the thread, later. Safe from any thread. */
  void Post(std::function<void()> call);

  /** Runs the call on the thread and waits until it returned; for construction and tear-down. Not
      from the thread itself, and not while the thread is stopped. Throws what the call throws. */
  void RunAndWait(const std::function<void()>& call);

  boost::asio::io_context& Loop() { return m_loop; }
  Scheduler& GetScheduler() { return m_scheduler; }

 private:
  void RunLoop();

  const OnFailure m_on_failure;

  // One thread runs the loop, so Asio may leave out its locks between threads that run handlers.
  boost::asio::io_context m_loop{1};
  AsioScheduler m_scheduler{m_loop};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
  std::thread m_thread;
};

}  // namespace zinnia
