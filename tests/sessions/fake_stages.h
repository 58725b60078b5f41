#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "tests/sessions/fake_stage.h"
#include "zinnia_base/time/virtual_time.h"
#include "zinnia_decisions/ports/stage_links.h"

namespace zinnia {

/** Fault injected into one step. Losses are detected at the deadline, lost connections at once. */
enum class StepFault {
  kNone,
  kLoseStep,
  kLoseAnswer,
  kCutBeforeStep,
  kCutBeforeAnswer,
  kDelayAnswer,
  kDoubleAnswer,
  kDoubleStep,

  /** The stage answers kDone without states or token. */
  kMalformedAnswer,

  /** Violates the contract of StageLinks: the step is never answered. */
  kSilence,
};

/** The servers of a test and the network to them, in virtual time.

    Also acts as the channel: steps time out after a multiple of the usual step time, and crashes
   are reported. Unlike StageLinks, it passes on late and duplicate answers, which the driver must
    drop.
*/
class FakeStages final : public StageLinks {
 public:
  static constexpr std::chrono::microseconds kLinkTime{300};
  static constexpr std::chrono::milliseconds kStepTime{8};
  static constexpr std::chrono::microseconds kTimeForExtraPosition{100};
  static constexpr int kDeadlineInStepTimes = 3;

  explicit FakeStages(VirtualTime& time) : m_time(time) {}

  void Add(const BackendServerName& name, LoadedRange loaded) {
    m_servers.emplace(name, Server{FakeStage(std::move(loaded), m_ledger)});
  }

  FakeStage& At(const BackendServerName& name) { return m_servers.at(name).stage; }
  const StepLedger& Ledger() const { return m_ledger; }

  /** Fails the steps in flight and all later ones as crashed, and clears the caches. */
  void Crash(const BackendServerName& name) {
    Server& server = m_servers.at(name);
    server.is_dead = true;
    server.stage.Load(server.stage.Loaded().version);
    for (auto& pending : std::exchange(server.in_flight, {})) {
      Later(kLinkTime, [pending] { pending->Answer(StepStatus::kServerCrashed); });
    }
  }

  /** Restarts a crashed server with empty caches. */
  void Restart(const BackendServerName& name) { m_servers.at(name).is_dead = false; }

  void Freeze(const BackendServerName& name) { m_servers.at(name).is_frozen = true; }

  /** Resumes the server, which then processes everything received while frozen. */
  void Wake(const BackendServerName& name) {
    Server& server = m_servers.at(name);
    server.is_frozen = false;
    for (auto& work : std::exchange(server.frozen_work, {})) {
      Later(kStepTime, std::move(work));
    }
  }

  void SlowLink(const BackendServerName& name, int times) {
    m_servers.at(name).link_factor = times;
  }
  void AddFault(const BackendServerName& name, StepFault fault) {
    m_servers.at(name).faults.push_back(fault);
  }
  void InterruptNextTransfer() { m_interrupt_next_transfer = true; }

  /** Called for each step that a stage processed, with its answer. */
  std::function<void(const BackendServerName&, const StepRequest&, const StepAnswer&)> on_step;

  /** Called for each step when it is sent, before faults apply. */
  std::function<void(const BackendServerName&, const StepRequest&)> on_send;

  void SendStep(const BackendServerName& name,
                std::uint32_t hop,
                StepRequest step,
                std::weak_ptr<StepListener> listener) override {
    if (on_send) {
      on_send(name, step);
    }
    Server& server = m_servers.at(name);
    auto pending = std::make_shared<Pending>(Pending{hop, step.attempt, std::move(listener)});
    const Duration link = kLinkTime * server.link_factor;
    if (server.is_dead) {
      Later(2 * link, [pending] { pending->Answer(StepStatus::kServerCrashed); });
      return;
    }
    const StepFault fault = TakeFault(server);
    if (fault == StepFault::kSilence) {
      return;
    }
    server.in_flight.push_back(pending);
    const Duration work = WorkTime(step);
    Later(kDeadlineInStepTimes * (work + 2 * kLinkTime),
          [pending] { pending->Answer(StepStatus::kTimedOut); });
    if (fault == StepFault::kCutBeforeStep) {
      Later(2 * link, [pending] { pending->Answer(StepStatus::kConnectionLost); });
    }
    if (fault == StepFault::kLoseStep || fault == StepFault::kCutBeforeStep) {
      return;
    }
    const int arrivals = fault == StepFault::kDoubleStep ? 2 : 1;
    for (int arrival = 0; arrival < arrivals; ++arrival) {
      Later(link + work,
            [this, name, step, pending, fault] { Arrive(name, step, pending, fault); });
    }
  }

  void ReleaseSession(const BackendServerName& name,
                      const SessionName& session,
                      AttemptNumber attempt) override {
    Later(kLinkTime, [this, name, session, attempt] {
      WhenAwake(name, [this, name, session, attempt] { At(name).Release(session, attempt); });
    });
  }

  void FindSession(const BackendServerName& name,
                   const SessionName& session,
                   std::function<void(Result<HeldSession>)> callback) override {
    Later(2 * kLinkTime, [this, name, session, callback = std::move(callback)] {
      const Server& server = m_servers.at(name);
      const auto held = server.stage.Find(session);
      if (server.is_dead || server.is_frozen) {
        callback(MakeError(ErrorKind::kBackendUnavailable, "the server does not answer"));
      } else if (held) {
        callback(*held);
      } else {
        callback(MakeError(ErrorKind::kNotFound, "the server holds nothing of the session"));
      }
    });
  }

  void MoveCache(const BackendServerName& from,
                 const BackendServerName& to,
                 const SessionName& session,
                 AttemptNumber attempt,
                 AttemptNumber new_attempt,
                 std::function<void(Result<std::uint32_t>)> callback) override {
    Later(kStepTime,
          [this, from, to, session, attempt, new_attempt, callback = std::move(callback)] {
            const bool unreachable = m_servers.at(from).is_dead || m_servers.at(from).is_frozen ||
                                     m_servers.at(to).is_dead || m_servers.at(to).is_frozen;
            if (std::exchange(m_interrupt_next_transfer, false) || unreachable) {
              callback(MakeError(ErrorKind::kBackendUnavailable, "the transfer was cut half way"));
              return;
            }
            const auto length = At(from).ExportTo(At(to), session, attempt, new_attempt);
            if (length) {
              callback(*length);
            } else {
              callback(MakeError(ErrorKind::kNotFound, "nothing to export"));
            }
          });
  }

 private:
  struct Pending {
    std::uint32_t hop = 0;
    AttemptNumber attempt = 0;
    std::weak_ptr<StepListener> listener;
    bool is_answered = false;

    void Answer(StepStatus status) {
      if (!std::exchange(is_answered, true)) {
        Pass({.status = status, .attempt = attempt});
      }
    }
    void Pass(StepAnswer answer) const {
      if (const auto to = listener.lock()) {
        to->OnStepAnswer(hop, std::move(answer));
      }
    }
  };

  struct Server {
    FakeStage stage;
    bool is_dead = false;
    bool is_frozen = false;
    int link_factor = 1;
    std::deque<StepFault> faults;
    std::vector<std::function<void()>> frozen_work;
    std::vector<std::shared_ptr<Pending>> in_flight;
  };

  static Duration WorkTime(const StepRequest& step) {
    std::size_t positions = 1;
    if (const auto* hidden = std::get_if<HiddenInput>(&step.input)) {
      positions = hidden->states.size();
    } else {
      const auto& input = std::get<TokenInput>(step.input);
      positions = input.tokens.size() + FakeModel::Words(input.prompt).size() - 1;
    }
    return kStepTime + (positions - 1) * kTimeForExtraPosition;
  }

  static StepFault TakeFault(Server& server) {
    if (server.faults.empty()) {
      return StepFault::kNone;
    }
    const StepFault fault = server.faults.front();
    server.faults.pop_front();
    return fault;
  }

  void Later(Duration delay, std::function<void()> call) {
    const std::uint64_t id = m_next_call++;
    m_calls[id] = m_time.ScheduleAfter(delay, [this, id, call = std::move(call)] {
      const auto done = m_calls.extract(id);
      call();
    });
  }

  void WhenAwake(const BackendServerName& name, std::function<void()> work) {
    Server& server = m_servers.at(name);
    if (server.is_frozen) {
      server.frozen_work.push_back(std::move(work));
    } else if (!server.is_dead) {
      work();
    }
  }

  void Arrive(const BackendServerName& name,
              const StepRequest& step,
              const std::shared_ptr<Pending>& pending,
              StepFault fault) {
    WhenAwake(name, [this, name, step, pending, fault] {
      StepAnswer answer = At(name).Run(step);
      if (fault == StepFault::kMalformedAnswer) {
        answer.states.clear();
        answer.token.reset();
      }
      if (on_step) {
        on_step(name, step, answer);
      }
      SendAnswer(name, answer, pending, fault);
    });
  }

  void SendAnswer(const BackendServerName& name,
                  const StepAnswer& answer,
                  const std::shared_ptr<Pending>& pending,
                  StepFault fault) {
    Server& server = m_servers.at(name);
    Duration link = kLinkTime * server.link_factor;
    if (fault == StepFault::kLoseAnswer) {
      return;
    }
    if (fault == StepFault::kCutBeforeAnswer) {
      Later(link, [pending] { pending->Answer(StepStatus::kConnectionLost); });
      return;
    }
    if (fault == StepFault::kDelayAnswer) {
      link += 2 * kDeadlineInStepTimes * kStepTime;
    }
    std::erase(server.in_flight, pending);
    const int copies = fault == StepFault::kDoubleAnswer ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      Later(link, [pending, answer] {
        pending->is_answered = true;
        pending->Pass(answer);
      });
    }
  }

  VirtualTime& m_time;
  StepLedger m_ledger;
  std::map<BackendServerName, Server> m_servers;
  std::map<std::uint64_t, std::unique_ptr<ScheduledCall>> m_calls;
  std::uint64_t m_next_call = 0;
  bool m_interrupt_next_transfer = false;
};

}  // namespace zinnia
