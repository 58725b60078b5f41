#pragma once

#include <cstddef>
#include <functional>
#include <list>
#include <memory>

#include "zinnia_base/random/random_source.h"
#include "zinnia_decisions/once/once_parts.h"
#include "zinnia_decisions/once/once_settings.h"
#include "zinnia_decisions/once/partition_role.h"

namespace zinnia {

/** Sends outcomes to the holders of their partitions and retries until they are recorded or
    `report_for` has passed.

    Without retries, a store outage or a change of the holder would leave the key in kStarted until
    it expires. Sending an outcome twice is harmless, since the holder compares the attempt.

    @see OnceCoordinator
*/
class OutcomeReporter {
 public:
  using Callback = std::function<void(Result<void>)>;

  OutcomeReporter(const OnceParts& parts,
                  const OnceSettings& settings,
                  std::function<PartitionRole*(std::uint32_t)> role_of,
                  std::uint64_t seed);
  ~OutcomeReporter();

  /** `outcome` must contain the partition and, as request_id, the attempt id. Fails immediately
      with kOverloaded if too many outcomes are pending. */
  void Add(IntentOutcome outcome, Callback callback);

  std::size_t size() const { return m_reports.size(); }

 private:
  struct Report;
  using ReportPointer = std::shared_ptr<Report>;

  void Offer(const ReportPointer& report);
  void OnOffered(const ReportPointer& report, const Instance& target, const Result<void>& result);
  void OfferLater(const ReportPointer& report);
  void Finish(const ReportPointer& report, const Result<void>& result);

  OnceParts m_parts;
  const OnceSettings& m_settings;
  std::function<PartitionRole*(std::uint32_t)> m_role_of;
  RandomSource m_random;
  std::list<ReportPointer> m_reports;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace zinnia
