#include "zinnia_decisions/forwarding/retries/shared_retry_budget.h"

#include "zinnia_decisions/forwarding/observed_state/forwarding_view.h"

namespace zinnia {
namespace {

/** Fractions of the configured limits that are used. The rest covers instances with an outdated
    instance count, and windows that begin within a slice. */
constexpr double kSlackFraction = 0.7;
constexpr double kRatioFraction = 0.9;

}  // namespace

std::int64_t SharedRetryBudget::SliceNumber() const {
  return m_clock.Now().time_since_epoch() / (m_settings.window / kSlices);
}

SharedRetryBudget::Slice& SharedRetryBudget::CurrentSlice(const ServiceName& service) {
  const std::int64_t number = SliceNumber();
  Slice& slice = m_windows[service][static_cast<std::size_t>(number) % kSlices];
  if (slice.number != number) {
    slice = {number, 0, 0};
  }
  return slice;
}

void SharedRetryBudget::OnRequest(const ServiceName& service) {
  ++CurrentSlice(service).requests;
}

bool SharedRetryBudget::TrySpend(const ServiceName& service, const ForwardingView& view) {
  Slice& current = CurrentSlice(service);
  const std::int64_t oldest = current.number - static_cast<std::int64_t>(kSlices);
  double requests = 0;
  double retries = 0;
  for (const Slice& slice : m_windows[service]) {
    if (slice.number > oldest) {
      requests += slice.requests;
      retries += slice.retries;
    }
  }
  const double instances = static_cast<double>(view.InstancesSharingLimits());
  const double allowed =
      kRatioFraction * m_settings.ratio * requests + kSlackFraction * m_settings.slack / instances;
  if (retries + 1 > allowed) {
    return false;
  }
  ++current.retries;
  return true;
}

}  // namespace zinnia
