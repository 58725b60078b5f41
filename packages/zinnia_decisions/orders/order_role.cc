#include "zinnia_decisions/orders/order_role.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <optional>
#include <utility>

#include "zinnia_base/decisions/decision_record.h"
#include "zinnia_base/hashing/fingerprint.h"
#include "zinnia_decisions/membership/membership_view.h"
#include "zinnia_decisions/once/alive_guard.h"

namespace zinnia {
namespace {

/** Instances that are not preferred check the lease less often to limit load on the store. They
    must check it, since membership views may differ. */
constexpr std::uint64_t kTicksBetweenLeaseChecks = 5;

/** Whole numbers up to here are exact in JSON, and the next one still is. */
constexpr std::uint64_t kLargestEpoch = (std::uint64_t{1} << 53U) - 1;

/** Returns nullopt for a value that holds no epoch, as another writer may leave it. */
std::optional<std::uint64_t> ReadEpochRecord(const std::string& text) {
  boost::system::error_code error;
  const boost::json::value value = boost::json::parse(text, error);
  const boost::json::object* object = error ? nullptr : value.if_object();
  const boost::json::value* field = object ? object->if_contains("epoch") : nullptr;
  if (field == nullptr || !field->is_number()) {
    return std::nullopt;
  }
  const auto epoch = field->to_number<std::uint64_t>(error);
  return error || epoch > kLargestEpoch ? std::nullopt : std::optional(epoch);
}

}  // namespace

Result<void> CheckOrderSettings(const OrderSettings& settings) {
  if (settings.lease < 3 * settings.lease_margin) {
    return MakeError(ErrorKind::kInvalidSettings,
                     "orders.lease must be at least three times orders.lease_margin");
  }
  if (settings.most_loads == 0) {
    return MakeError(ErrorKind::kInvalidSettings, "orders.most_loads must be at least 1");
  }
  return {};
}

OrderRole::OrderRole(const OrderRoleParts& parts, const OrderSettings& settings, std::string pool)
    : m_parts(parts),
      m_settings(settings),
      m_pool(std::move(pool)),
      m_writer(parts.store, parts.scheduler, settings.retry_pause) {}

OrderRole::~OrderRole() = default;

void OrderRole::Tick(std::uint64_t least_epoch) {
  m_least_epoch = std::max(m_least_epoch, least_epoch);
  if (m_state == State::kHeld) {
    const bool may_continue = IsWithinLease() || IsWithinOutageGrace();
    return may_continue ? KeepAlive() : StepDown("the lease ran out by this instance's clock");
  }
  m_idle_ticks += 1;
  if (m_state == State::kIdle && (IsPreferred() || m_idle_ticks % kTicksBetweenLeaseChecks == 0)) {
    Acquire();
  }
}

bool OrderRole::IsWithinLease() const {
  return m_parts.clock.Now() + m_settings.lease_margin < m_valid_until;
}

bool OrderRole::IsWithinOutageGrace() const {
  const TimePoint end = m_valid_until + m_settings.outage_grace;
  return m_renewal_unanswered && m_parts.clock.Now() + m_settings.lease_margin < end;
}

bool OrderRole::MaySend() const {
  if (m_state != State::kHeld) {
    return false;
  }
  const bool no_takeover_possible = m_settings.engines_check_fencing || !m_store_serves_others;
  return IsWithinLease() || (no_takeover_possible && IsWithinOutageGrace());
}

bool OrderRole::IsPreferred() const {
  const std::uint64_t seed = Hash64(m_pool);
  const InstanceName& self = m_parts.membership.Self().name;
  const std::uint64_t own = Hash64(self, seed);
  const auto live = m_parts.membership.LiveInstances();
  return std::none_of(live.begin(), live.end(),
                      [&](const Instance& instance) { return Hash64(instance.name, seed) > own; });
}

void OrderRole::OnStoreEraChanged(StoreEra era) {
  m_store_era = era;
  if (m_acquired_in != era) {
    StepDown("the store came back from an older copy");
  }
}

void OrderRole::Acquire() {
  m_state = State::kAcquiring;
  m_acquired_in = m_store_era;
  m_parts.store.Get(LeaseKey(),
                    WhileAlive(m_alive, [this](const Result<std::optional<StoreRecord>>& result) {
                      const bool is_free = result && !(result->has_value() && (*result)->value);
                      if (!is_free) {
                        m_state = State::kIdle;
                        return;
                      }
                      GrantLease();
                    }));
}

/** Counts the lease from before the request, so that it expires here before it does there. */
void OrderRole::GrantLease() {
  m_lease_asked_at = m_parts.clock.Now();
  m_parts.store.GrantLease(m_settings.lease,
                           WhileAlive(m_alive, [this](const Result<StoreLeaseId>& result) {
                             if (!result) {
                               m_state = State::kIdle;
                               return;
                             }
                             m_lease = *result;
                             WriteLeaseKey();
                           }));
}

void OrderRole::WriteLeaseKey() {
  m_parts.store.CompareAndSwap(LeaseKey(), 0, m_parts.membership.Self().name, m_lease,
                               WhileAlive(m_alive, [this](const Result<std::uint64_t>& result) {
                                 result ? ReadEpoch() : Abandon();
                               }));
}

void OrderRole::ReadEpoch() {
  m_parts.store.Get(EpochKey(),
                    WhileAlive(m_alive, [this](const Result<std::optional<StoreRecord>>& result) {
                      result ? WriteEpoch(*result) : Abandon();
                    }));
}

void OrderRole::WriteEpoch(const std::optional<StoreRecord>& record) {
  const bool has_record = record && record->value;
  const auto last = has_record ? ReadEpochRecord(*record->value) : std::nullopt;
  if (has_record && !last) {
    Record("ignore_epoch_record", "it holds no number that an epoch can be");
  }
  const std::uint64_t epochs_of_earlier_eras = m_acquired_in * kEpochsPerEra;
  const std::uint64_t epoch =
      std::max({last.value_or(0), m_least_epoch, epochs_of_earlier_eras}) + 1;
  const Instance& self = m_parts.membership.Self();
  const std::string value = boost::json::serialize(boost::json::object{
      {"epoch", epoch}, {"holder", self.name}, {"start", self.start}, {"lease", m_lease}});
  const std::uint64_t version = has_record ? record->version : 0;
  m_writer.Write(EpochKey(), version, value,
                 [this, epoch, has_record](const Result<std::uint64_t>& result) {
                   result ? OnAcquired(epoch, has_record) : Abandon();
                 });
}

void OrderRole::OnAcquired(std::uint64_t epoch, bool had_holder) {
  if (m_acquired_in != m_store_era) {
    Abandon();  // The store may have forgotten what was written on the way.
    return;
  }
  m_state = State::kHeld;
  m_epoch = epoch;
  m_valid_until = m_lease_asked_at + m_settings.lease;
  m_renewal_unanswered = false;
  // The previous holder's lease has ended, since its key is gone, but its orders may still be in
  // flight and may be started until their validity ends.
  const auto in_flight = m_settings.valid_for + m_settings.transport_timeout;
  m_unfenced_orders_from = m_parts.clock.Now() + (had_holder ? in_flight : Duration::zero());
  Record("take_orders", "the pool's lease was free");
}

void OrderRole::KeepAlive() {
  const TimePoint asked_at = m_parts.clock.Now();
  const StoreLeaseId lease = m_lease;
  m_parts.store.KeepLeaseAlive(
      m_lease, WhileAlive(m_alive, [this, asked_at, lease](const Result<void>& result) {
        if (m_state != State::kHeld || lease != m_lease) {
          return;
        }
        m_renewal_unanswered = !result;
        if (result) {
          m_valid_until = std::max(m_valid_until, asked_at + m_settings.lease);
        } else if (result.error().kind == ErrorKind::kNotFound) {
          StepDown("the lease has ended");
        }
      }));
}

void OrderRole::StepDown(const char* reason) {
  if (m_state == State::kHeld) {
    Record("leave_orders", reason);
    Abandon();
  }
}

/** Revoking the lease also deletes its key, even if the outcome of writing the key is unknown. */
void OrderRole::Abandon() {
  m_state = State::kIdle;
  m_parts.store.RevokeLease(m_lease, [](const Result<void>&) {});
}

void OrderRole::Record(const char* decision, const char* reason) {
  m_parts.recorder.Record({m_parts.clock.Now(),
                           "pool " + m_pool,
                           decision,
                           reason,
                           {{"epoch", std::to_string(m_epoch)}}});
}

}  // namespace zinnia
