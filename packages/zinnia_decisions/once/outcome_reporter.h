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

/** Brings outcomes to the holders of their partitions, again and again until they are recorded.

    What fails without it: the store is down, or the holder changes, when the answer of a request
    that ran comes in or when a recorded grant was not used. The key would answer "outcome unknown"
    until it expires. Offering an outcome twice is harmless: the holder compares the attempt.

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

  /** `outcome` has its partition and its attempt filled in. Fails with kOverloaded at once when too
      many wait already. */
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
