#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/once/settled_writer.h"

namespace zinnia {

class DecisionRecorder;
class MembershipView;

/** Intervals of the reconcilers; docs/operations/orders.md explains each. */
struct OrderSettings {
  std::chrono::milliseconds lease{10'000};

  /** How much earlier than the lease the holder stops sending: clock rates may differ. */
  std::chrono::milliseconds lease_margin{2'000};
  std::chrono::milliseconds tick{1'000};
  std::chrono::milliseconds state_interval{2'000};

  /** How long an engine may still start an order after it was sent. */
  std::chrono::milliseconds valid_for{5'000};

  /** The longest that an order may be on its way before the transport gives it up. */
  std::chrono::milliseconds transport_timeout{5'000};
  std::chrono::milliseconds retry_pause{25};
  std::size_t most_loads = 4;

  /** Whether the engines of a LayerPlacer's pool refuse fencing numbers that they have seen
     exceeded. A reconciler's engines each say it for themselves. */
  bool engines_check_fencing = true;

  /** How long a holder goes on after its lease by its own clock while the store leaves its renewals
      unanswered. Then nobody else can take over either. Engines that check fencing numbers refuse
      the old holder if somebody does; for others see OrderRole::SetStoreServesOthers. */
  std::chrono::milliseconds outage_grace{0};
};

/** Fails with kInvalidSettings naming the field. */
Result<void> CheckOrderSettings(const OrderSettings& settings);

/** The objects that a reconciler's role works with. All must outlive it. */
struct OrderRoleParts {
  Clock& clock;
  Scheduler& scheduler;
  PlatformStore& store;
  const MembershipView& membership;
  DecisionRecorder& recorder;
};

/** The right to give orders to one pool: a lease-bound key that says who, and a lasting record
    whose epoch is the fencing number.

    A lease alone proves nothing to an engine: its holder may be paused while it lapses and wake
    afterwards. Engines that check the epoch refuse such a holder. For the others, MaySend compares
    this instance's clock with the lease as counted from before the call that renewed it, less a
    margin, and UnfencedOrdersFrom says when orders of an earlier holder can no longer arrive.

    What remains: a holder that is paused between MaySend and the moment the bytes leave its machine
    for longer than margin + valid_for + transport_timeout can still reach an engine that does not
    check. Nothing outside that engine can rule it out; the reader of its state repairs it.
*/
class OrderRole {
 public:
  OrderRole(const OrderRoleParts& parts, const OrderSettings& settings, std::string pool);
  ~OrderRole();

  /** Renews a held lease, or tries to acquire a free one with an epoch above `least_epoch`. */
  void Tick(std::uint64_t least_epoch);

  /** Whether orders may be sent at this moment. Ask before each one. */
  bool MaySend() const;

  /** Whether some other instance says that the store serves it. Where engines do not check fencing
      numbers, a holder outlives its lease only while none does: who cannot reach the store cannot
      take over, and who can has the lease's end to wait for and transport_timeout more. */
  void SetStoreServesOthers(bool serves) { m_store_serves_others = serves; }

  /** Whether this instance holds the right, also when it is too near its end to be used. */
  bool IsHeld() const { return m_state != State::kIdle; }

  /** The lease-bound record that is there while some instance holds the right. */
  static std::string LeaseKeyOf(const std::string& pool) { return "orders/lease/" + pool; }

  std::uint64_t Epoch() const { return m_epoch; }

  /** From when on engines that do not check the epoch may get orders. */
  TimePoint UnfencedOrdersFrom() const { return m_unfenced_orders_from; }

  /** Gives the role up, for a planned stop or because an engine has seen a higher epoch. */
  void StepDown(const char* reason);

 private:
  enum class State { kIdle, kAcquiring, kHeld };

  bool IsWithinLease() const;

  /** Past the lease, and the store has left the last renewal unanswered for no longer than
      `outage_grace`. */
  bool IsWithinOutageGrace() const;

  std::string LeaseKey() const { return LeaseKeyOf(m_pool); }
  std::string EpochKey() const { return "orders/epoch/" + m_pool; }
  void Acquire();
  void GrantLease();
  void WriteLeaseKey();
  void ReadEpoch();
  void WriteEpoch(const std::optional<StoreRecord>& record);
  void OnAcquired(std::uint64_t epoch, bool had_holder);
  void KeepAlive();
  void Abandon();
  bool IsPreferred() const;
  void Record(const char* decision, const char* reason);

  OrderRoleParts m_parts;
  const OrderSettings& m_settings;
  const std::string m_pool;
  SettledWriter m_writer;
  State m_state = State::kIdle;
  StoreLeaseId m_lease = 0;
  std::uint64_t m_epoch = 0;
  std::uint64_t m_least_epoch = 0;
  std::uint64_t m_idle_ticks = 0;
  TimePoint m_lease_asked_at{};
  TimePoint m_valid_until{};
  bool m_renewal_unanswered = false;
  bool m_store_serves_others = false;
  TimePoint m_unfenced_orders_from{};
  TimePoint m_acquiring_since{};
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace zinnia
