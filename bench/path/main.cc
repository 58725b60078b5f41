#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "bench/path/caller_stream.h"
#include "bench/path/direct_session.h"
#include "bench/path/instance_meter.h"
#include "bench/path/latencies.h"
#include "bench/path/measured_fleet.h"
#include "bench/path/stage_client.h"
#include "zinnia_base/random/random_source.h"

namespace zinnia::bench {
namespace {

constexpr std::uint32_t kStepMicroseconds = 2'000;
constexpr std::uint32_t kLatencyTokens = 12;
constexpr std::uint32_t kThroughputTokens = 200;
constexpr std::size_t kThroughputReplicas = 2;

/** How many sessions run at once, and how often. */
struct Load {
  std::size_t sessions = 0;
  std::size_t rounds = 0;
};

constexpr Load kLoads[] = {{1, 60}, {8, 24}, {64, 10}};

/** Sessions of one round start spread over this time, at the same moments both ways. Started all at
    once they would share each batch when driven directly, but not behind a server that takes in one
    connection after the other; the difference would be the benchmark's own. */
constexpr std::chrono::milliseconds kStartSpread{80};

constexpr std::uint64_t kSeed = 20261202;

void RequireNoFailures(const CallerStream::Totals& totals) {
  if (totals.failures > 0) {
    throw std::runtime_error(
        fmt::format("{} answers failed: {}", totals.failures, totals.first_failure));
  }
}

/** The same answers driven by the benchmark itself and through zinniad, by turns. */
class LatencyComparison {
 public:
  explicit LatencyComparison(std::size_t state_bytes)
      : m_state_bytes(state_bytes),
        m_fleet({.state_bytes = state_bytes,
                 .step_microseconds = kStepMicroseconds,
                 .answer_tokens = kLatencyTokens}),
        m_request(m_fleet.ChatRequest()) {
    for (const std::string& address : m_fleet.StageAddresses()) {
      m_stages.push_back(std::make_unique<StageClient>(m_loop, address));
    }
  }

  void Run(const Load& load) {
    std::vector<std::unique_ptr<CallerStream>> callers;
    for (std::size_t caller = 0; caller < load.sessions; ++caller) {
      callers.push_back(std::make_unique<CallerStream>(m_loop, m_fleet.CallersPort(), m_request,
                                                       kLatencyTokens, m_totals));
    }
    Latencies warm_up;
    DrawStarts(load.sessions);
    DriveRound(load.sessions, warm_up);
    CallRound(callers, warm_up);
    Latencies direct;
    Latencies through;
    for (std::size_t round = 0; round < load.rounds; ++round) {
      DrawStarts(load.sessions);
      DriveRound(load.sessions, direct);
      CallRound(callers, through);
    }
    RequireNoFailures(m_totals);
    Print(load.sessions, direct, through);
  }

 private:
  void DrawStarts(std::size_t sessions) {
    m_starts.assign(sessions, std::chrono::milliseconds(0));
    for (std::size_t session = 1; session < sessions; ++session) {
      m_starts[session] =
          std::chrono::duration_cast<BenchClock::duration>(kStartSpread * RandomUnit(m_random));
    }
  }

  void StartLater(std::size_t session, std::function<void()> start) {
    auto timer = std::make_shared<boost::asio::steady_timer>(m_loop, m_starts[session]);
    timer->async_wait(
        [timer, start = std::move(start)](const boost::system::error_code&) { start(); });
  }

  void DriveRound(std::size_t sessions, Latencies& latencies) {
    std::vector<std::unique_ptr<DirectSession>> running;
    std::size_t ended = 0;
    for (std::size_t session = 0; session < sessions; ++session) {
      running.push_back(std::make_unique<DirectSession>(
          m_stages, fmt::format("direct-{}", m_next_session++), latencies, [&ended] { ++ended; }));
      StartLater(session, [session = running.back().get()] { session->Start(); });
    }
    RunUntil(ended, sessions);
  }

  void CallRound(std::vector<std::unique_ptr<CallerStream>>& callers, Latencies& latencies) {
    std::size_t ended = 0;
    for (std::size_t caller = 0; caller < callers.size(); ++caller) {
      StartLater(caller, [&, caller] { callers[caller]->Start(&latencies, [&] { ++ended; }); });
    }
    RunUntil(ended, callers.size());
  }

  void RunUntil(const std::size_t& ended, std::size_t expected) {
    m_loop.restart();
    while (ended < expected && m_loop.run_one() > 0) {
    }
  }

  void Print(std::size_t sessions, const Latencies& direct, const Latencies& through) const {
    const std::string suffix = fmt::format("sessions_{}_state_bytes_{}", sessions, m_state_bytes);
    for (const auto& [name, share] : {std::pair{"p50", 0.50}, std::pair{"p99", 0.99}}) {
      fmt::print("added_first_token_{}_ms_{}={:.3f}\n", name, suffix,
                 through.FirstToken(share) - direct.FirstToken(share));
      fmt::print("added_token_{}_ms_{}={:.3f}\n", name, suffix,
                 through.BetweenTokens(share) - direct.BetweenTokens(share));
      fmt::print("direct_first_token_{}_ms_{}={:.3f}\n", name, suffix, direct.FirstToken(share));
      fmt::print("direct_token_{}_ms_{}={:.3f}\n", name, suffix, direct.BetweenTokens(share));
    }
    fmt::print("answers_each_way_{}={}\nload_average_{}={}\n", suffix, through.Answers(), suffix,
               LoadAverage());
  }

  const std::size_t m_state_bytes;
  MeasuredFleet m_fleet;
  const std::string m_request;
  boost::asio::io_context m_loop{1};
  DirectSession::Stages m_stages;
  CallerStream::Totals m_totals;
  std::uint64_t m_next_session = 0;
  RandomSource m_random{kSeed};
  std::vector<BenchClock::duration> m_starts;
};

/** Many callers whose answers follow each other without pause. */
class Throughput {
 public:
  explicit Throughput(std::size_t state_bytes)
      : m_state_bytes(state_bytes),
        m_fleet({.state_bytes = state_bytes,
                 .answer_tokens = kThroughputTokens,
                 .replicas = kThroughputReplicas}),
        m_request(m_fleet.ChatRequest()),
        m_resident_at_rest(ResidentKilobytesOf(m_fleet.InstanceId())) {}

  double ResidentAtRest() const { return m_resident_at_rest; }

  void OpenStreams(std::size_t streams) {
    while (m_callers.size() < streams) {
      m_callers.push_back(std::make_unique<CallerStream>(m_loop, m_fleet.CallersPort(), m_request,
                                                         kThroughputTokens, m_totals));
      Repeat(*m_callers.back());
    }
    m_loop.run_for(std::chrono::seconds(3));
    RequireNoFailures(m_totals);
  }

  void PrintTokensPerCore(std::chrono::seconds duration) {
    const std::uint64_t tokens_before = m_totals.tokens;
    const double cpu_before = CpuSecondsOf(m_fleet.InstanceId());
    const auto started = BenchClock::now();
    m_loop.run_for(duration);
    const double seconds = std::chrono::duration<double>(BenchClock::now() - started).count();
    const double cpu = CpuSecondsOf(m_fleet.InstanceId()) - cpu_before;
    const auto tokens = static_cast<double>(m_totals.tokens - tokens_before);
    RequireNoFailures(m_totals);
    const std::string suffix =
        fmt::format("streams_{}_state_bytes_{}", m_callers.size(), m_state_bytes);
    fmt::print("node_tokens_per_s_core_{}={:.0f}\n", suffix, tokens / cpu);
    fmt::print("node_tokens_per_s_{}={:.0f}\n", suffix, tokens / seconds);
    fmt::print("node_cores_used_{}={:.2f}\nload_average_{}={}\n", suffix, cpu / seconds, suffix,
               LoadAverage());
  }

  void PrintMemory() const {
    const double grown = ResidentKilobytesOf(m_fleet.InstanceId()) - m_resident_at_rest;
    fmt::print("node_kb_per_session_streams_{}_state_bytes_{}={:.1f}\n", m_callers.size(),
               m_state_bytes, grown / static_cast<double>(m_callers.size()));
  }

 private:
  void Repeat(CallerStream& caller) {
    caller.Start(nullptr, [this, &caller] {
      if (m_totals.failures == 0) {
        Repeat(caller);
      }
    });
  }

  const std::size_t m_state_bytes;
  MeasuredFleet m_fleet;
  const std::string m_request;
  const double m_resident_at_rest;
  boost::asio::io_context m_loop{1};
  CallerStream::Totals m_totals;
  std::vector<std::unique_ptr<CallerStream>> m_callers;
};

void CompareLatencies(std::size_t state_bytes) {
  LatencyComparison comparison(state_bytes);
  for (const Load& load : kLoads) {
    comparison.Run(load);
  }
}

void MeasureThroughput() {
  Throughput small(24);
  fmt::print("node_rss_mb_at_rest={:.1f}\n", small.ResidentAtRest() / 1024.0);
  small.OpenStreams(1'000);
  small.PrintTokensPerCore(std::chrono::seconds(6));
  small.PrintMemory();
  small.OpenStreams(4'000);
  small.PrintTokensPerCore(std::chrono::seconds(4));
  small.PrintMemory();
}

void MeasureLargeStates() {
  Throughput large(4'096);
  large.OpenStreams(1'000);
  large.PrintTokensPerCore(std::chrono::seconds(5));
  large.PrintMemory();
}

}  // namespace
}  // namespace zinnia::bench

int main(int argc, char** argv) {
  const std::string part = argc > 1 ? argv[1] : "all";
  try {
    fmt::print("machine_cores={}\n", std::thread::hardware_concurrency());
    if (part == "all" || part == "throughput") {
      zinnia::bench::MeasureThroughput();
      zinnia::bench::MeasureLargeStates();
    }
    if (part == "all" || part == "latency") {
      zinnia::bench::CompareLatencies(24);
      zinnia::bench::CompareLatencies(4'096);
    }
  } catch (const std::exception& error) {
    fmt::print(stderr, "bench_path: {}\n", error.what());
    return 1;
  }
  return 0;
}
