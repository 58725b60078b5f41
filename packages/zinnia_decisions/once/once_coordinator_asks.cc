#include <set>
#include <utility>

#include "zinnia_base/time/scheduler.h"
#include "zinnia_decisions/once/alive_guard.h"
#include "zinnia_decisions/once/once_coordinator.h"
#include "zinnia_decisions/once/pending_begin.h"
#include "zinnia_decisions/ports/peer_transport.h"

/** The part of OnceCoordinator that sends a Begin to the partition's holder and retries it. */
namespace zinnia {
namespace {

bool IsSameStart(const Instance& left, const Instance& right) {
  return left.name == right.name && left.start == right.start;
}

}  // namespace

void OnceCoordinator::Step(const PendingBeginPointer& ask) {
  if (!ask || !ask->callback) {
    return;
  }
  PartitionRole* role = RoleOf(ask->request.partition);
  ask->round += 1;
  ask->asked.reset();
  ask->timer.reset();
  if (role->Holder() != nullptr) {
    return SendToLocalHolder(ask);
  }
  // Alternates between the head's holder and the preferred instance. Counts calls to peers rather
  // than rounds: every second round only reads the head, so one of the two would never be asked.
  const std::optional<Instance> target = role->Target(ask->peer_calls % 2 == 0);
  if (!target || std::exchange(ask->needs_refresh, false)) {
    return RefreshFor(ask);
  }
  SendToPeer(ask, *target);
}

void OnceCoordinator::RefreshFor(const PendingBeginPointer& ask) {
  PartitionRole* role = RoleOf(ask->request.partition);
  role->Refresh([this, ask, role](const Result<void>& result) {
    if (!ask->callback) {
      return;
    }
    if (!result && result.error().kind == ErrorKind::kStoreUnavailable) {
      return Finish(ask, Refusal(ErrorKind::kStoreUnavailable, "the partition cannot be read"));
    }
    const bool can_go_on = role->Holder() != nullptr || role->Target(true);
    can_go_on ? Step(ask) : RetryLater(ask);
  });
}

void OnceCoordinator::SendToLocalHolder(const PendingBeginPointer& ask) {
  ask->in_flight = true;
  const std::uint32_t round = ask->round;
  RoleOf(ask->request.partition)
      ->Holder()
      ->Begin(ask->request, WhileAlive(m_alive, [this, ask, round](Result<IntentReply> result) {
                OnReply(ask, round, std::move(result));
              }));
}

void OnceCoordinator::SendToPeer(const PendingBeginPointer& ask, const Instance& target) {
  ask->in_flight = true;
  ask->asked = target;
  ask->peer_calls += 1;
  ask->sent_at = m_parts.clock.Now();
  const std::uint32_t round = ask->round;
  const TimePoint sent_at = ask->sent_at;
  ask->timer = m_parts.scheduler.ScheduleAfter(
      m_watch.ReplyDeadline(target),
      [this, weak = std::weak_ptr<PendingBegin>(ask)] { OnCallLate(weak.lock()); });
  m_parts.peers.BeginIntent(
      target.peer_address, ask->request,
      WhileAlive(m_alive, [this, ask, round, target, sent_at](Result<IntentReply> result) {
        NoteReply(ask->request.partition, target, sent_at, result);
        OnReply(ask, round, std::move(result));
      }));
}

/** Updates the failure detection of `target` and of the partition from the result of a call. */
void OnceCoordinator::NoteReply(std::uint32_t partition,
                                const Instance& target,
                                TimePoint sent_at,
                                const Result<IntentReply>& result) {
  PartitionRole* role = RoleOf(partition);
  const ErrorKind kind = result ? ErrorKind::kInternal : result.error().kind;
  if (kind == ErrorKind::kPeerUnavailable) {
    m_watch.NoteRefused(target, sent_at);
  } else if (kind != ErrorKind::kOutcomeUnknown) {
    m_watch.NoteReply(target, sent_at);
  }
  // kStaleEpoch counts as a refusal: a holder that the head lists may have lost the partition.
  const bool refused = kind == ErrorKind::kPeerUnavailable || kind == ErrorKind::kStaleEpoch;
  if (refused || kind == ErrorKind::kOutcomeUnknown) {
    role->NoteCallFailure(target, sent_at, refused);
    role->ExcludeTarget(target);
  } else {
    role->NoteCallSuccess();
  }
}

/** Ignores replies to any but the latest call. A grant in an ignored reply is not lost: the attempt
    either gets it again or is reported as unused. */
void OnceCoordinator::OnReply(const PendingBeginPointer& ask,
                              std::uint32_t round,
                              Result<IntentReply> result) {
  if (!ask->callback || round != ask->round) {
    return;
  }
  ask->timer.reset();
  ask->in_flight = false;
  if (result) {
    return Finish(ask, std::move(result));
  }
  switch (result.error().kind) {
    case ErrorKind::kStoreOutcomeUnknown:
      ask->may_be_recorded = true;
      return Finish(ask, std::move(result));
    case ErrorKind::kStaleEpoch:
    case ErrorKind::kPeerUnavailable:
    case ErrorKind::kOutcomeUnknown:
      ask->may_be_recorded |= result.error().kind != ErrorKind::kPeerUnavailable;
      ask->needs_refresh = true;
      return RetryLater(ask);
    default:
      Finish(ask, std::move(result));
  }
}

void OnceCoordinator::OnCallLate(const PendingBeginPointer& ask) {
  if (!ask || !ask->callback) {
    return;
  }
  m_watch.NoteLate(*ask->asked, ask->sent_at);
  ask->timer = m_parts.scheduler.ScheduleAfter(
      ask->sent_at + m_settings.call_timeout - m_parts.clock.Now(),
      [this, weak = std::weak_ptr<PendingBegin>(ask)] { OnCallTimeout(weak.lock()); });
}

void OnceCoordinator::OnCallTimeout(const PendingBeginPointer& ask) {
  if (!ask || !ask->callback) {
    return;
  }
  RoleOf(ask->request.partition)->NoteCallFailure(*ask->asked, ask->sent_at, false);
  RetryNow(ask);
}

/** Retries at once. The pending call's reply will be ignored, but its intent may be recorded. */
void OnceCoordinator::RetryNow(const PendingBeginPointer& ask) {
  ask->may_be_recorded = true;
  ask->needs_refresh = true;
  Step(ask);
}

/** If `holder` is lost, takes its partitions over where this instance should, and retries the calls
    that wait for it. If it is only suspected, checks whether its partitions have a new holder. */
void OnceCoordinator::OnHolderSilent(const Instance& holder) {
  const bool lost = m_watch.LostSince(holder).has_value();
  if (lost) {
    OnMembershipChanged();
  }
  const std::set<PendingBeginPointer> asks = m_pending_begins;
  for (const PendingBeginPointer& ask : asks) {
    if (ask->callback && ask->asked && IsSameStart(*ask->asked, holder)) {
      lost ? RetryNow(ask) : CheckForNewHolder(ask);
    }
  }
}

/** Reads the head once per request to find a new holder without waiting until the silent one counts
    as lost. */
void OnceCoordinator::CheckForNewHolder(const PendingBeginPointer& ask) {
  if (std::exchange(ask->checked_for_new_holder, true)) {
    return;
  }
  PartitionRole* role = RoleOf(ask->request.partition);
  role->Refresh([this, ask, role, round = ask->round](const Result<void>&) {
    if (!ask->callback || !ask->asked || round != ask->round) {
      return;
    }
    const std::optional<Instance> target = role->Target(true);
    if (role->Holder() != nullptr || (target && !IsSameStart(*target, *ask->asked))) {
      RetryNow(ask);
    }
  });
}

void OnceCoordinator::RetryLater(const PendingBeginPointer& ask) {
  ask->timer = m_parts.scheduler.ScheduleAfter(
      Jittered(m_settings.retry_pause),
      [this, weak = std::weak_ptr<PendingBegin>(ask)] { Step(weak.lock()); });
}

void OnceCoordinator::OnDeadline(const PendingBeginPointer& ask) {
  if (ask && ask->callback) {
    Finish(ask, Refusal(ErrorKind::kPeerUnavailable,
                        "the holder of the key's partition did not answer in time"));
  }
}

}  // namespace zinnia
