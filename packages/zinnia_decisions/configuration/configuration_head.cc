#include "zinnia_decisions/configuration/configuration_head.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "zinnia_base/hashing/fingerprint.h"

namespace zinnia {
namespace {

namespace json = boost::json;

constexpr std::size_t kMaxRememberedIds = 256;

json::array EntriesToJson(const std::vector<ConfigurationEntry>& entries) {
  json::array array;
  for (const ConfigurationEntry& entry : entries) {
    json::object object{{"path", entry.path}, {"revision", entry.revision}};
    object["value"] = entry.value ? json::value(*entry.value) : json::value(nullptr);
    array.push_back(std::move(object));
  }
  return array;
}

std::vector<ConfigurationEntry> EntriesFromJson(const json::value& value) {
  std::vector<ConfigurationEntry> entries;
  for (const json::value& item : value.as_array()) {
    ConfigurationEntry entry;
    entry.path = json::value_to<std::string>(item.at("path"));
    entry.revision = item.at("revision").to_number<ConfigurationRevision>();
    if (!item.at("value").is_null()) {
      entry.value = json::value_to<std::string>(item.at("value"));
    }
    entries.push_back(std::move(entry));
  }
  return entries;
}

/** Converts exceptions of the JSON library to an Error. */
template <typename Read>
auto ReadRecord(const std::string& what, Read read) -> Result<decltype(read())> {
  try {
    return read();
  } catch (const std::exception& exception) {
    return MakeError(ErrorKind::kInternal,
                     fmt::format("{} in the store is not readable: {}", what, exception.what()));
  }
}

ConfigurationHead HeadFromJson(const json::value& value) {
  ConfigurationHead head;
  head.revision = value.at("revision").to_number<ConfigurationRevision>();
  head.floor = value.at("floor").to_number<ConfigurationRevision>();
  for (const json::value& row : value.at("shards").as_array()) {
    head.shards.emplace(row.at(0).to_number<std::uint32_t>(),
                        row.at(1).to_number<ConfigurationRevision>());
  }
  for (const json::value& row : value.at("tail").as_array()) {
    head.tail.push_back({row.at("revision").to_number<ConfigurationRevision>(),
                         json::value_to<std::string>(row.at("id")),
                         EntriesFromJson(row.at("entries"))});
  }
  for (const json::value& row : value.at("ids").as_array()) {
    head.ids.emplace_back(json::value_to<std::string>(row.at(0)),
                          row.at(1).to_number<ConfigurationRevision>());
  }
  return head;
}

}  // namespace

std::string ConfigurationHead::ToJson() const {
  json::array shard_rows;
  for (const auto& [shard, shard_revision] : shards) {
    shard_rows.push_back(json::array{shard, shard_revision});
  }
  json::array tail_rows;
  for (const AcceptedChange& change : tail) {
    tail_rows.push_back(json::object{{"revision", change.revision},
                                     {"id", change.change_id},
                                     {"entries", EntriesToJson(change.entries)}});
  }
  json::array id_rows;
  for (const auto& [id, id_revision] : ids) {
    id_rows.push_back(json::array{id, id_revision});
  }
  return json::serialize(json::object{{"revision", revision},
                                      {"floor", floor},
                                      {"shards", std::move(shard_rows)},
                                      {"tail", std::move(tail_rows)},
                                      {"ids", std::move(id_rows)}});
}

Result<ConfigurationHead> ConfigurationHead::Parse(const std::string& json) {
  return ReadRecord(kConfigurationHeadKey, [&json] { return HeadFromJson(json::parse(json)); });
}

std::optional<ConfigurationRevision> ConfigurationHead::FindChange(
    const std::string& change_id) const {
  const auto found =
      std::find_if(ids.begin(), ids.end(), [&](const auto& row) { return row.first == change_id; });
  return found == ids.end() ? std::nullopt : std::optional(found->second);
}

void ConfigurationHead::Append(const std::string& change_id,
                               std::vector<ConfigurationEntry> entries) {
  ++revision;
  for (ConfigurationEntry& entry : entries) {
    entry.revision = revision;
  }
  tail.push_back({revision, change_id, std::move(entries)});
  ids.emplace_back(change_id, revision);
  if (ids.size() > kMaxRememberedIds) {
    ids.erase(ids.begin());
  }
}

std::size_t ConfigurationHead::TailSize() const {
  constexpr std::size_t kPunctuation = 64;
  std::size_t size = 0;
  for (const AcceptedChange& change : tail) {
    size += kPunctuation + change.change_id.size();
    for (const ConfigurationEntry& entry : change.entries) {
      size += kPunctuation + entry.path.size() + entry.value.value_or("").size();
    }
  }
  return size;
}

std::uint32_t ShardOf(const std::string& path) {
  return static_cast<std::uint32_t>(Hash64(path) % kConfigurationShards);
}

std::string ShardKey(std::uint32_t shard, ConfigurationRevision revision) {
  return fmt::format("{}{}/{}", kConfigurationShardPrefix, shard, revision);
}

std::string ShardToJson(const std::vector<ConfigurationEntry>& entries) {
  return json::serialize(EntriesToJson(entries));
}

Result<std::vector<ConfigurationEntry>> ParseShard(const std::string& json) {
  return ReadRecord("a configuration shard",
                    [&json] { return EntriesFromJson(json::parse(json)); });
}

}  // namespace zinnia
