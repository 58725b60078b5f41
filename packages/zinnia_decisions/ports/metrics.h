#pragma once

#include <string_view>

#include "zinnia_base/time/clock.h"
#include "zinnia_world/names/names.h"
#include "zinnia_world/requests/request_class.h"

namespace zinnia {

/** The durations recorded as histograms for each organisation and class. */
enum class Measure { kFirstToken, kBetweenTokens, kWholeAnswer, kQueueing, kRecovery };

/** Records measurements. Thread-safe. Memory is bounded: organisations beyond a limit share one row
    named "other". */
class Metrics {
 public:
  virtual ~Metrics() = default;
  virtual void Observe(const OrganisationName& organisation,
                       RequestClass request_class,
                       Measure measure,
                       Duration value) = 0;
  virtual void AddCredit(const OrganisationName& organisation,
                         RequestClass request_class,
                         double weight) = 0;
  virtual void Count(std::string_view counter, std::uint64_t amount = 1) = 0;
  virtual void SetGauge(std::string_view gauge, double value) = 0;
};

}  // namespace zinnia
