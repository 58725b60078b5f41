#include <fmt/format.h>

#include <malloc.h>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "zinnia_adapters/metrics/histogram_metrics.h"

using namespace zinnia;  // NOLINT(google-build-using-namespace)

namespace {

constexpr int kOrganisations = 640;
constexpr int kObservations = 2'000'000;
constexpr int kThreads = 4;

std::vector<std::string> Names() {
  std::vector<std::string> names;
  names.reserve(kOrganisations);
  for (int index = 0; index < kOrganisations; ++index) {
    names.push_back(fmt::format("organisation-{:03}", index));
  }
  return names;
}

void Fill(HistogramMetrics& metrics, const std::vector<std::string>& names) {
  for (const std::string& name : names) {
    for (const RequestClass request_class : {RequestClass::kChat, RequestClass::kServiceCall}) {
      for (int measure = 0; measure < 5; ++measure) {
        metrics.Observe(name, request_class, static_cast<Measure>(measure),
                        std::chrono::milliseconds(3));
      }
    }
  }
}

void ObserveMany(HistogramMetrics& metrics, const std::vector<std::string>& names, int offset) {
  for (int index = 0; index < kObservations; ++index) {
    const auto name = static_cast<std::size_t>((index * 7 + offset) % kOrganisations);
    metrics.Observe(names[name], RequestClass::kChat, Measure::kBetweenTokens,
                    std::chrono::microseconds(index % 100'000));
  }
}

double SecondsSince(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

}  // namespace

int main() {
  const std::vector<std::string> names = Names();
  const auto heap_before = mallinfo2().uordblks;
  HistogramMetrics metrics;
  Fill(metrics, names);
  fmt::print("heap_640_organisations_bytes={}\n", mallinfo2().uordblks - heap_before);

  auto start = std::chrono::steady_clock::now();
  ObserveMany(metrics, names, 0);
  fmt::print("observe_1_thread_per_second={:.0f}\n", kObservations / SecondsSince(start));

  start = std::chrono::steady_clock::now();
  {
    std::vector<std::jthread> threads;
    threads.reserve(kThreads);
    for (int thread = 0; thread < kThreads; ++thread) {
      threads.emplace_back([&, thread] { ObserveMany(metrics, names, thread * 97); });
    }
  }
  fmt::print("observe_4_threads_per_second={:.0f}\n",
             kThreads * kObservations / SecondsSince(start));

  start = std::chrono::steady_clock::now();
  const std::string text = metrics.WriteText();
  fmt::print("write_text_seconds={:.4f}\n", SecondsSince(start));
  fmt::print("write_text_bytes={}\n", text.size());
  return 0;
}
