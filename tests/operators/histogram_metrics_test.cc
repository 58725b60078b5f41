#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

#include "operators/golden_file.h"
#include "zinnia_adapters/metrics/histogram_metrics.h"

using namespace zinnia;  // NOLINT(google-build-using-namespace)
using namespace std::chrono_literals;

namespace {

void ObserveChat(Metrics& metrics, const std::string& organisation, Duration value) {
  metrics.Observe(organisation, RequestClass::kChat, Measure::kFirstToken, value);
}

}  // namespace

TEST_GROUP(HistogramMetrics){};

TEST(HistogramMetrics, WritesTheTextFormat) {
  HistogramMetrics metrics;
  ObserveChat(metrics, "kitanda", 0ns);
  ObserveChat(metrics, "kitanda", 250ms);
  ObserveChat(metrics, "kitanda", 2h);
  metrics.Observe("a \"b\"\n", RequestClass::kServiceCall, Measure::kWholeAnswer, 30ms);
  metrics.AddCredit("kitanda", RequestClass::kChat, 1.5);
  metrics.AddCredit("kitanda", RequestClass::kChat, 1.0);
  metrics.Count("requests_refused", 3);
  metrics.Count("requests_refused");
  metrics.SetGauge("sessions open", 12.5);
  CheckGolden("metrics.txt", metrics.WriteText());
}

TEST(HistogramMetrics, CanBeLimitedToOneOrganisation) {
  HistogramMetrics metrics;
  ObserveChat(metrics, "a", 1ms);
  ObserveChat(metrics, "b", 1ms);
  CHECK(metrics.WriteText("a").find("\"b\"") == std::string::npos);
  STRCMP_CONTAINS("\"a\"", metrics.WriteText("a").c_str());
}

TEST(HistogramMetrics, OrganisationsBeyondTheBoundShareTheRowOther) {
  // Symptom: an instance's memory grows with every organisation name that it meets.
  // Sequence: names arrive without end; each gets a row that is kept for good.
  // Cause: rows keyed by a name that comes from outside, without a bound.
  HistogramMetrics metrics(2);
  for (int index = 0; index < 100; ++index) {
    ObserveChat(metrics, "organisation-" + std::to_string(index), 1ms);
    metrics.Count("counter-" + std::to_string(index));
  }
  ObserveChat(metrics, "organisation-0", 1ms);
  const auto rows = metrics.Summarise();
  LONGS_EQUAL(3, rows.size());
  STRCMP_EQUAL("other", rows.at(2).organisation.c_str());
  LONGS_EQUAL(98, rows.at(2).count);
  LONGS_EQUAL(2, rows.at(0).count);
}

TEST(HistogramMetrics, CountersAreBounded) {
  HistogramMetrics metrics;
  for (std::size_t index = 0; index < HistogramMetrics::kMostCounters + 50; ++index) {
    metrics.Count("counter" + std::to_string(index));
  }
  STRCMP_CONTAINS("zinnia_other_total 50\n", metrics.WriteText().c_str());
}

TEST(HistogramMetrics, QuantilesAreUpperBoundsOfBuckets) {
  HistogramMetrics metrics;
  for (int index = 0; index < 98; ++index) {
    ObserveChat(metrics, "a", 10ms);
  }
  ObserveChat(metrics, "a", 5s);
  ObserveChat(metrics, "a", 5s);
  const MetricsSummary row = metrics.Summarise().at(0);
  CHECK(row.p50 >= 0.010 && row.p50 < 0.018);
  CHECK(row.p99 >= 5.0 && row.p99 < 8.9);
  DOUBLES_EQUAL(0.1098, row.mean, 1e-9);
}

TEST(HistogramMetrics, LosesNothingBetweenThreads) {
  HistogramMetrics metrics;
  constexpr int kThreads = 4;
  constexpr int kEach = 5'000;
  std::vector<std::jthread> threads;
  threads.reserve(kThreads);
  for (int thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([&metrics] {
      for (int index = 0; index < kEach; ++index) {
        ObserveChat(metrics, "organisation-" + std::to_string(index % 3), 1ms);
        metrics.Count("calls");
      }
    });
  }
  threads.clear();
  std::uint64_t count = 0;
  for (const MetricsSummary& row : metrics.Summarise()) {
    count += row.count;
  }
  LONGS_EQUAL(kThreads * kEach, count);
  STRCMP_CONTAINS("zinnia_calls_total 20000\n", metrics.WriteText().c_str());
}
