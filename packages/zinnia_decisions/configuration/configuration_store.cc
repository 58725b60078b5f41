#include "zinnia_decisions/configuration/configuration_store.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "zinnia_decisions/configuration/configuration_state.h"

namespace zinnia {

/** Shards being written, and the head that will refer to them. */
struct ConfigurationStore::ShardWrite {
  VersionedHead base;
  ConfigurationHead head;
  ConfigurationRevision revision = 0;
  std::vector<std::pair<std::uint32_t, std::string>> shards;
  std::size_t next = 0;
  bool rebase = false;
  DoneCallback callback;
};

void ConfigurationStore::ReadHead(HeadCallback callback) {
  m_store.Get(kConfigurationHeadKey,
              [callback = std::move(callback)](Result<std::optional<StoreRecord>> answer) {
                if (!answer) {
                  callback(answer.error());
                  return;
                }
                callback(*answer ? ParseHeadRecord(**answer) : VersionedHead{});
              });
}

Result<VersionedHead> ConfigurationStore::ParseHeadRecord(const StoreRecord& record) {
  if (!record.value) {
    return VersionedHead{};
  }
  Result<ConfigurationHead> head = ConfigurationHead::Parse(*record.value);
  if (!head) {
    return head.error();
  }
  return VersionedHead{record.version, std::move(*head)};
}

void ConfigurationStore::WriteHead(const VersionedHead& base,
                                   const ConfigurationHead& head,
                                   PlatformStore::WriteCallback callback) {
  m_store.CompareAndSwap(kConfigurationHeadKey, base.version, head.ToJson(), std::nullopt,
                         std::move(callback));
}

void ConfigurationStore::Watch(std::uint64_t after_version,
                               std::chrono::milliseconds longest_wait,
                               PlatformStore::BatchCallback callback) {
  m_store.Watch(kConfigurationHeadKey, after_version, longest_wait, std::move(callback));
}

void ConfigurationStore::ReadFullCopy(const ConfigurationHead& head, CopyCallback callback) {
  m_store.List(
      kConfigurationShardPrefix, [head, callback = std::move(callback)](Result<StoreBatch> answer) {
        if (!answer) {
          callback(answer.error());
          return;
        }
        std::map<std::string, const StoreRecord*> records;
        for (const StoreRecord& record : answer->records) {
          records.emplace(record.key, &record);
        }
        std::map<std::string, ConfigurationEntry> entries;
        for (const auto& [shard, revision] : head.shards) {
          const auto record = records.find(ShardKey(shard, revision));
          if (record == records.end() || !record->second->value) {
            callback(MakeError(ErrorKind::kStoreConflict, "a configuration shard was replaced"));
            return;
          }
          Result<std::vector<ConfigurationEntry>> shard_entries =
              ParseShard(*record->second->value);
          if (!shard_entries) {
            callback(shard_entries.error());
            return;
          }
          for (ConfigurationEntry& entry : *shard_entries) {
            entries.insert_or_assign(entry.path, std::move(entry));
          }
        }
        for (const AcceptedChange& change : head.tail) {
          for (const ConfigurationEntry& entry : change.entries) {
            entries.insert_or_assign(entry.path, entry);
          }
        }
        ConfigurationDelta copy{0, head.revision, {}};
        for (auto& [path, entry] : entries) {
          if (entry.value) {
            copy.entries.push_back(std::move(entry));
          }
        }
        callback(std::move(copy));
      });
}

void ConfigurationStore::Compact(const VersionedHead& head,
                                 const ConfigurationState& state,
                                 DoneCallback callback) {
  std::set<std::uint32_t> touched;
  for (const AcceptedChange& change : head.head.tail) {
    for (const ConfigurationEntry& entry : change.entries) {
      touched.insert(ShardOf(entry.path));
    }
  }
  std::map<std::uint32_t, std::vector<ConfigurationEntry>> contents;
  for (const auto& [path, entry] : state.entries()) {
    if (entry.value && touched.contains(ShardOf(path))) {
      contents[ShardOf(path)].push_back(entry);
    }
  }
  auto writing = std::make_shared<ShardWrite>();
  writing->base = head;
  writing->head = head.head;
  writing->revision = head.head.revision;
  writing->rebase = true;
  writing->callback = std::move(callback);
  for (const std::uint32_t shard : touched) {
    writing->shards.emplace_back(shard, ShardToJson(contents[shard]));
  }
  WriteNextShard(writing);
}

void ConfigurationStore::Reinstate(const VersionedHead& lost,
                                   ConfigurationHead head,
                                   const ConfigurationState& state,
                                   DoneCallback callback) {
  std::map<std::uint32_t, std::vector<ConfigurationEntry>> contents;
  for (const auto& [path, entry] : state.entries()) {
    if (entry.value) {
      contents[ShardOf(path)].push_back(entry);
    }
  }
  auto writing = std::make_shared<ShardWrite>();
  writing->base = lost;
  writing->revision = head.revision;
  writing->head = std::move(head);
  writing->callback = std::move(callback);
  for (const auto& [shard, entries] : contents) {
    writing->shards.emplace_back(shard, ShardToJson(entries));
  }
  WriteNextShard(writing);
}

void ConfigurationStore::WriteNextShard(const std::shared_ptr<ShardWrite>& writing) {
  if (writing->next == writing->shards.size()) {
    CommitShardWrite(writing);
    return;
  }
  auto& [shard, json] = writing->shards[writing->next];
  m_store.CompareAndSwap(ShardKey(shard, writing->revision), 0, json, std::nullopt,
                         m_guard.Wrap([this, writing](const Result<std::uint64_t>& answer) {
                           // Shards are immutable: one that exists at this revision has the same
                           // content.
                           const bool there =
                               answer || answer.error().kind == ErrorKind::kStoreConflict;
                           if (!there) {
                             writing->callback(answer.error());
                             return;
                           }
                           ++writing->next;
                           WriteNextShard(writing);
                         }));
}

void ConfigurationStore::CommitShardWrite(const std::shared_ptr<ShardWrite>& writing) {
  ConfigurationHead& head = writing->head;
  std::vector<std::string> replaced;
  head.floor = writing->revision;
  std::erase_if(head.tail,
                [&](const AcceptedChange& change) { return change.revision <= writing->revision; });
  for (const auto& [shard, json] : writing->shards) {
    const auto old = head.shards.find(shard);
    if (old != head.shards.end() && old->second < writing->revision) {
      replaced.push_back(ShardKey(shard, old->second));
    }
    head.shards[shard] = writing->revision;
  }
  WriteHead(writing->base, head,
            m_guard.Wrap([this, writing, replaced](const Result<std::uint64_t>& answer) {
              if (answer) {
                DeleteReplaced(replaced);
                writing->callback({});
              } else if (answer.error().kind == ErrorKind::kStoreConflict && writing->rebase) {
                RebaseShardWrite(writing);
              } else {
                writing->callback(answer.error());
              }
            }));
}

// Keeps changes that were accepted while the shards were written in the tail of the newer head.
void ConfigurationStore::RebaseShardWrite(const std::shared_ptr<ShardWrite>& writing) {
  ReadHead(m_guard.Wrap([this, writing](Result<VersionedHead> newer) {
    if (!newer) {
      writing->callback(newer.error());
      return;
    }
    const bool outdated =
        newer->head.floor >= writing->revision || newer->head.revision < writing->revision;
    if (outdated) {
      writing->callback({});
      return;
    }
    writing->base = *newer;
    writing->head = std::move(newer->head);
    CommitShardWrite(writing);
  }));
}

void ConfigurationStore::DeleteReplaced(const std::vector<std::string>& keys) {
  for (const std::string& key : keys) {
    m_store.Get(key, m_guard.Wrap([this, key](const Result<std::optional<StoreRecord>>& answer) {
      if (answer && *answer && (**answer).value) {
        m_store.Delete(key, (**answer).version, [](const Result<std::uint64_t>&) {});
      }
    }));
  }
}

}  // namespace zinnia
