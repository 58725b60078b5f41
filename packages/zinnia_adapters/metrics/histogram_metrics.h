#pragma once

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "zinnia_adapters/metrics/organisation_histogram.h"
#include "zinnia_decisions/ports/metrics.h"

namespace zinnia {

/** The summary of one histogram, for the operators' table "metrics". Durations in seconds;
    quantiles are upper bounds of buckets. */
struct MetricsSummary {
  OrganisationName organisation;
  RequestClass request_class = RequestClass::kChat;
  Measure measure = Measure::kFirstToken;
  std::uint64_t count = 0;
  double mean = 0.0;
  double p50 = 0.0;
  double p99 = 0.0;
};

/** Metrics in memory, written out in the Prometheus text format.

    Safe from any thread. Rows are spread over shards with a lock each, so that traffic threads
    rarely meet. Beyond `most_organisations` rows all further organisations share the row "other":
    names come from callers' contracts, and memory must not grow with them. Counters and gauges are
    bounded likewise.

    One row takes about 2.6 KB: 640 organisations take 1.7 MB, the default bound 2.6 MB.
*/
class HistogramMetrics final : public Metrics {
 public:
  static constexpr std::size_t kDefaultMostOrganisations = 1'000;
  static constexpr std::size_t kMostCounters = 1'000;
  static constexpr std::string_view kOther = "other";

  explicit HistogramMetrics(std::size_t most_organisations = kDefaultMostOrganisations);
  ~HistogramMetrics() override;

  void Observe(const OrganisationName& organisation,
               RequestClass request_class,
               Measure measure,
               Duration value) override;
  void AddCredit(const OrganisationName& organisation,
                 RequestClass request_class,
                 double weight) override;
  void Count(std::string_view counter, std::uint64_t amount = 1) override;
  void SetGauge(std::string_view gauge, double value) override;

  /** All metrics in the text format; with an organisation, only its histograms and credits. */
  std::string WriteText(const OrganisationName& only_organisation = {}) const;

  /** One row for each histogram that has observations, ordered by organisation. */
  std::vector<MetricsSummary> Summarise() const;

 private:
  struct Shard;
  using Visitor = std::function<void(const OrganisationName&, const OrganisationHistogram&)>;

  template <typename Change>
  void ChangeRow(const OrganisationName& organisation, Change change);
  void ForEachRow(const Visitor& visitor) const;
  bool TakeRow();

  static constexpr std::size_t kShards = 64;

  const std::size_t m_most_organisations;
  std::atomic<std::size_t> m_organisations{0};
  std::array<std::unique_ptr<Shard>, kShards> m_shards;
  mutable std::mutex m_named_values_mutex;
  std::map<std::string, std::uint64_t, std::less<>> m_counters;
  std::map<std::string, double, std::less<>> m_gauges;
};

}  // namespace zinnia
