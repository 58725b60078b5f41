#include "zinnia_decisions/forwarding/admission/retry_schedule.h"

#include <algorithm>

#include "zinnia_decisions/admission/admission_settings.h"

namespace zinnia {
namespace {

using std::chrono::milliseconds;

/** A caller that returns sooner meets the same shortage. Multiplied for less urgent classes, which
    find room only after the urgent callers have returned. */
constexpr milliseconds kMinDelay{300};

/** Covers the time in which lost layers are loaded elsewhere, up to three seconds. Multiplied
    likewise. */
constexpr milliseconds kMaxDelay{3'000};

/** Less urgent classes beyond this one are told the same range. */
constexpr std::size_t kMaxClassFactor = 3;

/** Assumed before any start was observed: a small instance's part of a pool. */
constexpr double kDefaultStartsPerSecond = 4.0;

/** A lower rate would put every slot at the maximum delay. */
constexpr double kMinStartsPerSecond = 1.0;

/** Instances do not coordinate their slots. */
constexpr double kJitter = 0.2;

/** A delay that is limited by the caller's time is random within a range of this width, as a part
   of the limit. The range begins at kFirstCappedPart for the most urgent class and ends at the
   limit for the least urgent ones and for organisations that are ahead of others. */
constexpr double kCappedSpread = 0.3;
constexpr double kFirstCappedPart = 0.35;

/** Classes from this one on are told the end of the range. */
constexpr double kLatestClass = 2.0;

/** Slots of a class are divided between organisations that are ahead of others and those that are
    not. */
constexpr std::size_t kPlannersPerClass = 2;

AdmissionSettings SettingsOf(std::size_t planner) {
  const std::size_t later = planner / kPlannersPerClass + planner % kPlannersPerClass;
  const auto factor = static_cast<int>(std::min(later + 1, kMaxClassFactor));
  AdmissionSettings settings;
  settings.min_retry_after = kMinDelay * factor;
  settings.max_retry_after = kMaxDelay * factor;
  settings.retry_after_jitter = kJitter;
  return settings;
}

}  // namespace

Duration RetrySchedule::OnRefused(const RefusedClassRequest& request) {
  const TimePoint now = m_clock.Now();
  const std::size_t own =
      request.request_class * kPlannersPerClass + (request.is_ahead_of_others ? 1 : 0);
  while (m_planners.size() <= own) {
    m_planners.emplace_back(SettingsOf(m_planners.size()));
  }
  const double rate =
      std::max(request.starts_per_second.value_or(kDefaultStartsPerSecond), kMinStartsPerSecond);
  const std::chrono::duration<double> backlog(static_cast<double>(request.waiting_ahead) / rate);
  Duration earliest = std::chrono::duration_cast<Duration>(backlog);
  for (std::size_t before = 0; before < own; ++before) {
    earliest = std::max(earliest, m_planners[before].ReservedUntil() - now);
  }
  const Duration delay = m_planners[own].ReserveSlot(now, earliest, 1.0, rate, m_random);
  const Duration longest = std::max(request.time_left, Duration::zero()) / kPartOfTimeLeft;
  if (delay <= longest) {
    return delay;
  }
  const double later =
      request.is_ahead_of_others
          ? 1.0
          : std::min(static_cast<double>(request.request_class) / kLatestClass, 1.0);
  const double part = kFirstCappedPart + (1.0 - kFirstCappedPart - kCappedSpread) * later +
                      kCappedSpread * RandomUnit(m_random);
  return std::chrono::duration_cast<Duration>(longest * part);
}

}  // namespace zinnia
