#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "zinnia_world/configuration/configuration.h"

namespace zinnia {

/** What became of a delta that was offered to ConfigurationState. */
enum class DeltaOutcome { kApplied, kOlder, kGap, kInvalid };

/** The configuration entries that this instance holds, at one revision that only moves up.

    A delta whose `after` is 0 is a full copy: paths that it does not name are gone. Removals are
    remembered as a bounded number of tombstones; whoever asks for a delta from below the oldest one
    kept (the floor) gets a full copy, so that no removal is ever missed.

    @see ConfigurationKeeper
*/
class ConfigurationState {
 public:
  ConfigurationState();

  ConfigurationRevision revision() const { return m_revision; }
  const std::shared_ptr<const Configuration>& parsed() const { return m_parsed; }
  const std::map<std::string, ConfigurationEntry>& entries() const { return m_entries; }

  DeltaOutcome Apply(const ConfigurationDelta& delta);

  /** What somebody at revision `after` needs, as a delta or as a full copy. */
  ConfigurationDelta DeltaAfter(ConfigurationRevision after) const;

  /** Moves to `revision` with the same entries. Deltas from below it are no longer given: whoever
      is there may hold changes that nobody else has, and must take a full copy. */
  void AdvanceTo(ConfigurationRevision revision);

  /** Those of the paths that were written after `revision`, as far as tombstones tell. */
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
