#include "zinnia_adapters/metrics/histogram_metrics.h"

#include <algorithm>

#include "zinnia_adapters/metrics/metrics_text.h"
#include "zinnia_base/hashing/fingerprint.h"

namespace zinnia {
namespace {

constexpr std::array kClasses = {RequestClass::kChat, RequestClass::kServiceCall};
constexpr std::array kMeasures = {Measure::kFirstToken, Measure::kBetweenTokens,
                                  Measure::kWholeAnswer, Measure::kQueueing, Measure::kRecovery};

template <typename Values, typename Value>
Value* FindOrAdd(Values& values, std::string_view name, Value initial) {
  const auto found = values.find(name);
  if (found != values.end()) {
    return &found->second;
  }
  if (values.size() >= HistogramMetrics::kMostCounters) {
    return &values.emplace(std::string(HistogramMetrics::kOther), initial).first->second;
  }
  return &values.emplace(std::string(name), initial).first->second;
}

}  // namespace

struct alignas(64) HistogramMetrics::Shard {
  mutable std::mutex mutex;
  std::unordered_map<OrganisationName, OrganisationHistogram> rows;
};

HistogramMetrics::HistogramMetrics(std::size_t most_organisations)
    : m_most_organisations(most_organisations) {
  for (auto& shard : m_shards) {
    shard = std::make_unique<Shard>();
  }
}

HistogramMetrics::~HistogramMetrics() = default;

bool HistogramMetrics::TakeRow() {
  std::size_t taken = m_organisations.load();
  while (taken < m_most_organisations) {
    if (m_organisations.compare_exchange_weak(taken, taken + 1)) {
      return true;
    }
  }
  return false;
}

template <typename Change>
void HistogramMetrics::ChangeRow(const OrganisationName& organisation, Change change) {
  Shard& shard = *m_shards[Hash64(organisation) % kShards];
  {
    const std::lock_guard lock(shard.mutex);
    auto found = shard.rows.find(organisation);
    if (found == shard.rows.end() && (organisation == kOther || TakeRow())) {
      found = shard.rows.try_emplace(organisation).first;
    }
    if (found != shard.rows.end()) {
      change(found->second);
      return;
    }
  }
  ChangeRow(OrganisationName(kOther), change);
}

void HistogramMetrics::Observe(const OrganisationName& organisation,
                               RequestClass request_class,
                               Measure measure,
                               Duration value) {
  const double seconds = std::chrono::duration<double>(value).count();
  ChangeRow(organisation,
            [&](OrganisationHistogram& row) { row.Fill(request_class, measure, seconds); });
}

void HistogramMetrics::AddCredit(const OrganisationName& organisation,
                                 RequestClass request_class,
                                 double weight) {
  ChangeRow(organisation,
            [&](OrganisationHistogram& row) { row.AddCredit(request_class, weight); });
}

void HistogramMetrics::Count(std::string_view counter, std::uint64_t amount) {
  const std::lock_guard lock(m_named_values_mutex);
  *FindOrAdd(m_counters, counter, std::uint64_t{0}) += amount;
}

void HistogramMetrics::SetGauge(std::string_view gauge, double value) {
  const std::lock_guard lock(m_named_values_mutex);
  *FindOrAdd(m_gauges, gauge, 0.0) = value;
}

void HistogramMetrics::ForEachRow(const Visitor& visitor) const {
  std::map<OrganisationName, OrganisationHistogram> copies;
  for (const auto& shard : m_shards) {
    const std::lock_guard lock(shard->mutex);
    copies.insert(shard->rows.begin(), shard->rows.end());
  }
  for (const auto& [organisation, row] : copies) {
    visitor(organisation, row);
  }
}

std::string HistogramMetrics::WriteText(const OrganisationName& only_organisation) const {
  MetricsText text;
  text.BeginHistograms();
  ForEachRow([&](const OrganisationName& organisation, const OrganisationHistogram& row) {
    if (only_organisation.empty() || organisation == only_organisation) {
      for (const RequestClass request_class : kClasses) {
        for (const Measure measure : kMeasures) {
          text.AddHistogram(organisation, request_class, measure, row);
        }
      }
    }
  });
  text.BeginCredits();
  ForEachRow([&](const OrganisationName& organisation, const OrganisationHistogram& row) {
    if (only_organisation.empty() || organisation == only_organisation) {
      for (const RequestClass request_class : kClasses) {
        text.AddCredit(organisation, request_class, row.CreditOf(request_class));
      }
    }
  });
  const std::lock_guard lock(m_named_values_mutex);
  for (const auto& [name, value] : m_counters) {
    text.AddCounter(name, value);
  }
  for (const auto& [name, value] : m_gauges) {
    text.AddGauge(name, value);
  }
  return text.Take();
}

std::vector<MetricsSummary> HistogramMetrics::Summarise() const {
  std::vector<MetricsSummary> summaries;
  ForEachRow([&](const OrganisationName& organisation, const OrganisationHistogram& row) {
    for (const RequestClass request_class : kClasses) {
      for (const Measure measure : kMeasures) {
        const std::uint64_t count = row.CountOf(request_class, measure);
        if (count > 0) {
          summaries.push_back({organisation, request_class, measure, count,
                               row.SumOf(request_class, measure) / static_cast<double>(count),
                               row.Quantile(request_class, measure, 0.5),
                               row.Quantile(request_class, measure, 0.99)});
        }
      }
    }
  });
  return summaries;
}

}  // namespace zinnia
