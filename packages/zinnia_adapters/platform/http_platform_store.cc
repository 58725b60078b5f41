#include "zinnia_adapters/platform/http_platform_store.h"

#include <boost/json.hpp>

#include <cassert>
#include <utility>

#include "zinnia_adapters/http/http_client.h"
#include "zinnia_adapters/platform/json_fields.h"
#include "zinnia_adapters/platform/store_call.h"

namespace zinnia {
namespace {

namespace json = boost::json;

constexpr unsigned kOk = 200;
constexpr unsigned kNotFoundStatus = 404;
constexpr unsigned kConflictStatus = 409;

/** Added to a watch's own waiting time, so that the store ends it and not we. */
constexpr Duration kWatchMargin = std::chrono::seconds(2);

StoreRecord ReadRecord(const JsonFields& fields) {
  StoreRecord record{fields.Text("key"), fields.Number("version"), std::nullopt};
  if (fields.Find("value") != nullptr) {
    record.value = fields.Text("value");
  }
  return record;
}

std::optional<StoreRecord> ReadOneRecord(const JsonFields& fields) {
  const json::value* record = fields.Find("record");
  if (record == nullptr) {
    return std::nullopt;
  }
  StoreRecord found = ReadRecord(JsonFields(*record));
  return found.value ? std::optional(std::move(found)) : std::nullopt;
}

StoreBatch ReadBatch(const JsonFields& fields) {
  StoreBatch batch;
  batch.version = fields.Number("version");
  for (const json::value& record : fields.Array("records")) {
    batch.records.push_back(ReadRecord(JsonFields(record)));
  }
  return batch;
}

std::uint64_t ReadVersion(const JsonFields& fields) {
  return fields.Number("version");
}

StoreLeaseId ReadLease(const JsonFields& fields) {
  return fields.Number("lease");
}

/** Stands for "done" where the answer has no content. */
struct Done {};

Done ReadDone(const JsonFields&) {
  return {};
}

Error RefusalOf(const std::string& path, const HttpResponse& response) {
  switch (response.status) {
    case kConflictStatus:
      return MakeError(ErrorKind::kStoreConflict, path + ": the record is at another version");
    case kNotFoundStatus:
      return MakeError(ErrorKind::kNotFound, path + ": the store does not know it (any more)");
    default:
      return MakeError(ErrorKind::kInternal,
                       path + ": the store answered " + std::to_string(response.status));
  }
}

/** An answer to a write that cannot be read says nothing about its effect. */
ErrorKind UnreadableKind(StoreAccess access) {
  return access == StoreAccess::kRead ? ErrorKind::kStoreUnavailable
                                      : ErrorKind::kStoreOutcomeUnknown;
}

std::function<void(Result<Done>)> ForDone(PlatformStore::DoneCallback callback) {
  return [callback = std::move(callback)](const Result<Done>& result) {
    callback(result.has_value() ? Result<void>() : Result<void>(result.error()));
  };
}

}  // namespace

HttpPlatformStore::HttpPlatformStore(std::shared_ptr<HttpClient> client,
                                     std::vector<NetworkAddress> addresses,
                                     Duration time_limit)
    : m_client(std::move(client)), m_addresses(std::move(addresses)), m_time_limit(time_limit) {
  // Without an address there is no store: the settings must be refused before this.
  assert(!m_addresses.empty());
}

template <typename Value>
void HttpPlatformStore::Call(std::string path,
                             std::string body,
                             StoreAccess access,
                             Duration time_limit,
                             Value (*read)(const JsonFields&),
                             std::function<void(Result<Value>)> callback) {
  auto on_answer = [path, access, read,
                    callback = std::move(callback)](Result<HttpResponse> answer) {
    if (answer.has_error()) {
      callback(std::move(answer).error());
    } else if (answer->status != kOk) {
      callback(RefusalOf(path, *answer));
    } else {
      callback(ParseAnswer(answer->body, UnreadableKind(access), read));
    }
  };
  auto call = std::make_shared<StoreCall>(StoreCall::Parts{
      m_client, m_addresses, path, std::move(body), access, time_limit, std::move(on_answer)});
  call->Start();
}

void HttpPlatformStore::Get(std::string key, ReadCallback callback) {
  Call("/kv/get", json::serialize(json::object{{"key", key}}), StoreAccess::kRead, m_time_limit,
       &ReadOneRecord, std::move(callback));
}

void HttpPlatformStore::List(std::string prefix, BatchCallback callback) {
  Call("/kv/list", json::serialize(json::object{{"prefix", prefix}}), StoreAccess::kRead,
       m_time_limit, &ReadBatch, std::move(callback));
}

void HttpPlatformStore::CompareAndSwap(std::string key,
                                       std::uint64_t expected_version,
                                       std::string value,
                                       std::optional<StoreLeaseId> lease,
                                       WriteCallback callback) {
  json::object body{{"key", key}, {"expected", expected_version}, {"value", value}};
  if (lease) {
    body["lease"] = *lease;
  }
  Call("/kv/cas", json::serialize(body), StoreAccess::kWrite, m_time_limit, &ReadVersion,
       std::move(callback));
}

void HttpPlatformStore::Delete(std::string key,
                               std::uint64_t expected_version,
                               WriteCallback callback) {
  const json::object body{{"key", key}, {"expected", expected_version}};
  Call("/kv/delete", json::serialize(body), StoreAccess::kWrite, m_time_limit, &ReadVersion,
       std::move(callback));
}

void HttpPlatformStore::GrantLease(std::chrono::milliseconds time_to_live, LeaseCallback callback) {
  Call("/kv/lease/grant", json::serialize(json::object{{"ttl_ms", time_to_live.count()}}),
       StoreAccess::kWrite, m_time_limit, &ReadLease, std::move(callback));
}

void HttpPlatformStore::KeepLeaseAlive(StoreLeaseId lease, DoneCallback callback) {
  Call("/kv/lease/keepalive", json::serialize(json::object{{"lease", lease}}), StoreAccess::kWrite,
       m_time_limit, &ReadDone, ForDone(std::move(callback)));
}

void HttpPlatformStore::RevokeLease(StoreLeaseId lease, DoneCallback callback) {
  Call("/kv/lease/revoke", json::serialize(json::object{{"lease", lease}}), StoreAccess::kWrite,
       m_time_limit, &ReadDone, ForDone(std::move(callback)));
}

void HttpPlatformStore::Watch(std::string prefix,
                              std::uint64_t after_version,
                              std::chrono::milliseconds longest_wait,
                              BatchCallback callback) {
  const json::object body{
      {"prefix", prefix}, {"after", after_version}, {"wait_ms", longest_wait.count()}};
  Call("/kv/watch", json::serialize(body), StoreAccess::kRead, longest_wait + kWatchMargin,
       &ReadBatch, std::move(callback));
}

}  // namespace zinnia
