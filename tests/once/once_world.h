#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "tests/once/fake_store.h"
#include "zinnia_base/decisions/decision_record.h"
#include "zinnia_decisions/once/dispatch_window.h"
#include "zinnia_decisions/once/once_coordinator.h"
#include "zinnia_decisions/ports/peer_transport.h"

namespace zinnia {

/** The result that a caller received. kNothing: the connection closed with the instance. */
enum class CallerResult { kNothing, kNotRun, kAnswered, kUnknown, kReused };

struct CallerRequest {
  std::string id;
  std::string key;
  std::string body;
  CallerResult caller_result = CallerResult::kNothing;
  std::string answer;
  std::string error;
  TimePoint result_at{};
};

/** The backend service's log of runs: for each key, the requests that caused a run. */
struct ServiceLedger {
  std::map<std::string, std::vector<std::string>> runs;
  std::set<std::string> request_ids;
};

class OnceWorld;

/** One fake instance: a coordinator with its thread, store client, peers and membership view. */
class FakeInstance final : public PeerTransport, public MembershipView, public DecisionRecorder {
 public:
  FakeInstance(OnceWorld& world, std::string name, std::uint16_t port, std::uint64_t start);

  void SendProbe(const NetworkAddress&, const ProbeMessage&) override {}
  void FetchConfiguration(const NetworkAddress&,
                          ConfigurationRevision,
                          std::function<void(Result<ConfigurationDelta>)>) override {}
  void BeginIntent(const NetworkAddress& holder,
                   IntentRequest request,
                   std::function<void(Result<IntentReply>)> callback) override;
  void ReportOutcome(const NetworkAddress& holder,
                     IntentOutcome outcome,
                     std::function<void(Result<void>)> callback) override;
  const Instance& Self() const override { return m_self; }
  std::vector<Instance> LiveInstances() const override;
  void AddListener(MembershipListener&) override {}
  void RemoveListener(MembershipListener&) override {}
  void Record(DecisionRecord record) override { decisions.push_back(std::move(record)); }

  /** Handles a caller's request: calls Begin, runs the service if granted and returns the result.
   */
  std::shared_ptr<CallerRequest> Call(const std::string& key, const std::string& body);

  OnceCoordinator& coordinator() { return *m_coordinator; }
  FakeThread& thread() { return m_thread; }
  void Kill() {
    m_thread.Kill();
    m_coordinator.reset();
  }

  std::vector<DecisionRecord> decisions;

 private:
  template <typename Reply>
  void Send(const NetworkAddress& to,
            std::function<void(OnceCoordinator&, std::function<void(Result<Reply>)>)> call,
            std::function<void(Result<Reply>)> callback);
  void OnVerdict(const std::shared_ptr<CallerRequest>& request,
                 DispatchWindow window,
                 const Result<IntentReply>& result);
  void Dispatch(const std::shared_ptr<CallerRequest>& request,
                const DispatchWindow& window,
                const IntentReply& reply);
  void Tell(CallerRequest& request, CallerResult caller_result, std::string answer = "");

  OnceWorld& m_world;
  Instance m_self;
  FakeThread m_thread;
  FakeStoreClient m_store;
  std::unique_ptr<OnceCoordinator> m_coordinator;
};

/** Several instances with a shared store and a backend service. */
class OnceWorld {
 public:
  OnceWorld(std::uint64_t seed, std::size_t instances, OnceSettings settings = {})
      : random(seed), store(time, seed + 1), call_scheduler(time), settings(settings) {
    for (std::size_t i = 0; i < instances; ++i) {
      Add();
    }
  }

  FakeInstance& Add() {
    const std::uint64_t number = ++started;
    this->instances.push_back(std::make_unique<FakeInstance>(
        *this, "i" + std::to_string(number), static_cast<std::uint16_t>(7000 + number), number));
    return *this->instances.back();
  }

  FakeInstance* Find(const NetworkAddress& address) {
    for (const auto& instance : instances) {
      if (instance->Self().peer_address == address && !instance->thread().IsKilled()) {
        return instance.get();
      }
    }
    return nullptr;
  }

  FakeInstance& operator[](std::size_t index) { return *instances[index]; }
  void Advance(std::chrono::milliseconds duration) { time.AdvanceBy(duration); }

  /** Returns a running instance that holds partitions, or the first instance. */
  FakeInstance& Holder() {
    FakeInstance* best = instances.front().get();
    for (const auto& instance : instances) {
      if (!instance->thread().IsKilled() && !instance->thread().IsPaused() &&
          instance->coordinator().HeldPartitions() > 0) {
        best = instance.get();
      }
    }
    return *best;
  }

  /** Returns the number of decision records with this name on all instances. */
  std::size_t Count(const std::string& decision) const {
    std::size_t count = 0;
    for (const auto& instance : instances) {
      count += static_cast<std::size_t>(
          std::count_if(instance->decisions.begin(), instance->decisions.end(),
                        [&](const DecisionRecord& record) { return record.decision == decision; }));
    }
    return count;
  }

  VirtualTime time;
  RandomSource random;
  FakeStore store;
  CallScheduler call_scheduler;
  OnceSettings settings;
  ServiceLedger ledger;
  std::vector<std::unique_ptr<FakeInstance>> instances;
  std::uint64_t started = 0;
  std::uint64_t next_request = 0;

  /** Delays and faults of the network. */
  double lose_reply = 0.0;
  double refuse_call = 0.0;
  Duration peer_one_way = std::chrono::microseconds(300);
  Duration peer_timeout = std::chrono::seconds(3);
  Duration service_time = std::chrono::milliseconds(20);
  Duration dispatch_delay{};
  std::set<std::string> believed_dead;
  bool sees_killed_as_live = false;

  /** Only `mistaken_instance` has `missed_instance` missing in its membership view. */
  std::string mistaken_instance;
  std::string missed_instance;
};

inline FakeInstance::FakeInstance(OnceWorld& world,
                                  std::string name,
                                  std::uint16_t port,
                                  std::uint64_t start)
    : m_world(world),
      m_self{std::move(name), {"127.0.0.1", port}, "domain", "region", start},
      m_thread(world.time),
      m_store(world.store, m_thread) {
  m_coordinator =
      std::move(OnceCoordinator::Create({world.time, m_thread, m_store, *this, *this, *this},
                                        world.settings, world.random())
                    .value());
  m_coordinator->Start();
}

inline std::vector<Instance> FakeInstance::LiveInstances() const {
  std::vector<Instance> live;
  for (const auto& instance : m_world.instances) {
    const bool dead = (instance->m_thread.IsKilled() && !m_world.sees_killed_as_live) ||
                      m_world.believed_dead.contains(instance->m_self.name) ||
                      (m_world.mistaken_instance == m_self.name &&
                       m_world.missed_instance == instance->m_self.name);
    if (instance.get() == this || !dead) {
      live.push_back(instance->m_self);
    }
  }
  return live;
}

template <typename Reply>
void FakeInstance::Send(
    const NetworkAddress& to,
    std::function<void(OnceCoordinator&, std::function<void(Result<Reply>)>)> call,
    std::function<void(Result<Reply>)> callback) {
  auto once = std::make_shared<std::function<void(Result<Reply>)>>(std::move(callback));
  auto answer = [this, once](Result<Reply> result) {
    m_thread.Run([once, result] {
      if (const auto wanted = std::exchange(*once, nullptr)) {
        wanted(result);
      }
    });
  };
  FakeInstance* target = m_world.Find(to);
  if (target == nullptr || RandomUnit(m_world.random) < m_world.refuse_call) {
    return m_world.call_scheduler.Post(m_world.peer_one_way, [answer] {
      answer(MakeError(ErrorKind::kPeerUnavailable, "refused"));
    });
  }
  m_world.call_scheduler.Post(m_world.peer_timeout, [answer] {
    answer(MakeError(ErrorKind::kOutcomeUnknown, "no answer"));
  });
  m_world.call_scheduler.Post(m_world.peer_one_way, [this, target, call, answer] {
    target->m_thread.Run([this, target, call, answer] {
      call(*target->m_coordinator, [this, answer](Result<Reply> result) {
        if (RandomUnit(m_world.random) < m_world.lose_reply) {
          result = MakeError(ErrorKind::kOutcomeUnknown, "reply lost");
        }
        m_world.call_scheduler.Post(m_world.peer_one_way, [answer, result] { answer(result); });
      });
    });
  });
}

inline void FakeInstance::BeginIntent(const NetworkAddress& holder,
                                      IntentRequest request,
                                      std::function<void(Result<IntentReply>)> callback) {
  Send<IntentReply>(
      holder,
      [request](OnceCoordinator& target, std::function<void(Result<IntentReply>)> reply) {
        target.OnBeginIntent(request, std::move(reply));
      },
      std::move(callback));
}

inline void FakeInstance::ReportOutcome(const NetworkAddress& holder,
                                        IntentOutcome outcome,
                                        std::function<void(Result<void>)> callback) {
  Send<void>(
      holder,
      [outcome](OnceCoordinator& target, std::function<void(Result<void>)> reply) {
        target.OnReportOutcome(outcome, std::move(reply));
      },
      std::move(callback));
}

inline std::shared_ptr<CallerRequest> FakeInstance::Call(const std::string& key,
                                                         const std::string& body) {
  auto request = std::make_shared<CallerRequest>();
  request->id = "r" + std::to_string(++m_world.next_request);
  request->key = key;
  request->body = body;
  m_thread.Run([this, request] {
    const DispatchWindow window(m_world.time);
    IntentRequest intent{0, "kitanda", request->key, Fingerprint::Of(request->body)};
    intent.request_id = request->id;
    m_coordinator->Begin(intent, [this, request, window](const Result<IntentReply>& result) {
      OnVerdict(request, window, result);
    });
  });
  return request;
}

inline void FakeInstance::OnVerdict(const std::shared_ptr<CallerRequest>& request,
                                    DispatchWindow window,
                                    const Result<IntentReply>& result) {
  if (!result) {
    request->error = Describe(result.error());
    return Tell(*request, result.error().was_run == WasRun::kNo ? CallerResult::kNotRun
                                                                : CallerResult::kUnknown);
  }
  switch (result->verdict) {
    case IntentVerdict::kAnswered:
      return Tell(*request, CallerResult::kAnswered, result->answer->body);
    case IntentVerdict::kStarted:
      return Tell(*request, CallerResult::kUnknown);
    case IntentVerdict::kKeyReused:
      return Tell(*request, CallerResult::kReused);
    case IntentVerdict::kGranted:
      break;
  }
  m_world.call_scheduler.Post(m_world.dispatch_delay, [this, request, window, reply = *result] {
    m_thread.Run([this, request, window, reply] { Dispatch(request, window, reply); });
  });
}

inline void FakeInstance::Dispatch(const std::shared_ptr<CallerRequest>& request,
                                   const DispatchWindow& window,
                                   const IntentReply& reply) {
  IntentOutcome outcome{0, "kitanda", request->key, request->id, std::nullopt};
  if (!window.MayDispatch(reply)) {
    m_coordinator->Report(outcome, [](const Result<void>&) {});
    return Tell(*request, CallerResult::kNotRun);
  }
  m_world.ledger.runs[request->key].push_back(request->id);
  m_world.ledger.request_ids.insert(request->id);
  m_world.call_scheduler.Post(m_world.service_time, [this, request, outcome]() mutable {
    m_thread.Run([this, request, outcome]() mutable {
      outcome.answer = RecordedAnswer{201, "text/plain", "booked by " + request->id};
      m_coordinator->Report(outcome, [](const Result<void>&) {});
      Tell(*request, CallerResult::kAnswered, outcome.answer->body);
    });
  });
}

inline void FakeInstance::Tell(CallerRequest& request,
                               CallerResult caller_result,
                               std::string answer) {
  request.caller_result = caller_result;
  request.answer = std::move(answer);
  request.result_at = m_world.time.Now();
}

}  // namespace zinnia
