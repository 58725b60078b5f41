#pragma once

#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "zinnia_base/time/virtual_time.h"

namespace zinnia {

/** The scheduler of one simulated process. While it is paused, as by SIGSTOP, due calls are held
    until Resume. Responses and datagrams for the process are delivered through Post. */
class ProcessScheduler final : public Scheduler {
 public:
  explicit ProcessScheduler(VirtualTime& time) : m_time(time) {}

  std::unique_ptr<ScheduledCall> ScheduleAfter(Duration delay,
                                               std::function<void()> call) override {
    auto pending = std::make_shared<Pending>(Pending{std::move(call), nullptr, m_paused, m_held});
    pending->timer = m_time.ScheduleAfter(delay, [weak = std::weak_ptr(pending)] {
      if (auto due = weak.lock()) {
        *due->paused ? due->held->push_back(due) : due->call();
      }
    });
    return std::make_unique<Handle>(std::move(pending));
  }

  /** Runs `call` after `delay` unless the process was destroyed. */
  void Post(Duration delay, std::function<void()> call) {
    auto slot = std::make_shared<std::unique_ptr<ScheduledCall>>();
    *slot = m_time.ScheduleAfter(
        delay, [slot, call = std::move(call), paused = m_paused, posted = m_posted,
                alive = std::weak_ptr(m_paused), keep = std::weak_ptr(m_alive)]() mutable {
          auto own = std::move(*slot);
          if (keep.expired()) {
            return;
          }
          *paused ? posted->push_back(std::move(call)) : call();
        });
  }

  void Pause() { *m_paused = true; }

  void Resume() {
    *m_paused = false;
    for (auto& call : std::exchange(*m_posted, {})) {
      call();
    }
    for (const auto& weak : std::exchange(*m_held, {})) {
      if (auto due = weak.lock()) {
        due->call();
      }
    }
  }

  bool IsPaused() const { return *m_paused; }

 private:
  struct Pending;
  using Held = std::vector<std::weak_ptr<Pending>>;
  struct Pending {
    std::function<void()> call;
    std::unique_ptr<ScheduledCall> timer;
    std::shared_ptr<bool> paused;
    std::shared_ptr<Held> held;
  };
  class Handle final : public ScheduledCall {
   public:
    explicit Handle(std::shared_ptr<Pending> pending) : m_pending(std::move(pending)) {}

   private:
    std::shared_ptr<Pending> m_pending;
  };

  VirtualTime& m_time;
  std::shared_ptr<bool> m_paused = std::make_shared<bool>(false);
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
  std::shared_ptr<Held> m_held = std::make_shared<Held>();
  std::shared_ptr<std::vector<std::function<void()>>> m_posted =
      std::make_shared<std::vector<std::function<void()>>>();
};

}  // namespace zinnia
