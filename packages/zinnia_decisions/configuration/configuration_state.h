#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "zinnia_world/configuration/configuration.h"

namespace zinnia {

/** The result of ConfigurationState::Apply. */
enum class DeltaOutcome { kApplied, kOlder, kGap, kInvalid };

/** The configuration entries of this instance at one revision, which never decreases.

    A delta whose `after` is 0 is a full copy: paths missing from it are removed. Removals are kept
    as a bounded number of tombstones. Deltas from a revision below the floor, where tombstones were
    dropped, are full copies, so that no removal is missed.

    @see ConfigurationKeeper
*/
class ConfigurationState {
 public:
  ConfigurationState();

  ConfigurationRevision revision() const { return m_revision; }
  const std::shared_ptr<const Configuration>& parsed() const { return m_parsed; }
  const std::map<std::string, ConfigurationEntry>& entries() const { return m_entries; }

  DeltaOutcome Apply(const ConfigurationDelta& delta);

  /** The changes since revision `after`, or a full copy if `after` is 0 or below the floor. */
  ConfigurationDelta DeltaAfter(ConfigurationRevision after) const;

  /** Moves to `revision` with the same entries and makes it the floor: an instance at a lower
      revision may hold changes that were lost, and must take a full copy. */
  void AdvanceTo(ConfigurationRevision revision);

  /** The paths written after `revision`. Removals are found only while their tombstone is kept. */
  std::vector<std::string> ChangedSince(ConfigurationRevision revision,
                                        const std::vector<std::string>& paths) const;

 private:
  DeltaOutcome ApplyFullCopy(const ConfigurationDelta& delta);
  void Put(const ConfigurationEntry& entry);
  void DropOldTombstones();

  ConfigurationRevision m_revision = 0;
  ConfigurationRevision m_floor = 0;
  std::shared_ptr<const Configuration> m_parsed;
  std::map<std::string, ConfigurationEntry> m_entries;
  std::set<std::pair<ConfigurationRevision, std::string>> m_by_revision;
  std::set<std::pair<ConfigurationRevision, std::string>> m_tombstones;
};

}  // namespace zinnia
