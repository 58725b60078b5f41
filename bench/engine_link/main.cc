#include <fmt/format.h>
#include <ctime>

#include <array>
#include <future>
#include <memory>
#include <string>
#include <vector>

#include "bench/engine_link/answering_engine.h"
#include "zinnia_adapters/engines/channel_listener.h"
#include "zinnia_adapters/engines/http_stage_links.h"
#include "zinnia_adapters/threads/traffic_thread.h"
#include "zinnia_base/time/system_clock.h"
#include "zinnia_decisions/ports/snapshot_source.h"
#include "zinnia_world/fleet/server_rates_report.h"

namespace zinnia {
namespace {

constexpr std::size_t kStages = 3;
constexpr std::uint64_t kWarmUpSteps = 60'000;
constexpr std::uint64_t kMeasuredSteps = 600'000;

class IgnoringListener final : public ChannelListener {
 public:
  void OnServerCrashed(const BackendServerName&, std::uint64_t, InFlightAtCrash) override {}
  void OnServerSuspect(const BackendServerName&) override { ++suspects; }
  void OnServerRecovered(const BackendServerName&) override {}
  void OnServerLoad(const BackendServerName&, std::uint32_t, std::uint32_t) override { ++batches; }
  void OnServerRates(const BackendServerName&, const ServerRatesReport&) override {}
  void OnServerLeaving(const BackendServerName&) override {}
  std::uint64_t batches = 0;
  std::uint64_t suspects = 0;
};

class Fleet final : public SnapshotSource {
 public:
  explicit Fleet(std::size_t state_bytes) {
    for (std::size_t stage = 0; stage < kStages; ++stage) {
      m_engines.push_back(std::make_unique<AnsweringEngine>(state_bytes));
      ServerView& view = m_snapshot->servers[NameOfStage(stage)];
      view.server.name = NameOfStage(stage);
      view.server.address = m_engines.back()->Address();
    }
  }
  std::shared_ptr<const FleetSnapshot> Current() const override { return m_snapshot; }
  static std::string NameOfStage(std::size_t stage) { return fmt::format("stage-{}", stage); }

 private:
  std::shared_ptr<FleetSnapshot> m_snapshot = std::make_shared<FleetSnapshot>();
  std::vector<std::unique_ptr<AnsweringEngine>> m_engines;
};

/** The steps counted over all sessions, with the clocks at the start and end of the measurement. */
struct Meter {
  std::uint64_t steps = 0;
  std::uint64_t failed = 0;
  std::uint64_t first_batch = 0;
  double wall_seconds = 0.0;
  double cpu_seconds = 0.0;
  std::promise<void> done;
};

double ReadClock(clockid_t clock) {
  timespec now{};
  clock_gettime(clock, &now);
  return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

/** Sends one step after the other through all stages, for ever; stands for a session. */
class Walker final : public StepListener, public std::enable_shared_from_this<Walker> {
 public:
  Walker(std::string session, StageLinks& links, IgnoringListener& events, Meter& meter)
      : m_session(std::move(session)), m_links(links), m_events(events), m_meter(meter) {}

  void Send(std::size_t stage, std::vector<std::string> states) {
    StepRequest step;
    step.session = m_session;
    step.attempt = 1;
    step.position = 9;
    const auto first = static_cast<std::uint32_t>(stage * 8);
    step.layers = {first, first + 8};
    step.version = "v1";
    if (stage == 0) {
      step.input = TokenInput{"", {17}};
    } else {
      step.input = HiddenInput{std::move(states)};
    }
    m_links.SendStep(Fleet::NameOfStage(stage), static_cast<std::uint32_t>(stage), std::move(step),
                     weak_from_this());
  }

  void OnStepAnswer(std::uint32_t hop, StepAnswer answer) override {
    m_meter.failed += answer.status == StepStatus::kDone ? 0 : 1;
    Count();
    if (m_meter.steps < kWarmUpSteps + kMeasuredSteps) {
      Send((hop + 1) % kStages, std::move(answer.states));
    }
  }

 private:
  void Count() {
    ++m_meter.steps;
    if (m_meter.steps == kWarmUpSteps) {
      m_meter.first_batch = m_events.batches;
      m_meter.wall_seconds = -ReadClock(CLOCK_MONOTONIC);
      m_meter.cpu_seconds = -ReadClock(CLOCK_THREAD_CPUTIME_ID);
    } else if (m_meter.steps == kWarmUpSteps + kMeasuredSteps) {
      m_meter.wall_seconds += ReadClock(CLOCK_MONOTONIC);
      m_meter.cpu_seconds += ReadClock(CLOCK_THREAD_CPUTIME_ID);
      m_meter.done.set_value();
    }
  }

  std::string m_session;
  StageLinks& m_links;
  IgnoringListener& m_events;
  Meter& m_meter;
};

void Measure(std::size_t sessions, std::size_t state_bytes) {
  SystemClock clock;
  Fleet fleet(state_bytes);
  IgnoringListener events;
  Meter meter;
  TrafficThread thread;
  std::unique_ptr<HttpStageLinks> links;
  std::vector<std::shared_ptr<Walker>> walkers;
  thread.Start();
  thread.RunAndWait([&] {
    links = std::make_unique<HttpStageLinks>(
        ChannelParts{thread.Loop(), clock, thread.GetScheduler(), fleet, events});
    for (std::size_t index = 0; index < sessions; ++index) {
      walkers.push_back(
          std::make_shared<Walker>(fmt::format("i-1-100-0-{}", index), *links, events, meter));
      walkers.back()->Send(0, {});
    }
  });
  meter.done.get_future().wait();
  thread.RunAndWait([&] { links.reset(); });
  thread.Stop();
  const std::string label = fmt::format("sessions_{}_state_bytes_{}_", sessions, state_bytes);
  const double steps = static_cast<double>(kMeasuredSteps);
  fmt::print("{}steps_per_second={:.0f}\n", label, steps / meter.wall_seconds);
  fmt::print("{}cpu_us_per_step={:.2f}\n", label, meter.cpu_seconds / steps * 1e6);
  fmt::print("{}steps_per_cpu_second={:.0f}\n", label, steps / meter.cpu_seconds);
  fmt::print("{}steps_per_batch={:.1f}\n", label,
             steps / static_cast<double>(events.batches - meter.first_batch));
  fmt::print("{}failed_steps={}\n", label, meter.failed);
}

}  // namespace
}  // namespace zinnia

int main() {
  zinnia::Measure(60, 64);
  zinnia::Measure(1000, 64);
  zinnia::Measure(1000, 4096);
  return 0;
}
