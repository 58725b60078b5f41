#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

#include "zinnia_base/time/clock.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

struct ForwardingView;

/** The bound that all instances keep together, per service and sliding window: retries up to
    `ratio` times the requests, plus `slack`. */
struct SharedRetryBudgetSettings {
  double ratio = 0.2;
  double slack = 100.0;
  Duration window = std::chrono::seconds(10);
};

/** This instance's part of a retry budget that all instances share.

    Without a shared bound every instance alone stays small while the fleet multiplies the load of a
    service that is failing already. Each takes its own requests' share of the ratio and an equal
    part of the slack, so the sum over instances keeps the bound without asking anybody.
*/
class SharedRetryBudget {
 public:
  SharedRetryBudget(const Clock& clock, SharedRetryBudgetSettings settings)
      : m_clock(clock), m_settings(settings) {}

  void SetSettings(SharedRetryBudgetSettings settings) { m_settings = settings; }

  void OnRequest(const ServiceName& service);

  /** Takes one retry; false if none is left in this window. */
  [[nodiscard]] bool TrySpend(const ServiceName& service, const ForwardingView& view);

 private:
  static constexpr std::size_t kSlices = 10;

  struct Slice {
    std::int64_t number = -1;
    std::uint32_t requests = 0;
    std::uint32_t retries = 0;
  };
  using Window = std::array<Slice, kSlices>;

  std::int64_t SliceNumber() const;
  Slice& CurrentSlice(const ServiceName& service);

  const Clock& m_clock;
  SharedRetryBudgetSettings m_settings;
  std::map<ServiceName, Window> m_windows;
};

}  // namespace zinnia
