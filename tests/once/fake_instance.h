#pragma once

#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "zinnia_base/time/virtual_time.h"

namespace zinnia {

/** Schedules calls that are never cancelled. */
class CallScheduler {
 public:
  explicit CallScheduler(VirtualTime& time) : m_time(time) {}
  void Post(Duration delay, std::function<void()> call) {
    m_calls.push_back(m_time.ScheduleAfter(delay, std::move(call)));
  }

 private:
  VirtualTime& m_time;
  std::vector<std::unique_ptr<ScheduledCall>> m_calls;
};

/** The thread and scheduler of one fake process. Calls are deferred while it is paused and dropped
    after it was killed. */
class FakeThread final : public Scheduler {
 public:
  explicit FakeThread(VirtualTime& time) : m_time(time) {}

  void Run(const std::function<void()>& call) {
    if (m_paused) {
      m_waiting.push_back(call);
    } else if (!m_killed) {
      call();
    }
  }

  std::unique_ptr<ScheduledCall> ScheduleAfter(Duration delay,
                                               std::function<void()> call) override {
    auto handle = std::make_unique<Call>();
    auto run = [weak = std::weak_ptr<bool>(handle->wanted), call = std::move(call)] {
      if (weak.lock()) {
        call();
      }
    };
    handle->inner = m_time.ScheduleAfter(delay, [this, run] { Run(run); });
    return handle;
  }

  void Pause() { m_paused = true; }
  void Wake() {
    m_paused = false;
    for (const auto& call : std::exchange(m_waiting, {})) {
      Run(call);
    }
  }
  void Kill() {
    m_killed = true;
    m_paused = false;
    m_waiting.clear();
  }
  bool IsKilled() const { return m_killed; }
  bool IsPaused() const { return m_paused; }

 private:
  struct Call final : ScheduledCall {
    std::shared_ptr<bool> wanted = std::make_shared<bool>(true);
    std::unique_ptr<ScheduledCall> inner;
  };
  VirtualTime& m_time;
  std::vector<std::function<void()>> m_waiting;
  bool m_paused = false;
  bool m_killed = false;
};

}  // namespace zinnia
