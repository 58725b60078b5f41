#include <algorithm>
#include <utility>

#include "zinnia_base/decisions/decision_record.h"
#include "zinnia_base/time/scheduler.h"
#include "zinnia_decisions/once/alive_guard.h"
#include "zinnia_decisions/once/once_coordinator.h"

/** The part of OnceCoordinator that manages partitions: layout, takeovers, hand-over, peers' calls.
 */
namespace zinnia {

void OnceCoordinator::OnMembershipChanged() {
  for (const auto& role : m_roles) {
    role->TakeOverIfPreferred();
  }
}

void OnceCoordinator::Tick() {
  m_tick_timer = m_parts.scheduler.ScheduleAfter(m_settings.tick, [this] { Tick(); });
  if (m_roles.empty()) {
    return ReadLayout();
  }
  OnMembershipChanged();
}

/** Reads the number of partitions from the store, because instances with different settings would
    map one key to different partitions and grant it twice. */
void OnceCoordinator::ReadLayout() {
  if (std::exchange(m_layout_under_way, true)) {
    return;
  }
  m_parts.store.Get(kOnceLayoutKey,
                    WhileAlive(m_alive, [this](const Result<std::optional<StoreRecord>>& result) {
                      m_layout_under_way = false;
                      OnLayoutRead(result);
                    }));
}

void OnceCoordinator::OnLayoutRead(const Result<std::optional<StoreRecord>>& result) {
  if (!result) {
    return;
  }
  if (!result->has_value() || !(*result)->value) {
    return WriteLayout();
  }
  const Result<std::uint32_t> partitions = DecodeLayout(*(*result)->value);
  if (partitions && *partitions > 0) {
    UseLayout(*partitions);
  }
}

/** Another instance may write the layout first, so it is read again afterwards. */
void OnceCoordinator::WriteLayout() {
  m_layout_under_way = true;
  m_parts.store.CompareAndSwap(kOnceLayoutKey, 0, EncodeLayout(m_settings.partitions), std::nullopt,
                               WhileAlive(m_alive, [this](const Result<std::uint64_t>& result) {
                                 m_layout_under_way = false;
                                 if (result || result.error().kind == ErrorKind::kStoreConflict) {
                                   ReadLayout();
                                 }
                               }));
}

void OnceCoordinator::UseLayout(std::uint32_t partitions) {
  if (!m_roles.empty()) {
    return;
  }
  if (partitions != m_settings.partitions) {
    m_parts.recorder.Record({m_parts.clock.Now(),
                             "once_layout",
                             "keep_partitions",
                             "the store's layout differs from the settings and goes first",
                             {{"partitions", std::to_string(partitions)}}});
  }
  for (std::uint32_t partition = 0; partition < partitions; ++partition) {
    m_roles.push_back(std::make_unique<PartitionRole>(m_parts, m_settings, m_failure_detector,
                                                      m_takeover_slots, partition, partitions));
  }
  OnMembershipChanged();
}

void OnceCoordinator::OnBeginIntent(IntentRequest request,
                                    std::function<void(Result<IntentReply>)> callback) {
  const std::uint32_t partition = request.partition;
  WithHolder(partition, [request, callback](Result<PartitionHolder*> holder) {
    holder ? (*holder)->Begin(request, callback) : callback(holder.error());
  });
}

void OnceCoordinator::OnReportOutcome(IntentOutcome outcome,
                                      std::function<void(Result<void>)> callback) {
  const std::uint32_t partition = outcome.partition;
  WithHolder(partition, [outcome, callback](Result<PartitionHolder*> holder) {
    holder ? (*holder)->Report(outcome, callback) : callback(holder.error());
  });
}

/** Calls `callback` with the partition's holder, first taking the partition over if this instance
    should hold it. */
void OnceCoordinator::WithHolder(std::uint32_t partition, const HolderCallback& callback) {
  PartitionRole* role = RoleOf(partition);
  const Error not_held =
      MakeError(ErrorKind::kStaleEpoch, "this instance does not hold the partition");
  if (role == nullptr || role->Holder() != nullptr || m_leaving) {
    const bool holds = role != nullptr && role->Holder() != nullptr;
    return callback(holds ? Result<PartitionHolder*>(role->Holder()) : not_held);
  }
  if (m_waiting_for_role >= m_settings.most_queued) {
    return callback(Refusal(ErrorKind::kOverloaded, "too many wait for the partition"));
  }
  m_waiting_for_role += 1;
  role->Refresh([this, role, not_held, callback](const Result<void>& result) {
    m_waiting_for_role -= 1;
    if (role->Holder() != nullptr) {
      return callback(role->Holder());
    }
    role->NoteUnservedPeerCall();
    callback(result ? not_held : result.error());
  });
}

void OnceCoordinator::HandOver(std::function<void()> done) {
  m_leaving = true;
  auto left = std::make_shared<std::size_t>(m_roles.size() + 1);
  const auto once = [this, left, done = std::move(done)] {
    *left = 0;
    m_hand_over_timer.reset();
    done();
  };
  const auto one_done = [left, once] {
    if (*left > 0 && --*left == 0) {
      once();
    }
  };
  // Without this timeout, a planned stop would block until a store outage ends.
  m_hand_over_timer = m_parts.scheduler.ScheduleAfter(m_settings.hand_over_timeout, [this, once] {
    m_parts.recorder.Record({m_parts.clock.Now(),
                             "once_hand_over",
                             "stop_waiting",
                             "the store did not take the hand-over in time",
                             {{"held_partitions", std::to_string(HeldPartitions())}}});
    once();
  });
  for (const auto& role : m_roles) {
    role->HandOver(one_done);
  }
  one_done();
}

std::size_t OnceCoordinator::HeldPartitions() {
  return static_cast<std::size_t>(std::count_if(
      m_roles.begin(), m_roles.end(), [](const auto& role) { return role->Holder() != nullptr; }));
}

}  // namespace zinnia
