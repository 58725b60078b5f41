#pragma once

#include <fmt/format.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "tests/control/process_scheduler.h"
#include "zinnia_base/decisions/decision_record.h"
#include "zinnia_base/logging/logger.h"
#include "zinnia_decisions/ports/engine_orders.h"
#include "zinnia_decisions/ports/instance_list.h"

namespace zinnia {

/** The contents of the simulated platform's list, with outages. */
struct FakeListState {
  InstanceListing listing;
  bool outage = false;
  std::uint64_t reads = 0;
};

class FakeInstanceList final : public InstanceList {
 public:
  FakeInstanceList(FakeListState& state, ProcessScheduler& scheduler)
      : m_state(state), m_scheduler(scheduler) {}

  void Read(Callback callback) override {
    ++m_state.reads;
    m_scheduler.Post(std::chrono::milliseconds(2), [this, callback = std::move(callback)] {
      if (m_state.outage) {
        callback(MakeError(ErrorKind::kBackendUnavailable, "list outage"));
      } else {
        callback(m_state.listing);
      }
    });
  }

 private:
  FakeListState& m_state;
  ProcessScheduler& m_scheduler;
};

/** The states reported by simulated engines; a server without a state does not answer. */
struct FakeEngineStates {
  std::map<BackendServerName, EngineState> states;
  std::uint64_t reads = 0;
};

class FakeEngines final : public EngineOrders {
 public:
  FakeEngines(FakeEngineStates& engines, ProcessScheduler& scheduler)
      : m_engines(engines), m_scheduler(scheduler) {}

  bool cut = false;

  void Order(const BackendServerName&, LoadOrder, std::function<void(Result<void>)>) override {}

  void ReadState(const BackendServerName& server,
                 std::function<void(Result<EngineState>)> callback) override {
    ++m_engines.reads;
    m_scheduler.Post(std::chrono::milliseconds(2), [this, server, callback = std::move(callback)] {
      const auto found = m_engines.states.find(server);
      if (cut || found == m_engines.states.end()) {
        callback(MakeError(ErrorKind::kBackendUnavailable, "no answer"));
      } else {
        callback(found->second);
      }
    });
  }

 private:
  FakeEngineStates& m_engines;
  ProcessScheduler& m_scheduler;
};

class RecordedDecisions final : public DecisionRecorder {
 public:
  void Record(DecisionRecord record) override { records.push_back(std::move(record)); }

  bool Has(const std::string& decision) const {
    for (const DecisionRecord& record : records) {
      if (record.decision == decision) {
        return true;
      }
    }
    return false;
  }

  std::vector<DecisionRecord> records;
};

class SilentLogger final : public Logger {
 public:
  void Log(LogLevel, std::string_view, std::initializer_list<LogField>) override {}
};

}  // namespace zinnia
