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

  /** How long before the lease ends the holder stops sending, to allow for clock drift. */
  std::chrono::milliseconds lease_margin{2'000};
  std::chrono::milliseconds tick{1'000};
  std::chrono::milliseconds state_interval{2'000};

  /** How long an engine may still start an order after it was sent. */
  std::chrono::milliseconds valid_for{5'000};

  /** Upper bound on an order's time in flight, after which the transport drops it. */
  std::chrono::milliseconds transport_timeout{5'000};
  std::chrono::milliseconds retry_pause{25};
  std::size_t most_loads = 4;

  /** Whether the engines of a LayerPlacer's pool refuse stale fencing numbers. The engines of an
      EngineReconciler report this individually. */
  bool engines_check_fencing = true;

  /** How long a holder continues after its lease while the store does not answer its renewals. In a
      full store outage no other instance can take over. If one does, engines that check fencing
      numbers refuse the old holder; for others see OrderRole::SetStoreServesOthers. */
  std::chrono::milliseconds outage_grace{0};
};

/** Fails with kInvalidSettings naming the field. */
Result<void> CheckOrderSettings(const OrderSettings& settings);

/** Dependencies of an OrderRole. All must outlive it. */
struct OrderRoleParts {
  Clock& clock;
  Scheduler& scheduler;
  PlatformStore& store;
  const MembershipView& membership;
  DecisionRecorder& recorder;
};

/** The exclusive right to send orders to one pool: a lease-bound key that names the holder, and a
    persistent record whose epoch is the fencing number.

    A holder may be paused while its lease expires and resume afterwards. Engines that check the
    epoch refuse such a holder. For the others, MaySend compares this instance's clock with the end
    of the lease, counted from before the last renewal request, less a margin; UnfencedOrdersFrom is
    when orders of an earlier holder can no longer arrive.

    A store that comes back from an older copy may give an earlier epoch out again. Each epoch is
    therefore above the store's era times `kEpochsPerEra`, and so above all epochs of earlier eras.

    Limitation: a holder that is paused between MaySend and the actual send for longer than margin +
    valid_for + transport_timeout can still reach an engine that does not check. Only the engine
    could prevent this; reconciling its state corrects the effect.
*/
class OrderRole {
 public:
  /** More than the changes of holder in one era. JSON numbers hold the epochs of two million eras
      exactly. */
  static constexpr std::uint64_t kEpochsPerEra = std::uint64_t{1} << 32U;

  OrderRole(const OrderRoleParts& parts, const OrderSettings& settings, std::string pool);
  ~OrderRole();

  /** Renews a held lease, or tries to acquire a free one with an epoch above `least_epoch`. */
  void Tick(std::uint64_t least_epoch);

  /** Whether orders may be sent now. Call immediately before each order. */
  bool MaySend() const;

  /** Called when the store was heard to be in another era. The lease and the epoch of an earlier
     one may be forgotten and given to another instance, so the role is released. */
  void OnStoreEraChanged(StoreEra era);

  /** Sets whether some other instance reports that the store serves it. Where engines do not check
      fencing numbers, a holder continues past its lease only while none does, since an instance
     that cannot reach the store cannot take over. One that can waits for the lease to end and for
      transport_timeout after that. */
  void SetStoreServesOthers(bool serves) { m_store_serves_others = serves; }

  /** Whether this instance holds or is acquiring the role, even if it may not send orders now. */
  bool IsHeld() const { return m_state != State::kIdle; }

  /** Key of the lease-bound record that exists while some instance holds the role. */
  static std::string LeaseKeyOf(const std::string& pool) { return "orders/lease/" + pool; }

  std::uint64_t Epoch() const { return m_epoch; }

  /** When engines that do not check the epoch may first get orders. */
  TimePoint UnfencedOrdersFrom() const { return m_unfenced_orders_from; }

  /** Releases the role, for a planned stop or after an engine reported a higher epoch. */
  void StepDown(const char* reason);

 private:
  enum class State { kIdle, kAcquiring, kHeld };

  bool IsWithinLease() const;

  /** Whether the last renewal is unanswered and `outage_grace` after the lease has not passed. */
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

  /** The store's era, and that in which the role is being acquired. */
  StoreEra m_store_era = 0;
  StoreEra m_acquired_in = 0;
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
