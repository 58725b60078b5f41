#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "zinnia_base/errors/result.h"
#include "zinnia_world/configuration/configuration_delta.h"

namespace zinnia {

/** An accepted change, kept in the head record until compaction. */
struct AcceptedChange {
  ConfigurationRevision revision = 0;
  std::string change_id;
  std::vector<ConfigurationEntry> entries;

  ConfigurationDelta AsDelta() const { return {revision - 1, revision, entries}; }
};

/** The store's head record. A change is accepted by a compare-and-swap of this record.

    Changes above `floor` are in `tail`; older entries are in shards. Each shard is one immutable
    record whose key contains the revision at which it was written. `ids` covers more changes than
    the tail, so that a client whose response was lost finds its change even after a compaction.

    @see docs/design/configuration.md
*/
struct ConfigurationHead {
  ConfigurationRevision revision = 0;
  ConfigurationRevision floor = 0;
  std::map<std::uint32_t, ConfigurationRevision> shards;
  std::vector<AcceptedChange> tail;
  std::vector<std::pair<std::string, ConfigurationRevision>> ids;

  std::string ToJson() const;
  static Result<ConfigurationHead> Parse(const std::string& json);

  std::optional<ConfigurationRevision> FindChange(const std::string& change_id) const;

  /** Appends a change at the next revision. */
  void Append(const std::string& change_id, std::vector<ConfigurationEntry> entries);

  /** An estimate of the serialized tail's size in bytes. */
  std::size_t TailSize() const;
};

constexpr std::uint32_t kConfigurationShards = 256;
constexpr const char* kConfigurationHeadKey = "config/head";
constexpr const char* kConfigurationShardPrefix = "config/shard/";

std::uint32_t ShardOf(const std::string& path);
std::string ShardKey(std::uint32_t shard, ConfigurationRevision revision);
std::string ShardToJson(const std::vector<ConfigurationEntry>& entries);
Result<std::vector<ConfigurationEntry>> ParseShard(const std::string& json);

}  // namespace zinnia
