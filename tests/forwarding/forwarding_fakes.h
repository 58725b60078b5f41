#pragma once

#include <deque>
#include <initializer_list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "zinnia_base/logging/logger.h"
#include "zinnia_base/time/virtual_time.h"
#include "zinnia_decisions/forwarding/observed_state/forwarding_view.h"
#include "zinnia_decisions/forwarding/observed_state/store_mirror.h"
#include "zinnia_decisions/forwarding/paths/idle_connections.h"
#include "zinnia_decisions/ports/layer_orders.h"
#include "zinnia_decisions/ports/platform_store.h"

namespace zinnia {

struct RecordingLogger final : Logger {
  void Log(LogLevel level,
           std::string_view event,
           std::initializer_list<LogField> fields) override {
    events.emplace_back(event);
    lines.push_back(FormatLogLine(level, event, fields));
  }
  std::vector<std::string> events;
  std::vector<std::string> lines;
};

/** A model with layers of 1,750 MB that runs on three kinds of accelerators. */
inline EngineProfile MixedEngine() {
  EngineProfile engine;
  engine.layers = 80;
  engine.layer_mb = 1'750;
  engine.cache_bytes_per_token = 918'000;
  engine.step_ms = 1.02;
  engine.step_ms_per_request = 0.00714;
  engine.step_ms_per_thousand_tokens = 0.00956;
  engine.read_tokens_per_second = 105'000;
  engine.activation_bytes_per_token = 45'900;
  engine.failure_domain_link_mbps = 26'000;
  engine.usual_prompt_tokens = 774;
  engine.usual_answer_tokens = 200;
  engine.accelerators["fast"] = {72'000, 2.4, 3.2};
  engine.accelerators["middle"] = {43'200, 5.6, 2.7};
  engine.accelerators["slow"] = {21'600, 16, 8.2};
  return engine;
}

inline ServerEntry EngineServer(const std::string& name,
                                const std::string& accelerator,
                                const std::string& domain,
                                LayerRange layers = {}) {
  ServerEntry server;
  server.name = name;
  server.registration = name;
  server.service = "pool";
  static std::uint16_t port = 1'000;
  server.address = {"10.0.0.1", ++port};
  server.failure_domain = domain;
  server.most_requests = 192;
  server.accelerator = accelerator;
  server.layers = layers;
  return server;
}

inline ForwardingView ViewOf(const std::vector<ServerEntry>& servers) {
  ForwardingView view;
  auto rules = std::make_shared<ForwardingRules>();
  rules->version = 1;
  rules->services["pool"].name = "pool";
  rules->services["pool"].engine = MixedEngine();
  rules->services["plain"].name = "plain";
  view.rules = rules;
  for (const ServerEntry& server : servers) {
    view.servers[server.name] = server;
  }
  return view;
}

/** A store with a working compare-and-swap. Tests answer its watches one by one. */
class FakeStore final : public PlatformStore {
 public:
  explicit FakeStore(VirtualTime& time) : m_time(time) {}

  std::map<std::string, StoreRecord> records;
  std::uint64_t version = 1;
  std::optional<ErrorKind> failure;
  int lists = 0;
  int gets = 0;
  std::deque<BatchCallback> watches;
  std::uint64_t last_watch_after = 0;

  void Put(const std::string& key, const std::string& value) {
    records[key] = {key, ++version, value};
  }
  void Erase(const std::string& key) { records[key] = {key, ++version, std::nullopt}; }

  /** Answers the oldest pending watch with the records changed since its revision. */
  void AnswerWatch() {
    StoreBatch batch{{}, version};
    for (const auto& [key, record] : records) {
      if (record.version > last_watch_after) {
        batch.records.push_back(record);
      }
    }
    TakeWatch()(batch);
  }
  void FailWatch(ErrorKind kind) { TakeWatch()(MakeError(kind, "test")); }

  void Get(std::string key, ReadCallback callback) override {
    ++gets;
    Later<std::optional<StoreRecord>>(std::move(callback), [this, key] {
      const auto found = records.find(key);
      const bool there = found != records.end() && found->second.value;
      return there ? std::optional(found->second) : std::nullopt;
    });
  }
  void List(std::string, BatchCallback callback) override {
    ++lists;
    Later<StoreBatch>(std::move(callback), [this] {
      StoreBatch batch{{}, version};
      for (const auto& [key, record] : records) {
        if (record.value) {
          batch.records.push_back(record);
        }
      }
      return batch;
    });
  }
  void CompareAndSwap(std::string key,
                      std::uint64_t expected,
                      std::string value,
                      std::optional<StoreLeaseId>,
                      WriteCallback callback) override {
    const auto known = records.find(key);
    const bool is_there = known != records.end() && known->second.value;
    if (expected != (is_there ? known->second.version : 0)) {
      m_calls.push_back(m_time.ScheduleAfter(
          kDelay, [callback] { callback(MakeError(ErrorKind::kStoreConflict, "test")); }));
      return;
    }
    Later<std::uint64_t>(std::move(callback), [this, key, value] {
      Put(key, value);
      return version;
    });
  }
  void Delete(std::string key, std::uint64_t, WriteCallback callback) override {
    Later<std::uint64_t>(std::move(callback), [this, key] {
      Erase(key);
      return version;
    });
  }
  void GrantLease(std::chrono::milliseconds, LeaseCallback callback) override {
    Later<StoreLeaseId>(std::move(callback), [] { return StoreLeaseId{7}; });
  }
  void KeepLeaseAlive(StoreLeaseId, DoneCallback callback) override {
    m_calls.push_back(m_time.ScheduleAfter(kDelay, [this, callback] {
      callback(failure ? Result<void>(MakeError(*failure, "test")) : Result<void>());
    }));
  }
  void RevokeLease(StoreLeaseId, DoneCallback) override {}
  void Watch(std::string,
             std::uint64_t after,
             std::chrono::milliseconds,
             BatchCallback callback) override {
    last_watch_after = after;
    watches.push_back(std::move(callback));
  }

 private:
  static constexpr Duration kDelay = std::chrono::milliseconds(2);

  template <typename Value, typename Make>
  void Later(std::function<void(Result<Value>)> callback, Make make) {
    m_calls.push_back(m_time.ScheduleAfter(kDelay, [this, callback, make] {
      callback(failure ? Result<Value>(MakeError(*failure, "test")) : Result<Value>(make()));
    }));
  }

  BatchCallback TakeWatch() {
    BatchCallback callback = std::move(watches.front());
    watches.pop_front();
    return callback;
  }

  VirtualTime& m_time;
  std::vector<std::unique_ptr<ScheduledCall>> m_calls;
};

/** Reports unused connections to the servers in `servers`. */
struct FakeIdleConnections final : IdleConnections {
  bool HasIdle(const BackendServerName& server) const override { return servers.contains(server); }
  std::set<BackendServerName> servers;
};

/** Records the latest value of each key. */
struct RecordingMirrorListener final : MirrorListener {
  void OnMirrorAdvanced() override { ++advances; }
  void OnMirroredRecord(const MirroredRecord& record, RecordOrigin) override {
    if (record.key == throws_for) {
      throw std::runtime_error("not taken");
    }
    values[record.key] = record.value;
  }
  int advances = 0;
  std::string throws_for;
  std::map<std::string, std::optional<std::string>> values;
};

/** Records the last order for each server and answers with `answer`. */
struct RecordingLayerOrders final : LayerOrders {
  void Place(const ServerEntry& server,
             LayerRange layers,
             std::uint64_t,
             std::function<void(Result<void>)> callback) override {
    placed[server.name] = layers;
    ++count;
    callback(answer);
  }
  std::map<std::string, LayerRange> placed;
  Result<void> answer{};
  int count = 0;
};

}  // namespace zinnia
