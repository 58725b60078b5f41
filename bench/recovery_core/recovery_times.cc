#include "bench/recovery_core/recovery_times.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "tests/sessions/session_world.h"
#include "zinnia_base/random/random_source.h"

namespace zinnia {
namespace {

constexpr std::uint32_t kPromptWords = 200;
constexpr std::uint32_t kTokens = 64;
constexpr int kHops = 3;
constexpr double kHealthyMicros = kHops * std::chrono::duration_cast<std::chrono::microseconds>(
                                              FakeStages::kStepTime + 2 * FakeStages::kLinkTime)
                                              .count();

/** Durations in units of the healthy time between two tokens. */
struct Parts {
  std::vector<double> detection;
  std::vector<double> choice;
  std::vector<double> rebuild;
  std::vector<double> total;
};

ChatRequest MakeLongRequest() {
  ChatRequest request = SessionWorld::MakeRequest(kTokens);
  for (std::uint32_t word = 1; word < kPromptWords; ++word) {
    request.prompt += " w" + std::to_string(word);
  }
  return request;
}

double UnitsOf(const DecisionRecord& record, std::string_view name) {
  std::int64_t micros = 0;
  for (const auto& [fact, value] : record.facts) {
    if (fact == name) {
      std::from_chars(value.data(), value.data() + value.size(), micros);
    }
  }
  return static_cast<double>(micros) / kHealthyMicros;
}

void Collect(const DecisionRecord& record, Parts& parts) {
  const double detection = UnitsOf(record, "detection");
  const double choice = UnitsOf(record, "choice");
  const double rebuild = UnitsOf(record, "rebuild");
  parts.detection.push_back(detection);
  parts.choice.push_back(choice);
  parts.rebuild.push_back(rebuild);
  parts.total.push_back(detection + choice + rebuild);
}

void RunOne(std::uint64_t seed, bool freeze, Parts& parts) {
  RandomSource random(seed);
  SessionWorld world;
  const auto caller = std::make_shared<FakeCaller>();
  const auto driver = world.Start(caller, MakeLongRequest());
  constexpr std::uint64_t kFirstTokenMicros = 90'000;
  constexpr std::uint64_t kDecodingMicros = 1'500'000;
  world.time.AdvanceBy(
      std::chrono::microseconds(kFirstTokenMicros + RandomBelow(random, kDecodingMicros)));
  const auto route = driver->Status().route;
  const BackendServerName server = route.hops[RandomBelow(random, kHops)].server;
  if (freeze) {
    world.stages.Freeze(server);
  } else {
    world.stages.Crash(server);
  }
  world.RunToCompletion();
  for (const DecisionRecord& record : world.recorder.records) {
    if (record.decision == "finish_recovery") {
      Collect(record, parts);
    }
  }
}

void Print(const std::string& name, std::vector<double> values) {
  std::ranges::sort(values);
  const auto at = [&values](double quantile) {
    return values[static_cast<std::size_t>(quantile * static_cast<double>(values.size() - 1))];
  };
  fmt::print(
      "{0}_p50_token_times={1:.2f}\n{0}_p99_token_times={2:.2f}\n{0}_max_token_times={3:.2f}\n",
      name, at(0.5), at(0.99), at(1.0));
}

void RunKind(const std::string& name, bool freeze, std::uint64_t sessions) {
  Parts parts;
  for (std::uint64_t seed = 1; seed <= sessions; ++seed) {
    RunOne(seed, freeze, parts);
  }
  fmt::print("{}_recoveries={}\n", name, parts.total.size());
  Print(name + "_detection", parts.detection);
  Print(name + "_choice", parts.choice);
  Print(name + "_rebuild", parts.rebuild);
  Print(name + "_total", parts.total);
}

}  // namespace

void PrintRecoveryTimes(std::uint64_t sessions) {
  fmt::print("healthy_token_time_us={:.0f}\n", kHealthyMicros);
  RunKind("stage_death", false, sessions);
  RunKind("stage_freeze", true, sessions);
}

}  // namespace zinnia
