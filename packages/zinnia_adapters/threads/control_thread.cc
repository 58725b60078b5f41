#include "zinnia_adapters/threads/control_thread.h"

#include <kj/async-io.h>
#include <kj/async-unix.h>
#include <kj/timer.h>

#include <algorithm>
#include <atomic>
#include <cassert>
#include <exception>
#include <future>
#include <thread>

#include "zinnia_adapters/threads/post_queue.h"
#include "zinnia_adapters/threads/timer_queue.h"
#include "zinnia_base/logging/logger.h"
#include "zinnia_decisions/ports/metrics.h"

namespace zinnia {
namespace {

constexpr Duration kLagReportInterval = std::chrono::seconds(1);

/** How many posted calls run before timers and connections get their turn. */
constexpr int kLongestBatch = 256;

}  // namespace

class ControlThread::Loop {
 public:
  Loop(const Clock& clock, Metrics& metrics, Logger& logger)
      : m_clock(clock), m_metrics(metrics), m_logger(logger) {}

  void Start(ControlThread& owner, SetUp set_up);
  void Post(std::function<void()> call);
  std::unique_ptr<ScheduledCall> ScheduleAfter(Duration delay, std::function<void()> call);
  void Stop(std::function<void()> tear_down);
  bool IsCurrent() const { return m_thread_id.load() == std::this_thread::get_id(); }
  kj::AsyncIoContext& Io() { return *m_io; }

 private:
  void Run(ControlThread& owner, const SetUp& set_up, std::promise<void>& ready);
  void RunUntilStopped(kj::AsyncIoContext& io);
  kj::Promise<void> NextEvent(kj::AsyncIoContext& io, kj::UnixEventPort::FdObserver& observer);
  void RunPosted();
  void RunDueTimers();
  void RunGuarded(const std::function<void()>& call);
  void NoteLag(TimePoint due);
  void ReportLag();

  const Clock& m_clock;
  Metrics& m_metrics;
  Logger& m_logger;
  PostQueue m_posted;
  TimerQueue m_timers;
  kj::AsyncIoContext* m_io = nullptr;
  kj::Own<kj::PromiseFulfiller<void>> m_wake_early;
  TimePoint m_wakes_at{};
  bool m_more_posted = false;
  bool m_stopped = false;
  Duration m_longest_lag{};
  std::unique_ptr<ScheduledCall> m_lag_report;
  std::atomic<bool> m_accepting{true};
  std::atomic<std::thread::id> m_thread_id{};
  std::thread m_thread;
};

void ControlThread::Loop::Start(ControlThread& owner, SetUp set_up) {
  std::promise<void> ready;
  m_thread = std::thread(
      [this, &owner, &ready, set_up = std::move(set_up)] { Run(owner, set_up, ready); });
  try {
    ready.get_future().get();
  } catch (...) {
    m_accepting = false;
    m_thread.join();
    throw;
  }
}

void ControlThread::Loop::Run(ControlThread& owner,
                              const SetUp& set_up,
                              std::promise<void>& ready) {
  m_thread_id = std::this_thread::get_id();
  auto io = kj::setupAsyncIo();
  m_io = &io;
  try {
    ReportLag();
    set_up(owner);
  } catch (...) {
    m_lag_report.reset();
    ready.set_exception(std::current_exception());
    return;
  }
  ready.set_value();
  RunUntilStopped(io);
  m_lag_report.reset();
  m_wake_early = nullptr;
}

void ControlThread::Loop::RunUntilStopped(kj::AsyncIoContext& io) {
  kj::UnixEventPort::FdObserver observer(io.unixEventPort, m_posted.descriptor(),
                                         kj::UnixEventPort::FdObserver::OBSERVE_READ);
  while (!m_stopped) {
    NextEvent(io, observer).wait(io.waitScope);
    RunDueTimers();
    RunPosted();
  }
}

kj::Promise<void> ControlThread::Loop::NextEvent(kj::AsyncIoContext& io,
                                                 kj::UnixEventPort::FdObserver& observer) {
  if (m_more_posted) {
    // Lets connections that became ready in the meantime go first.
    return kj::evalLast([&io] { io.unixEventPort.poll(); });
  }
  auto early = kj::newPromiseAndFulfiller<void>();
  m_wake_early = kj::mv(early.fulfiller);
  auto event = observer.whenBecomesReadable().exclusiveJoin(kj::mv(early.promise));
  const auto next = m_timers.NextTime();
  m_wakes_at = next.value_or(TimePoint::max());
  if (!next) {
    return event;
  }
  const Duration wait = std::max(*next - m_clock.Now(), Duration::zero());
  auto& timer = io.provider->getTimer();
  return event.exclusiveJoin(timer.afterDelay(wait.count() * kj::NANOSECONDS));
}

void ControlThread::Loop::RunPosted() {
  m_posted.ClearWakeUp();
  for (int count = 0; count < kLongestBatch; ++count) {
    auto entry = m_posted.TryPop();
    if (!entry) {
      m_more_posted = false;
      return;
    }
    NoteLag(entry->posted_at);
    RunGuarded(entry->call);
  }
  m_more_posted = true;
}

void ControlThread::Loop::RunDueTimers() {
  const TimePoint now = m_clock.Now();
  while (auto due = m_timers.TakeDue(now)) {
    NoteLag(due->at);
    RunGuarded(due->call);
  }
}

/** One call that throws must not take down the process, and with it every session on it. */
void ControlThread::Loop::RunGuarded(const std::function<void()>& call) {
  try {
    call();
  } catch (const std::exception& failure) {
    m_metrics.Count("control_thread_failures");
    m_logger.Log(LogLevel::kError, "control_thread_failure", {{"reason", failure.what()}});
  }
}

void ControlThread::Loop::NoteLag(TimePoint due) {
  m_longest_lag = std::max(m_longest_lag, m_clock.Now() - due);
}

void ControlThread::Loop::ReportLag() {
  const std::chrono::duration<double, std::milli> lag = m_longest_lag;
  m_metrics.SetGauge("control_thread_lag_ms", lag.count());
  m_longest_lag = Duration::zero();
  m_lag_report = ScheduleAfter(kLagReportInterval, [this] { ReportLag(); });
}

void ControlThread::Loop::Post(std::function<void()> call) {
  if (m_accepting) {
    m_posted.Push({m_clock.Now(), std::move(call)});
  }
}

std::unique_ptr<ScheduledCall> ControlThread::Loop::ScheduleAfter(Duration delay,
                                                                  std::function<void()> call) {
  // A caller on another thread would race with the loop: it must Post first.
  assert(IsCurrent());
  const TimePoint at = m_clock.Now() + std::max(delay, Duration::zero());
  auto scheduled = m_timers.Add(at, std::move(call));
  if (at < m_wakes_at && m_wake_early.get() != nullptr) {
    m_wake_early->fulfill();
  }
  return scheduled;
}

void ControlThread::Loop::Stop(std::function<void()> tear_down) {
  // The thread cannot join itself: Stop was called from the control thread.
  assert(!IsCurrent());
  if (!m_thread.joinable()) {
    return;
  }
  Post([this, tear_down = std::move(tear_down)] {
    m_accepting = false;
    if (tear_down) {
      tear_down();
    }
    m_stopped = true;
  });
  m_thread.join();
}

Result<std::unique_ptr<ControlThread>> ControlThread::Start(const Clock& clock,
                                                            Metrics& metrics,
                                                            Logger& logger,
                                                            SetUp set_up) {
  try {
    std::unique_ptr<ControlThread> thread(
        new ControlThread(std::make_shared<Loop>(clock, metrics, logger)));
    thread->m_loop->Start(*thread, std::move(set_up));
    return thread;
  } catch (const ErrorException& failure) {
    return failure.GetError();
  } catch (const std::exception& failure) {
    return MakeError(ErrorKind::kInternal, std::string("control thread: ") + failure.what());
  }
}

ControlThread::ControlThread(std::shared_ptr<Loop> loop) : m_loop(std::move(loop)) {}

ControlThread::~ControlThread() {
  m_loop->Stop(nullptr);
}

void ControlThread::Post(std::function<void()> call) {
  m_loop->Post(std::move(call));
}

std::function<void(std::function<void()>)> ControlThread::Poster() {
  return [loop = m_loop](std::function<void()> call) { loop->Post(std::move(call)); };
}

std::unique_ptr<ScheduledCall> ControlThread::ScheduleAfter(Duration delay,
                                                            std::function<void()> call) {
  return m_loop->ScheduleAfter(delay, std::move(call));
}

kj::AsyncIoContext& ControlThread::Io() {
  return m_loop->Io();
}

bool ControlThread::IsCurrent() const {
  return m_loop->IsCurrent();
}

void ControlThread::Stop(std::function<void()> tear_down) {
  m_loop->Stop(std::move(tear_down));
}

}  // namespace zinnia
