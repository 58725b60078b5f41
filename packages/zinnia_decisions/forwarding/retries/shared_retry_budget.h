#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

#include "zinnia_base/time/clock.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

struct ForwardingView;

/** Limit on the retries of all instances, per service and sliding window: `ratio` times the
    requests plus `slack`. */
struct SharedRetryBudgetSettings {
  double ratio = 0.2;
  double slack = 100.0;
  Duration window = std::chrono::seconds(10);
};

/** This instance's share of a retry budget for all instances.

    With separate budgets, all instances together could multiply the load of a failing service. Each
    instance applies the ratio to its own requests and takes an equal share of the slack, which
    keeps the total within the limit without coordination.
*/
class SharedRetryBudget {
 public:
  SharedRetryBudget(const Clock& clock, SharedRetryBudgetSettings settings)
      : m_clock(clock), m_settings(settings) {}

  void SetSettings(SharedRetryBudgetSettings settings) { m_settings = settings; }

  void OnRequest(const ServiceName& service);

  /** Consumes one retry. Returns false if none is left in the current window. */
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
