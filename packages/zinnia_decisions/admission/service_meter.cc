#include "zinnia_decisions/admission/service_meter.h"

#include <algorithm>
#include <cmath>

namespace zinnia {
namespace {

constexpr double kSmoothingFactor = 0.05;
constexpr double kToleratedServiceTimeRatio = 1.1;
constexpr double kMinUsableCapacityShare = 0.6;
constexpr double kMinHeldSeconds = 0.001;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void ServiceMeter::OnAdmitted(double cost, Duration expected) {
  if (m_mean_cost == 0.0) {
    m_mean_cost = cost;
    m_mean_cost_seconds = cost * std::max(Seconds(expected), kMinHeldSeconds);
  }
}

void ServiceMeter::OnFinished(TimePoint now, double cost, Duration held, Duration expected) {
  m_rate = MeasuredRate(now) + cost / Seconds(m_settings.drain_window);
  m_rate_at = now;
  const double held_seconds = std::max(Seconds(held), kMinHeldSeconds);
  m_mean_cost += kSmoothingFactor * (cost - m_mean_cost);
  m_mean_cost_seconds += kSmoothingFactor * (cost * held_seconds - m_mean_cost_seconds);
  if (expected > Duration::zero()) {
    const double error = held_seconds / Seconds(expected) - m_service_time_ratio;
    m_service_time_ratio += kSmoothingFactor * error;
    m_service_time_ratio_deviation +=
        kSmoothingFactor * (std::abs(error) - m_service_time_ratio_deviation);
  }
}

void ServiceMeter::SetBusy(TimePoint now, bool busy) {
  if (busy && !m_busy) {
    m_busy_since = now;
  }
  m_busy = busy;
}

double ServiceMeter::DrainRate(TimePoint now, double capacity) const {
  const double held_seconds = m_mean_cost > 0.0 ? m_mean_cost_seconds / m_mean_cost : 1.0;
  const double by_held_time = capacity / std::max(held_seconds, kMinHeldSeconds);
  // Held times are updated on completion only, so a stall shows in the measured rate alone.
  const bool measured = m_busy && now - m_busy_since >= m_settings.drain_window;
  return measured ? std::min(by_held_time, MeasuredRate(now)) : by_held_time;
}

Duration ServiceMeter::PredictServiceTime(TimePoint now, Duration expected, double used) const {
  const double factor =
      m_service_time_ratio + m_settings.service_time_deviations * m_service_time_ratio_deviation;
  const double excess = std::max(0.0, factor - 1.0) * std::clamp(used, 0.0, 1.0) * DecayFactor(now);
  return std::chrono::duration_cast<Duration>(expected * (1.0 + excess));
}

double ServiceMeter::UsableCapacityShare() const {
  return std::clamp(kToleratedServiceTimeRatio / m_service_time_ratio, kMinUsableCapacityShare,
                    1.0);
}

double ServiceMeter::DecayFactor(TimePoint now) const {
  return std::exp(-Seconds(now - m_rate_at) / Seconds(m_settings.drain_window));
}

double ServiceMeter::MeasuredRate(TimePoint now) const {
  return m_rate * DecayFactor(now);
}

}  // namespace zinnia
