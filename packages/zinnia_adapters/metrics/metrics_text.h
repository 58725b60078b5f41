#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "zinnia_decisions/ports/metrics.h"

namespace zinnia {

class OrganisationHistogram;

/** Builds a document in the Prometheus text format. Call the Begin functions before the rows they
    head, and Take once at the end. */
class MetricsText {
 public:
  void BeginHistograms();
  void AddHistogram(const OrganisationName& organisation,
                    RequestClass request_class,
                    Measure measure,
                    const OrganisationHistogram& row);
  void BeginCredits();
  void AddCredit(const OrganisationName& organisation, RequestClass request_class, double credit);
  void AddCounter(std::string_view name, std::uint64_t value);
  void AddGauge(std::string_view name, double value);
  std::string Take();

 private:
  std::string m_text;
};

}  // namespace zinnia
