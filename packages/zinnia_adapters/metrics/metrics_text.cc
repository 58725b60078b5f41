#include "zinnia_adapters/metrics/metrics_text.h"

#include <fmt/format.h>

#include <cctype>
#include <iterator>
#include <utility>

#include "zinnia_adapters/metrics/measure_name.h"
#include "zinnia_adapters/metrics/organisation_histogram.h"

namespace zinnia {
namespace {

std::string EscapeLabel(std::string_view value) {
  std::string escaped;
  for (const char character : value) {
    if (character == '\\' || character == '"') {
      escaped.push_back('\\');
    }
    if (character == '\n') {
      escaped += "\\n";
    } else {
      escaped.push_back(character);
    }
  }
  return escaped;
}

/** Counters are named in code, but a stray character would make the whole document unreadable. */
std::string SafeName(std::string_view name) {
  std::string safe = "zinnia_";
  for (const char character : name) {
    safe.push_back(std::isalnum(static_cast<unsigned char>(character)) != 0 ? character : '_');
  }
  return safe;
}

}  // namespace

void MetricsText::BeginHistograms() {
  m_text +=
      "# HELP zinnia_duration_seconds Durations of requests by organisation, class and measure.\n"
      "# TYPE zinnia_duration_seconds histogram\n";
}

void MetricsText::AddHistogram(const OrganisationName& organisation,
                               RequestClass request_class,
                               Measure measure,
                               const OrganisationHistogram& row) {
  const std::uint64_t count = row.CountOf(request_class, measure);
  if (count == 0) {
    return;
  }
  const std::string labels =
      fmt::format("organisation=\"{}\",class=\"{}\",measure=\"{}\"", EscapeLabel(organisation),
                  NameOf(request_class), NameOf(measure));
  auto out = std::back_inserter(m_text);
  std::uint64_t below = 0;
  for (std::size_t bucket = 0; bucket < OrganisationHistogram::kBuckets; ++bucket) {
    below += row.BucketCount(request_class, measure, bucket);
    fmt::format_to(out, "zinnia_duration_seconds_bucket{{{},le=\"{:.4g}\"}} {}\n", labels,
                   row.UpperBound(bucket), below);
  }
  fmt::format_to(out, "zinnia_duration_seconds_bucket{{{},le=\"+Inf\"}} {}\n", labels, count);
  fmt::format_to(out, "zinnia_duration_seconds_sum{{{}}} {:.9g}\n", labels,
                 row.SumOf(request_class, measure));
  fmt::format_to(out, "zinnia_duration_seconds_count{{{}}} {}\n", labels, count);
}

void MetricsText::BeginCredits() {
  m_text +=
      "# HELP zinnia_credits_total Credits of answered requests by organisation and class.\n"
      "# TYPE zinnia_credits_total counter\n";
}

void MetricsText::AddCredit(const OrganisationName& organisation,
                            RequestClass request_class,
                            double credit) {
  if (credit > 0) {
    fmt::format_to(std::back_inserter(m_text),
                   "zinnia_credits_total{{organisation=\"{}\",class=\"{}\"}} {:.9g}\n",
                   EscapeLabel(organisation), NameOf(request_class), credit);
  }
}

void MetricsText::AddCounter(std::string_view name, std::uint64_t value) {
  const std::string safe_name = SafeName(name);
  fmt::format_to(std::back_inserter(m_text), "# TYPE {0}_total counter\n{0}_total {1}\n", safe_name,
                 value);
}

void MetricsText::AddGauge(std::string_view name, double value) {
  const std::string safe_name = SafeName(name);
  fmt::format_to(std::back_inserter(m_text), "# TYPE {0} gauge\n{0} {1:.9g}\n", safe_name, value);
}

std::string MetricsText::Take() {
  return std::move(m_text);
}

}  // namespace zinnia
