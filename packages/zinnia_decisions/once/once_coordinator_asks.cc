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

void OnceCoordinator::Step(const PendingBeginPointer& pending) {
  if (!pending || !pending->callback) {
    return;
  }
  PartitionRole* role = RoleOf(pending->request.partition);
  pending->round += 1;
  pending->called_peer.reset();
  pending->timer.reset();
  if (role->Holder() != nullptr) {
    return SendToLocalHolder(pending);
  }
  // Alternates between the head's holder and the preferred instance. Counts calls to peers rather
  // than rounds: every second round only reads the head, so one of the two would never be
  // called_peer.
  const std::optional<Instance> target = role->Target(pending->peer_calls % 2 == 0);
  if (!target || std::exchange(pending->needs_refresh, false)) {
    return RefreshFor(pending);
  }
  SendToPeer(pending, *target);
}

void OnceCoordinator::RefreshFor(const PendingBeginPointer& pending) {
  PartitionRole* role = RoleOf(pending->request.partition);
  role->Refresh([this, pending, role](const Result<void>& result) {
    if (!pending->callback) {
      return;
    }
    if (!result && result.error().kind == ErrorKind::kStoreUnavailable) {
      return Finish(pending, Refusal(ErrorKind::kStoreUnavailable, "the partition cannot be read"));
    }
    const bool can_go_on = role->Holder() != nullptr || role->Target(true);
    can_go_on ? Step(pending) : RetryLater(pending);
  });
}

void OnceCoordinator::SendToLocalHolder(const PendingBeginPointer& pending) {
  pending->in_flight = true;
  const std::uint32_t round = pending->round;
  RoleOf(pending->request.partition)
      ->Holder()
      ->Begin(pending->request,
              WhileAlive(m_alive, [this, pending, round](Result<IntentReply> result) {
                OnReply(pending, round, std::move(result));
              }));
}

void OnceCoordinator::SendToPeer(const PendingBeginPointer& pending, const Instance& target) {
  pending->in_flight = true;
  pending->called_peer = target;
  pending->peer_calls += 1;
  pending->sent_at = m_parts.clock.Now();
  const std::uint32_t round = pending->round;
  const TimePoint sent_at = pending->sent_at;
  pending->timer = m_parts.scheduler.ScheduleAfter(
      m_failure_detector.ReplyDeadline(target),
      [this, weak = std::weak_ptr<PendingBegin>(pending)] { OnCallLate(weak.lock()); });
  m_parts.peers.BeginIntent(
      target.peer_address, pending->request,
      WhileAlive(m_alive, [this, pending, round, target, sent_at](Result<IntentReply> result) {
        NoteReply(pending->request.partition, target, sent_at, result);
        OnReply(pending, round, std::move(result));
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
    m_failure_detector.NoteRefused(target, sent_at);
  } else if (kind != ErrorKind::kOutcomeUnknown) {
    m_failure_detector.NoteReply(target, sent_at);
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
void OnceCoordinator::OnReply(const PendingBeginPointer& pending,
                              std::uint32_t round,
                              Result<IntentReply> result) {
  if (!pending->callback || round != pending->round) {
    return;
  }
  pending->timer.reset();
  pending->in_flight = false;
  if (result) {
    return Finish(pending, std::move(result));
  }
  switch (result.error().kind) {
    case ErrorKind::kStoreOutcomeUnknown:
      pending->may_be_recorded = true;
      return Finish(pending, std::move(result));
    case ErrorKind::kStaleEpoch:
    case ErrorKind::kPeerUnavailable:
    case ErrorKind::kOutcomeUnknown:
      pending->may_be_recorded |= result.error().kind != ErrorKind::kPeerUnavailable;
      pending->needs_refresh = true;
      return RetryLater(pending);
    default:
      Finish(pending, std::move(result));
  }
}

void OnceCoordinator::OnCallLate(const PendingBeginPointer& pending) {
  if (!pending || !pending->callback) {
    return;
  }
  m_failure_detector.NoteLate(*pending->called_peer, pending->sent_at);
  pending->timer = m_parts.scheduler.ScheduleAfter(
      pending->sent_at + m_settings.call_timeout - m_parts.clock.Now(),
      [this, weak = std::weak_ptr<PendingBegin>(pending)] { OnCallTimeout(weak.lock()); });
}

void OnceCoordinator::OnCallTimeout(const PendingBeginPointer& pending) {
  if (!pending || !pending->callback) {
    return;
  }
  RoleOf(pending->request.partition)
      ->NoteCallFailure(*pending->called_peer, pending->sent_at, false);
  RetryNow(pending);
}

/** Retries at once. The pending call's reply will be ignored, but its intent may be recorded. */
void OnceCoordinator::RetryNow(const PendingBeginPointer& pending) {
  pending->may_be_recorded = true;
  pending->needs_refresh = true;
  Step(pending);
}

/** If `holder` is lost, takes its partitions over where this instance should, and retries the calls
    that wait for it. If it is only suspected, checks whether its partitions have a new holder. */
void OnceCoordinator::OnHolderSilent(const Instance& holder) {
  const bool lost = m_failure_detector.LostSince(holder).has_value();
  if (lost) {
    OnMembershipChanged();
  }
  const std::set<PendingBeginPointer> asks = m_pending_begins;
  for (const PendingBeginPointer& pending : asks) {
    if (pending->callback && pending->called_peer && IsSameStart(*pending->called_peer, holder)) {
      lost ? RetryNow(pending) : CheckForNewHolder(pending);
    }
  }
}

/** Reads the head once per request to find a new holder without waiting until the silent one counts
    as lost. */
void OnceCoordinator::CheckForNewHolder(const PendingBeginPointer& pending) {
  if (std::exchange(pending->checked_for_new_holder, true)) {
    return;
  }
  PartitionRole* role = RoleOf(pending->request.partition);
  role->Refresh([this, pending, role, round = pending->round](const Result<void>&) {
    if (!pending->callback || !pending->called_peer || round != pending->round) {
      return;
    }
    const std::optional<Instance> target = role->Target(true);
    if (role->Holder() != nullptr || (target && !IsSameStart(*target, *pending->called_peer))) {
      RetryNow(pending);
    }
  });
}

void OnceCoordinator::RetryLater(const PendingBeginPointer& pending) {
  pending->timer = m_parts.scheduler.ScheduleAfter(
      Jittered(m_settings.retry_pause),
      [this, weak = std::weak_ptr<PendingBegin>(pending)] { Step(weak.lock()); });
}

void OnceCoordinator::OnDeadline(const PendingBeginPointer& pending) {
  if (pending && pending->callback) {
    Finish(pending, Refusal(ErrorKind::kPeerUnavailable,
                            "the holder of the key's partition did not answer in time"));
  }
}

}  // namespace zinnia
