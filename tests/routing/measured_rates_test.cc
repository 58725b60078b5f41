#include "tests/routing/fleet_builder.h"
#include "zinnia_decisions/routing/pool_capacity.h"
#include "zinnia_decisions/routing/server_rates.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

TEST_GROUP(MeasuredRates) {
  FleetSnapshot m_fleet = MakeTwoStageFleet();
};

TEST(MeasuredRates, CapacityOfAPoolRestsOnThem) {
  // Symptom: the admitted load has nothing to do with what the servers do. Sequence: servers are
  // three times faster than their kind's nominal rate. Cause: measured rates never reach admission.
  const double nominal = ConcurrentSessionsFor(m_fleet, "model", 0.035);
  for (auto& [name, view] : m_fleet.servers) {
    view.load.decode_tokens_per_second = 3 * RatesOf(view).decode_tokens_per_second;
  }
  DOUBLES_EQUAL(3 * nominal, ConcurrentSessionsFor(m_fleet, "model", 0.035), 1e-6);
}

TEST(MeasuredRates, EmptyStepTimeIsTheMeasuredOne) {
  ServerView& view = m_fleet.servers.at("first-0");
  view.load.decode_tokens_per_second = 32'000.0;
  view.load.empty_step_time = std::chrono::milliseconds(2);
  DOUBLES_EQUAL(0.002, RatesOf(view).base_step_seconds, 1e-9);
}

}  // namespace zinnia
