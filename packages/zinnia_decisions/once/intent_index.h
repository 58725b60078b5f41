#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "zinnia_base/errors/result.h"
#include "zinnia_decisions/once/once_records.h"

namespace zinnia {

/** The state of a partition's keys, rebuilt from its segments and updated by its holder.

    Contains only records known to be in the store.
*/
class IntentIndex {
 public:
  /** Keeps at most `most_body_bytes` of recorded answers. Beyond that, the oldest bodies are
      dropped and their answers marked with `body_dropped`. */
  IntentIndex(std::int64_t retention_ms, std::size_t most_body_bytes)
      : m_retention_ms(retention_ms), m_most_body_bytes(most_body_bytes) {}

  void Apply(IntentRecord record);

  /** Returns the verdict for an intent, kCancelled if this attempt was withdrawn, or nullopt if the
      key is free and the intent must be recorded first.

      Returns kGranted again to the attempt that has the grant: the reply was lost, and attempt ids
      are unique to one call of OnceCoordinator::Begin.
  */
  std::optional<Result<IntentVerdict>> Decide(const IntentRequest& request,
                                              std::int64_t now_unix_ms) const;

  const IntentRecord* Find(const OrganisationName& organisation, const std::string& key) const;

  /** Removes the records whose retention has expired. */
  void DropExpired(std::int64_t now_unix_ms);

  std::size_t size() const { return m_records.size(); }
  std::size_t body_bytes() const { return m_body_bytes; }

  static std::string KeyOf(const OrganisationName& organisation, const std::string& key);

 private:
  struct Entry {
    IntentRecord record;
    std::uint64_t sequence = 0;
  };

  void ForgetBody(const Entry& entry);
  void DropOldestBodies();

  std::int64_t m_retention_ms;
  std::size_t m_most_body_bytes;
  std::size_t m_body_bytes = 0;
  std::uint64_t m_next_sequence = 0;
  std::unordered_map<std::string, Entry> m_records;
  /** Keys of the answers that have a body, by sequence, oldest first. */
  std::map<std::uint64_t, std::string> m_bodies;
};

}  // namespace zinnia
