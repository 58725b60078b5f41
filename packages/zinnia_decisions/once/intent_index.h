#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

#include "zinnia_base/errors/result.h"
#include "zinnia_decisions/once/once_records.h"

namespace zinnia {

/** The durable state of a partition's keys, rebuilt from its segments or kept up by its holder.

    Holds only what is known to be in the store. Decide says what an intent gets without a write, or
    that it needs one.
*/
class IntentIndex {
 public:
  explicit IntentIndex(std::int64_t retention_ms) : m_retention_ms(retention_ms) {}

  void Apply(IntentRecord record);

  /** Nothing: the key is free, so the intent must be made durable first. Otherwise the verdict, or
      kCancelled if this very attempt was withdrawn.

      The attempt that holds the grant may ask again, because its asker has not yet told its caller
      anything (@see OnceCoordinator): its first reply was lost, and it can only have been granted
      to that one Begin.
  */
  std::optional<Result<IntentVerdict>> Decide(const IntentRequest& request,
                                              std::int64_t now_unix_ms) const;

  const IntentRecord* Find(const OrganisationName& organisation, const std::string& key) const;

  /** Forgets keys whose retention is over. */
  void DropExpired(std::int64_t now_unix_ms);

  std::size_t size() const { return m_records.size(); }

  static std::string KeyOf(const OrganisationName& organisation, const std::string& key);

 private:
  std::int64_t m_retention_ms;
  std::unordered_map<std::string, IntentRecord> m_records;
};

}  // namespace zinnia
