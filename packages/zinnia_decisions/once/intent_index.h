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

/** The durable state of a partition's keys, rebuilt from its segments or kept up by its holder.

    Holds only what is known to be in the store. Decide says what an intent gets without a write, or
    that it needs one.
*/
class IntentIndex {
 public:
  /** Keeps at most `most_body_bytes` of recorded answers: beyond, the oldest bodies are dropped and
      their keys answered with `body_dropped`. */
  IntentIndex(std::int64_t retention_ms, std::size_t most_body_bytes)
      : m_retention_ms(retention_ms), m_most_body_bytes(most_body_bytes) {}

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
  /** The keys whose answers have a body, oldest first. */
  std::map<std::uint64_t, std::string> m_bodies;
};

}  // namespace zinnia
