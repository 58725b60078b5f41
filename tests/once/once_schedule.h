#pragma once

#include <string>
#include <vector>

#include "tests/once/once_world.h"

namespace zinnia {

/** Runs a random schedule of calls and faults, repairs all faults, and checks the callers' results
    against the service's ledger. */
class OnceSchedule {
 public:
  explicit OnceSchedule(std::uint64_t seed)
      : m_random(seed), m_world(seed, 3 + RandomBelow(m_random, 2), Settings()) {}

  /** Returns the violations, or an empty list. */
  std::vector<std::string> Run() {
    const std::uint64_t steps = 10 + RandomBelow(m_random, 15);
    for (std::uint64_t step = 0; step < steps; ++step) {
      Act();
      m_world.time.AdvanceBy(
          std::chrono::milliseconds(1 + RandomBelow(m_random, Chance(0.2) ? 3'000 : 150)));
    }
    Heal();
    m_world.Advance(std::chrono::seconds(25));
    CheckTold();
    CheckAvailable();
    return m_violations;
  }

 private:
  static constexpr std::size_t kKeys = 4;

  static OnceSettings Settings() {
    OnceSettings settings;
    settings.partitions = 2;
    settings.segment_bytes = 1'000;
    return settings;
  }

  bool Chance(double probability) { return RandomUnit(m_random) < probability; }

  FakeInstance& AnyInstance() {
    FakeInstance* instance = nullptr;
    do {
      instance = m_world.instances[RandomBelow(m_random, m_world.instances.size())].get();
    } while (instance->thread().IsKilled());
    return *instance;
  }

  void Act() {
    switch (RandomBelow(m_random, 12)) {
      case 0:
        return AnyInstance().thread().Pause();
      case 1:
        return AnyInstance().thread().Wake();
      case 2:
        return Replace();
      case 3:
        m_world.store.faults.outage = Chance(0.4);
        return;
      case 4:
        m_world.store.faults.lose_answer = Chance(0.5) ? 0.4 : 0.0;
        return;
      case 5:
        m_world.store.faults.one_way = std::chrono::microseconds(Chance(0.2) ? 400'000 : 1'500);
        return;
      case 6:
        m_world.lose_reply = Chance(0.5) ? 0.3 : 0.0;
        m_world.refuse_call = Chance(0.3) ? 0.3 : 0.0;
        return;
      case 7:
        m_world.believed_dead.clear();
        m_world.believed_dead.insert(AnyInstance().Self().name);
        m_world.sees_killed_as_live = Chance(0.5);
        return;
      case 8:
        m_world.dispatch_delay = std::chrono::milliseconds(Chance(0.2) ? 11'000 : 5);
        return;
      default:
        for (std::uint64_t i = 0; i <= RandomBelow(m_random, 3); ++i) {
          Call();
        }
    }
  }

  void Call() {
    const std::string key = "k" + std::to_string(RandomBelow(m_random, kKeys));
    m_requests.push_back(AnyInstance().Call(key, Chance(0.1) ? "other" : "body"));
  }

  void Replace() {
    if (Chance(0.3)) {
      AnyInstance().coordinator().HandOver([] {});
    } else {
      m_killed = true;
      AnyInstance().Kill();
    }
    m_world.Add();
  }

  void Heal() {
    m_world.store.faults = {};
    m_world.lose_reply = 0.0;
    m_world.refuse_call = 0.0;
    m_world.believed_dead.clear();
    m_world.sees_killed_as_live = false;
    m_world.dispatch_delay = {};
    for (const auto& instance : m_world.instances) {
      instance->thread().Wake();
    }
  }

  void CheckTold() {
    for (const auto& [key, runs] : m_world.ledger.runs) {
      Expect(runs.size() <= 1, key + " ran " + std::to_string(runs.size()) + " times");
    }
    for (const auto& request : m_requests) {
      const bool ran = m_world.ledger.request_ids.contains(request->id);
      Expect(!ran || request->caller_result == CallerResult::kAnswered ||
                 request->caller_result == CallerResult::kNothing,
             request->id + " ran, but its caller got another result");
      if (request->caller_result == CallerResult::kAnswered) {
        const auto& runs = m_world.ledger.runs[request->key];
        Expect(!runs.empty() && request->answer == "booked by " + runs.front(),
               request->id + " got an answer that no run gave");
      }
    }
  }

  /** After the repair, every instance must serve new keys, and a key that never ran must be free
      unless an instance that may have had its grant was killed. */
  void CheckAvailable() {
    std::vector<std::shared_ptr<CallerRequest>> fresh;
    for (std::size_t i = 0; i < m_world.instances.size(); ++i) {
      if (!m_world[i].thread().IsKilled()) {
        fresh.push_back(m_world[i].Call("fresh" + std::to_string(i), "body"));
      }
    }
    for (std::size_t k = 0; k < kKeys && !m_killed; ++k) {
      const std::string key = "k" + std::to_string(k);
      if (m_world.ledger.runs[key].empty()) {
        fresh.push_back(AnyInstance().Call(key, "body"));
      }
    }
    m_world.Advance(std::chrono::seconds(5));
    for (const auto& request : fresh) {
      Expect(request->caller_result == CallerResult::kAnswered,
             request->key + " is not served after the repair: result " +
                 std::to_string(static_cast<int>(request->caller_result)) + " " + request->error);
    }
    CheckTold();
  }

  void Expect(bool holds, const std::string& what) {
    if (!holds) {
      m_violations.push_back(what);
    }
  }

  RandomSource m_random;
  OnceWorld m_world;
  std::vector<std::shared_ptr<CallerRequest>> m_requests;
  std::vector<std::string> m_violations;
  bool m_killed = false;
};

}  // namespace zinnia
