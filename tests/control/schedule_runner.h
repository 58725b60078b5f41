#pragma once

#include <fmt/format.h>

#include <map>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "tests/control/control_fleet.h"

namespace zinnia {

enum class ScheduleAction {
  kChange,
  kRacingChanges,
  kLoseAnswer,
  kStoreOutage,
  kStoreBack,
  kStoreSlow,
  kCrash,
  kRestart,
  kPause,
  kResume,
  kCut,
  kHeal,
  kLossy,
  kCutFromStore,
  kEngineLeaves,
  kListFlaps,
  kWait,
  kCount,
};

struct ScheduleStep {
  ScheduleAction action = ScheduleAction::kWait;
  std::uint32_t choice = 0;
  std::uint32_t wait_ms = 0;
};

inline std::ostream& operator<<(std::ostream& out, const ScheduleStep& step) {
  return out << fmt::format("action {} choice {} wait {} ms", static_cast<int>(step.action),
                            step.choice, step.wait_ms);
}

/** Runs a schedule of failures and operators' changes over real control cores, then heals all
    failures. Checks invariants on every instance throughout and returns the first violation, or an
    empty string. */
class ScheduleRunner {
 public:
  explicit ScheduleRunner(std::uint64_t seed) : m_fleet(kInstances, seed) {
    m_fleet.AddServer("b-0", {0, 8});
    m_fleet.AddServer("b-1", {0, 8});
  }

  std::string Run(const std::vector<ScheduleStep>& steps) {
    m_fleet.StartAll();
    Advance(3'000);
    for (const ScheduleStep& step : steps) {
      Do(step);
      Advance(step.wait_ms);
    }
    HealAll();
    Advance(kHealingMs);
    CheckEnd();
    return m_violation;
  }

  std::uint64_t accepted() const { return m_accepted.size(); }

 private:
  static constexpr std::size_t kInstances = 5;
  static constexpr std::size_t kPaths = 4;
  static constexpr std::uint32_t kHealingMs = 45'000;
  static constexpr std::uint32_t kCheckIntervalMs = 250;

  struct Ordered {
    std::string path;
    int weight = 0;
    std::shared_ptr<std::optional<Result<ConfigurationRevision>>> answer;
  };

  void Do(const ScheduleStep& step) {
    const std::size_t index = step.choice % kInstances;
    switch (step.action) {
      case ScheduleAction::kChange:
        return Order(index, step.choice);
      case ScheduleAction::kRacingChanges:
        Order(index, step.choice);
        return Order((index + 1) % kInstances, step.choice / 2);
      case ScheduleAction::kLoseAnswer:
        m_fleet.store.responses_to_lose += 1 + static_cast<int>(step.choice % 2);
        return;
      case ScheduleAction::kStoreOutage:
        m_fleet.store.outage = true;
        return;
      case ScheduleAction::kStoreBack:
        m_fleet.store.outage = false;
        return;
      case ScheduleAction::kStoreSlow:
        m_fleet.store.delay = std::chrono::milliseconds(1 + step.choice % 400);
        return;
      case ScheduleAction::kCrash:
        if (m_fleet.UpCount() > 2 && m_fleet.IsUp(index)) {
          m_fleet.Crash(index);
        }
        return;
      case ScheduleAction::kRestart:
        return m_fleet.Restart(index);
      case ScheduleAction::kPause:
      case ScheduleAction::kResume:
      case ScheduleAction::kCutFromStore:
        return DoProcess(step.action, index);
      case ScheduleAction::kCut:
        return m_fleet.Cut(1 + index % (kInstances - 1));
      case ScheduleAction::kHeal:
        return m_fleet.Heal();
      case ScheduleAction::kLossy:
        m_fleet.network.drop = 0.1 * (step.choice % 4);
        m_fleet.network.doubled = 0.1 * (step.choice % 3);
        return;
      case ScheduleAction::kEngineLeaves:
        m_fleet.engines.states["b-1"].leaving = step.choice % 4 != 0;
        return;
      case ScheduleAction::kListFlaps:
        m_fleet.Listed("b-1").leaving = step.choice % 2 == 0;
        return;
      case ScheduleAction::kWait:
      case ScheduleAction::kCount:
        return;
    }
  }

  void DoProcess(ScheduleAction action, std::size_t index) {
    if (!m_fleet.IsUp(index)) {
      return;
    }
    ControlFleet::Process& process = *m_fleet.processes[index];
    if (action == ScheduleAction::kPause) {
      process.scheduler.Pause();
    } else if (action == ScheduleAction::kResume) {
      process.scheduler.Resume();
    } else {
      process.store.cut = !process.store.cut;
    }
  }

  void Order(std::size_t index, std::uint32_t choice) {
    if (!m_fleet.IsUp(index) || m_fleet.processes[index]->scheduler.IsPaused()) {
      return;
    }
    const std::string name = fmt::format("organisation-{}", choice % kPaths);
    const int weight = ++m_next_weight;
    m_ordered.push_back(
        {name, weight,
         m_fleet.Change(index, m_fleet.RevisionAt(index), {OrganisationPath(name, weight)})});
  }

  void Advance(std::uint32_t milliseconds) {
    for (std::uint32_t done = 0; done < milliseconds; done += kCheckIntervalMs) {
      m_fleet.time.AdvanceBy(
          std::chrono::milliseconds(std::min(kCheckIntervalMs, milliseconds - done)));
      CheckInvariants();
    }
    CheckInvariants();
  }

  void CheckInvariants() {
    for (const Ordered& ordered : m_ordered) {
      if (*ordered.answer && (*ordered.answer)->has_value()) {
        m_accepted[***ordered.answer] = {ordered.path, ordered.weight};
      }
    }
    for (std::size_t index = 0; index < kInstances; ++index) {
      if (m_fleet.IsUp(index)) {
        CheckInstance(index);
      }
    }
  }

  void CheckInstance(std::size_t index) {
    const std::string process =
        fmt::format("{}/{}", m_fleet.instances[index].name, m_fleet.instances[index].start);
    const auto configuration = m_fleet.At(index).ConfigurationInForce().Current();
    ConfigurationRevision& highest = m_highest[process];
    if (configuration->revision() < highest) {
      ReportViolation(fmt::format("{} went back from revision {} to {}", process, highest,
                                  configuration->revision()));
    }
    highest = configuration->revision();
    std::map<std::string, int> content;
    for (const auto& [name, organisation] : configuration->organisations()) {
      content[name] = static_cast<int>(organisation.weight);
    }
    const auto [known, first] = m_contents.try_emplace(highest, content);
    if (!first && known->second != content) {
      ReportViolation(fmt::format("{} has another content at revision {}", process, highest));
    }
    const bool leaving = m_fleet.StateAt(index, "b-1") == BackendServerState::kLeaving;
    bool& seen = m_seen_leaving[process];
    if (seen && !leaving) {
      ReportViolation(process + " gives new work to a server that was leaving");
    }
    seen = seen || leaving;
  }

  void HealAll() {
    m_fleet.Heal();
    m_fleet.network.drop = 0.0;
    m_fleet.network.doubled = 0.0;
    m_fleet.store.outage = false;
    m_fleet.store.responses_to_lose = 0;
    m_fleet.store.delay = std::chrono::milliseconds(2);
    for (std::size_t index = 0; index < kInstances; ++index) {
      if (!m_fleet.IsUp(index)) {
        m_fleet.Restart(index);
      }
      m_fleet.processes[index]->store.cut = false;
      m_fleet.processes[index]->scheduler.Resume();
    }
  }

  void CheckEnd() {
    if (!m_fleet.MembershipConverged()) {
      ReportViolation("membership did not converge");
    }
    const ConfigurationRevision revision = m_fleet.RevisionAt(0);
    if (!m_fleet.AllAt(revision)) {
      ReportViolation("instances hold different revisions after healing");
    }
    if (!m_accepted.empty() && m_accepted.rbegin()->first > revision) {
      ReportViolation("an accepted change is not in force");
    }
    CheckAcceptedInForce();
    bool marked = false;
    for (const auto& [process, seen] : m_seen_leaving) {
      marked = marked || seen;
    }
    for (std::size_t index = 0; index < kInstances && marked && MarkSeenByRunningProcess();
         ++index) {
      if (m_fleet.StateAt(index, "b-1") != BackendServerState::kLeaving) {
        ReportViolation("an instance gives new work to a leaving server after healing");
      }
    }
  }

  /** Whether a running process has seen the mark; otherwise it may be lost. */
  bool MarkSeenByRunningProcess() {
    for (const Instance& instance : m_fleet.instances) {
      if (m_seen_leaving[fmt::format("{}/{}", instance.name, instance.start)]) {
        return true;
      }
    }
    return false;
  }

  /** Checks that the content at each accepted revision includes its change. */
  void CheckAcceptedInForce() {
    for (const auto& [revision, change] : m_accepted) {
      const auto content = m_contents.find(revision);
      if (content != m_contents.end() && content->second[change.first] != change.second) {
        ReportViolation(fmt::format("revision {} does not hold its change", revision));
      }
    }
    std::map<std::string, int> weights;
    for (const auto& [revision, change] : m_accepted) {
      weights[change.first] = change.second;
    }
    const auto now = m_fleet.At(0).ConfigurationInForce().Current();
    for (const auto& [name, weight] : weights) {
      const auto found = now->organisations().find(name);
      const int in_force =
          found == now->organisations().end() ? 0 : static_cast<int>(found->second.weight);
      if (in_force != weight && !IsOpen(name, in_force)) {
        ReportViolation(fmt::format("{} has weight {}, accepted was {}", name, in_force, weight));
      }
    }
  }

  /** Whether the outcome of the change is unknown, so that it may or may not be in force. */
  bool IsOpen(const std::string& path, int weight) const {
    for (const Ordered& ordered : m_ordered) {
      if (ordered.path == path && ordered.weight == weight) {
        return !*ordered.answer || ((*ordered.answer)->has_error() &&
                                    (*ordered.answer)->error().was_run == WasRun::kUnknown);
      }
    }
    return false;
  }

  void ReportViolation(const std::string& what) {
    if (m_violation.empty()) {
      m_violation = what;
    }
  }

  ControlFleet m_fleet;
  int m_next_weight = 0;
  std::vector<Ordered> m_ordered;
  std::map<ConfigurationRevision, std::pair<std::string, int>> m_accepted;
  std::map<ConfigurationRevision, std::map<std::string, int>> m_contents;
  std::map<std::string, ConfigurationRevision> m_highest;
  std::map<std::string, bool> m_seen_leaving;
  std::string m_violation;
};

}  // namespace zinnia
