#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "zinnia_decisions/configuration/configuration_head.h"
#include "zinnia_decisions/control/callback_guard.h"
#include "zinnia_decisions/ports/platform_store.h"

namespace zinnia {

class ConfigurationState;

/** The head record and its version in the store; version 0 and an empty head if it is missing. */
struct VersionedHead {
  std::uint64_t version = 0;
  ConfigurationHead head;
};

/** Reads and writes the configuration records in the platform's store.

    @see ConfigurationHead, ConfigurationKeeper, ConfigurationAcceptance
*/
class ConfigurationStore {
 public:
  using HeadCallback = std::function<void(Result<VersionedHead>)>;
  using CopyCallback = std::function<void(Result<ConfigurationDelta>)>;
  using DoneCallback = std::function<void(Result<void>)>;

  explicit ConfigurationStore(PlatformStore& store) : m_store(store) {}

  void ReadHead(HeadCallback callback);

  /** Parses a head record returned by a watch. */
  static Result<VersionedHead> ParseHeadRecord(const StoreRecord& record);
  void WriteHead(const VersionedHead& base,
                 const ConfigurationHead& head,
                 PlatformStore::WriteCallback callback);
  void Watch(std::uint64_t after_version,
             std::chrono::milliseconds longest_wait,
             PlatformStore::BatchCallback callback);

  /** Reads all entries up to the head's revision. Fails with kStoreConflict if a concurrent
      compaction replaced a shard; the caller must read the head again. */
  void ReadFullCopy(const ConfigurationHead& head, CopyCallback callback);

  /** Moves the head's tail into shards. `state` must be at the head's revision. */
  void Compact(const VersionedHead& head, const ConfigurationState& state, DoneCallback callback);

  /** Writes all of `state`, with `head`, to a store that was restored from a backup. */
  void Reinstate(const VersionedHead& lost,
                 ConfigurationHead head,
                 const ConfigurationState& state,
                 DoneCallback callback);

 private:
  struct ShardWrite;

  void WriteNextShard(const std::shared_ptr<ShardWrite>& writing);
  void CommitShardWrite(const std::shared_ptr<ShardWrite>& writing);
  void RebaseShardWrite(const std::shared_ptr<ShardWrite>& writing);
  void DeleteReplaced(const std::vector<std::string>& keys);

  PlatformStore& m_store;
  CallbackGuard m_guard;
};

}  // namespace zinnia
