#include "zinnia_decisions/configuration/configuration_state.h"

#include <algorithm>
#include <utility>

namespace zinnia {
namespace {

constexpr std::size_t kMaxTombstones = 4096;

}  // namespace

ConfigurationState::ConfigurationState() : m_parsed(std::make_shared<const Configuration>()) {}

DeltaOutcome ConfigurationState::Apply(const ConfigurationDelta& delta) {
  if (delta.revision <= m_revision) {
    return DeltaOutcome::kOlder;
  }
  if (delta.after == 0) {
    return ApplyFullCopy(delta);
  }
  if (delta.after > m_revision) {
    return DeltaOutcome::kGap;
  }
  std::vector<ConfigurationEntry> new_entries;
  for (const ConfigurationEntry& entry : delta.entries) {
    if (entry.revision > m_revision) {
      new_entries.push_back(entry);
    }
  }
  Result<Configuration> parsed = m_parsed->WithChanges(delta.revision, new_entries);
  if (!parsed) {
    return DeltaOutcome::kInvalid;
  }
  m_parsed = std::make_shared<const Configuration>(std::move(*parsed));
  m_revision = delta.revision;
  for (const ConfigurationEntry& entry : new_entries) {
    Put(entry);
  }
  DropOldTombstones();
  return DeltaOutcome::kApplied;
}

DeltaOutcome ConfigurationState::ApplyFullCopy(const ConfigurationDelta& delta) {
  std::map<std::string, ConfigurationEntry> entries;
  for (const ConfigurationEntry& entry : delta.entries) {
    entries.insert_or_assign(entry.path, entry);
  }
  Result<Configuration> parsed = Configuration::Parse(delta.revision, entries);
  if (!parsed) {
    return DeltaOutcome::kInvalid;
  }
  m_parsed = std::make_shared<const Configuration>(std::move(*parsed));
  m_revision = delta.revision;
  m_floor = delta.revision;
  m_entries.clear();
  m_by_revision.clear();
  m_tombstones.clear();
  for (const auto& [path, entry] : entries) {
    Put(entry);
  }
  return DeltaOutcome::kApplied;
}

ConfigurationDelta ConfigurationState::DeltaAfter(ConfigurationRevision after) const {
  ConfigurationDelta delta;
  delta.revision = m_revision;
  if (after == 0 || after < m_floor) {
    for (const auto& [path, entry] : m_entries) {
      if (entry.value) {
        delta.entries.push_back(entry);
      }
    }
    return delta;
  }
  delta.after = after;
  for (auto row = m_by_revision.lower_bound({after + 1, ""}); row != m_by_revision.end(); ++row) {
    delta.entries.push_back(m_entries.at(row->second));
  }
  return delta;
}

void ConfigurationState::AdvanceTo(ConfigurationRevision revision) {
  Configuration parsed = m_parsed->WithChanges(revision, {}).value();
  m_parsed = std::make_shared<const Configuration>(std::move(parsed));
  m_revision = revision;
  m_floor = revision;
}

std::vector<std::string> ConfigurationState::ChangedSince(
    ConfigurationRevision revision,
    const std::vector<std::string>& paths) const {
  std::vector<std::string> changed;
  std::copy_if(paths.begin(), paths.end(), std::back_inserter(changed),
               [&](const std::string& path) {
                 const auto found = m_entries.find(path);
                 return found != m_entries.end() && found->second.revision > revision;
               });
  return changed;
}

void ConfigurationState::Put(const ConfigurationEntry& entry) {
  const auto [row, added] = m_entries.try_emplace(entry.path, entry);
  if (!added) {
    m_by_revision.erase({row->second.revision, entry.path});
    m_tombstones.erase({row->second.revision, entry.path});
    row->second = entry;
  }
  m_by_revision.emplace(entry.revision, entry.path);
  if (!entry.value) {
    m_tombstones.emplace(entry.revision, entry.path);
  }
}

void ConfigurationState::DropOldTombstones() {
  while (m_tombstones.size() > kMaxTombstones) {
    const auto oldest = m_tombstones.begin();
    m_floor = std::max(m_floor, oldest->first);
    m_by_revision.erase(*oldest);
    m_entries.erase(oldest->second);
    m_tombstones.erase(oldest);
  }
}

}  // namespace zinnia
