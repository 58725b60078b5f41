#include "tests/routing/fleet_builder.h"
#include "zinnia_decisions/routing/pool_capacity.h"
#include "zinnia_decisions/routing/server_rates.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

TEST_GROUP(MeasuredRates) {
  FleetSnapshot m_fleet = MakeTwoStageFleet();
};

TEST(MeasuredRates, PoolCapacityUsesMeasuredDecodeRates) {
  // Guards against admission by nominal rates when the servers' measured rates differ.
  const double nominal = ConcurrentSessionsFor(m_fleet, "model", 0.035);
  for (auto& [name, view] : m_fleet.servers) {
    view.load.decode_tokens_per_second = 3 * RatesOf(view).decode_tokens_per_second;
  }
  DOUBLES_EQUAL(3 * nominal, ConcurrentSessionsFor(m_fleet, "model", 0.035), 1e-6);
}

TEST(MeasuredRates, BaseStepUsesMeasuredEmptyStepTime) {
  ServerView& view = m_fleet.servers.at("first-0");
  view.load.decode_tokens_per_second = 32'000.0;
  view.load.empty_step_time = std::chrono::milliseconds(2);
  DOUBLES_EQUAL(0.002, RatesOf(view).base_step_seconds, 1e-9);
}

}  // namespace zinnia
