#pragma once

#include <atomic>
#include <chrono>
#include <future>
#include <map>
#include <mutex>
#include <string>

#include "zinnia_adapters/threads/control_thread.h"
#include "zinnia_base/logging/logger.h"
#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/ports/metrics.h"

namespace zinnia {

/** Far above what any awaited event takes; only a fault makes a test wait so long. */
constexpr std::chrono::seconds kTestPatience{20};

/** A clock that tests move by hand, from any thread. */
class ManualClock final : public Clock {
 public:
  TimePoint Now() const override { return TimePoint(Duration(m_now.load())); }
  WallTimePoint WallNow() const override { return WallTimePoint(Duration(m_now.load())); }
  void AdvanceBy(Duration duration) { m_now += duration.count(); }

 private:
  std::atomic<Duration::rep> m_now{1};
};

/** Keeps counters and the highest value of each gauge. */
class CountingMetrics final : public Metrics {
 public:
  void Observe(const OrganisationName&, RequestClass, Measure, Duration) override {}
  void AddCredit(const OrganisationName&, RequestClass, double) override {}
  void Count(std::string_view counter, std::uint64_t amount) override {
    const std::lock_guard lock(m_mutex);
    m_counters[std::string(counter)] += amount;
  }
  void SetGauge(std::string_view gauge, double value) override {
    const std::lock_guard lock(m_mutex);
    double& highest = m_gauges[std::string(gauge)];
    highest = std::max(highest, value);
  }
  std::uint64_t Counter(const std::string& name) {
    const std::lock_guard lock(m_mutex);
    return m_counters[name];
  }
  double HighestGauge(const std::string& name) {
    const std::lock_guard lock(m_mutex);
    return m_gauges[name];
  }

 private:
  std::mutex m_mutex;
  std::map<std::string, std::uint64_t> m_counters;
  std::map<std::string, double> m_gauges;
};

/** Counts lines by event. */
class EventLogger final : public Logger {
 public:
  void Log(LogLevel, std::string_view event, std::initializer_list<LogField>) override {
    const std::lock_guard lock(m_mutex);
    ++m_events[std::string(event)];
  }
  int Count(const std::string& event) {
    const std::lock_guard lock(m_mutex);
    return m_events[event];
  }

 private:
  std::mutex m_mutex;
  std::map<std::string, int> m_events;
};

/** Gives the value, or throws if it does not come. */
template <typename Value>
Value Await(std::future<Value> future) {
  if (future.wait_for(kTestPatience) != std::future_status::ready) {
    throw std::runtime_error("nothing came within the test's patience");
  }
  return future.get();
}

/** Runs `call` on the control thread and waits for it. */
inline void RunOn(ControlThread& thread, const std::function<void()>& call) {
  auto done = std::make_shared<std::promise<void>>();
  thread.Post([call, done] {
    call();
    done->set_value();
  });
  Await(done->get_future());
}

}  // namespace zinnia
