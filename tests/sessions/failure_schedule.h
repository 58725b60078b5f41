#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "tests/sessions/session_world.h"
#include "zinnia_base/random/random_source.h"

namespace zinnia {

/** The kinds of failure in a random schedule. */
enum class FailureKind {
  kCrash,
  kFreeze,
  kFreezeAndWake,
  kStepFault,
  kSlowLink,
  kPlannedLeave,
  kInterruptTransfer,
  kInstanceFails,
  kTwoInstances,
  kCancel,
  kCount
};

/** One failure and its delay after the previous one. `server` and `detail` are arbitrary numbers,
    reduced modulo the number of choices. */
struct PlannedFailure {
  std::uint32_t after_ms = 0;
  FailureKind kind = FailureKind::kCrash;
  std::uint32_t server = 0;
  std::uint32_t detail = 0;
};

/** Runs one session under a schedule of failures and checks its guarantees. Deterministic for a
    given schedule. */
class FailureSchedule {
 public:
  /** `expected` is the text of the same answer without failures. */
  FailureSchedule(std::vector<PlannedFailure> failures, std::string expected)
      : m_failures(std::move(failures)), m_expected(std::move(expected)), m_world(kReplicas) {}

  static std::vector<PlannedFailure> Draw(std::uint64_t seed) {
    constexpr std::uint64_t kMostFailures = 4;
    RandomSource random(seed);
    std::vector<PlannedFailure> failures(1 + RandomBelow(random, kMostFailures));
    for (PlannedFailure& failure : failures) {
      // Half of the failures follow closely, to occur during a recovery.
      const std::uint64_t longest_ms = RandomBelow(random, 2) == 0 ? 30 : 250;
      failure.after_ms = static_cast<std::uint32_t>(RandomBelow(random, longest_ms));
      failure.kind = static_cast<FailureKind>(
          RandomBelow(random, static_cast<std::uint64_t>(FailureKind::kCount)));
      failure.server = static_cast<std::uint32_t>(random());
      failure.detail = static_cast<std::uint32_t>(random());
    }
    return failures;
  }

  /** Runs the schedule and returns a description of the violation, or an empty string. */
  std::string Run() {
    m_caller = std::make_shared<FakeCaller>();
    m_driver = m_world.Start(m_caller);
    for (const PlannedFailure& failure : m_failures) {
      m_world.time.AdvanceBy(std::chrono::milliseconds(failure.after_ms));
      Inject(failure);
    }
    m_world.RunToCompletion();
    return CheckGuarantees();
  }

  const SessionWorld& World() const { return m_world; }
  bool IsComplete() const { return m_caller->usage.has_value(); }

 private:
  static constexpr std::uint32_t kReplicas = 3;
  static constexpr std::uint32_t kMaxTokens = 12;

  BackendServerName Choose(std::uint32_t number) const {
    // Prefers servers on the route, since failures of others have little effect.
    const auto route = m_driver->Status().route;
    const std::uint32_t hop = number % 3;
    const std::uint32_t rest = number / 3;
    if (!route.hops.empty() && rest % 4 != 0) {
      return route.hops[hop].server;
    }
    return std::string(1, static_cast<char>('a' + hop)) + std::to_string(1 + rest / 4 % kReplicas);
  }

  void Inject(const PlannedFailure& failure) {
    const BackendServerName server = Choose(failure.server);
    constexpr auto kStepFaults = static_cast<std::uint32_t>(StepFault::kSilence);
    constexpr int kSlowdown = 100;
    switch (failure.kind) {
      case FailureKind::kCrash:
        m_world.stages.Crash(server);
        break;
      case FailureKind::kFreeze:
        m_world.stages.Freeze(server);
        break;
      case FailureKind::kFreezeAndWake:
        m_world.stages.Freeze(server);
        WakeLater(server, failure.detail);
        break;
      case FailureKind::kStepFault:
        m_world.stages.AddFault(server, static_cast<StepFault>(failure.detail % kStepFaults));
        break;
      case FailureKind::kSlowLink:
        m_world.stages.SlowLink(server, kSlowdown);
        break;
      case FailureKind::kPlannedLeave:
        m_world.SetState(server, BackendServerState::kLeaving);
        m_driver->LeaveDrainingServers();
        break;
      case FailureKind::kInterruptTransfer:
        m_world.stages.InterruptNextTransfer();
        break;
      case FailureKind::kInstanceFails:
        Resume(false);
        break;
      case FailureKind::kTwoInstances:
        Resume(true);
        break;
      default:
        m_driver->Cancel();
        m_tokens_at_cancel = m_caller->tokens;
        m_cancelled = m_caller->final_events == 0;
        break;
    }
  }

  void WakeLater(const BackendServerName& server, std::uint32_t detail) {
    const std::chrono::milliseconds delay(5 + detail % 200);
    m_wakes.push_back(
        m_world.time.ScheduleAfter(delay, [this, server] { m_world.stages.Wake(server); }));
  }

  /** Resumes at another instance from the last event id. */
  void Resume(bool old_instance_lives_on) {
    if (m_cancelled || m_caller->final_events > 0 || m_caller->last_event_id.empty()) {
      return;
    }
    m_text_before += m_caller->text;
    const std::string event_id = m_caller->last_event_id;
    if (old_instance_lives_on) {
      m_old_drivers.push_back(m_driver);
      m_old_callers.push_back(m_caller);
    }
    m_caller = std::make_shared<FakeCaller>();
    m_driver = m_world.Resume(m_caller, event_id);
  }

  std::string CheckGuarantees() const {
    const std::string text = m_text_before + m_caller->text;
    if (m_cancelled) {
      const bool silent = m_caller->final_events == 0 && m_caller->tokens == m_tokens_at_cancel;
      return silent ? "" : "something was delivered after the cancellation";
    }
    if (m_caller->final_events != 1) {
      return std::to_string(m_caller->final_events) + " final events";
    }
    if (!m_expected.starts_with(text)) {
      return "another text was delivered: " + text;
    }
    return m_caller->error ? CheckError(*m_caller->error) : CheckCompleteAnswer(text);
  }

  std::string CheckError(const Error& error) const {
    const bool was_run = m_world.stages.Ledger().WasRun("s-1");
    if (error.was_run == WasRun::kNo && was_run) {
      return "said not run, but was run";
    }
    return error.kind == ErrorKind::kRecoveryFailed ? "" : "ended with " + Describe(error);
  }

  std::string CheckCompleteAnswer(const std::string& text) const {
    if (text != m_expected) {
      return "the answer was called whole but is cut: " + text;
    }
    const AttemptNumber attempt = m_driver->Status().attempt;
    const bool found_complete = attempt == 0;
    return found_complete ? ""
                          : m_world.stages.Ledger().FindViolation(
                                "s-1", attempt, SessionWorld::kLayers,
                                SessionWorld::kPromptTokens + kMaxTokens - 1);
  }

  const std::vector<PlannedFailure> m_failures;
  const std::string m_expected;
  SessionWorld m_world;
  std::vector<std::unique_ptr<ScheduledCall>> m_wakes;
  std::shared_ptr<FakeCaller> m_caller;
  std::shared_ptr<SessionDriver> m_driver;
  std::vector<std::shared_ptr<SessionDriver>> m_old_drivers;
  std::vector<std::shared_ptr<FakeCaller>> m_old_callers;
  std::string m_text_before;
  bool m_cancelled = false;
  std::uint32_t m_tokens_at_cancel = 0;
};

}  // namespace zinnia
