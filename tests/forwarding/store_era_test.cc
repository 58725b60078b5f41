#include "tests/forwarding/forwarding_fakes.h"
#include "zinnia_decisions/forwarding/observed_state/store_era_tracker.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

namespace zinnia {

TEST_GROUP(StoreEras) {
  RecordingLogger logger;
  std::vector<StoreEra> changes;
  StoreEraTracker tracker{logger, [this](StoreEra era) { changes.push_back(era); }};

  std::int64_t Logged(const std::string& event) {
    return std::count(logger.events.begin(), logger.events.end(), event);
  }
};

TEST(StoreEras, AChangeIsReportedOnce) {
  tracker.OnStoreEra(4);
  tracker.OnStoreEra(5);
  tracker.OnStoreEra(5);
  CHECK_EQUAL(2U, changes.size());
  CHECK_EQUAL(5U, *tracker.Era());
  CHECK_EQUAL(1, Logged("store_era_changed"));
}

// Guards against a late response that takes an instance back to a copy of the store that is gone.
TEST(StoreEras, ALowerEraIsIgnoredAndLoggedOnce) {
  tracker.OnStoreEra(5);
  for (int answer = 0; answer < 100; ++answer) {
    tracker.OnStoreEra(4);
    tracker.OnStoreEra(5);
  }
  CHECK_EQUAL(5U, *tracker.Era());
  CHECK_EQUAL(1U, changes.size());
  CHECK_EQUAL(1, Logged("store_era_ignored"));
}

// Guards against one wrong response after which no later era is believed.
TEST(StoreEras, AnAbsurdEraIsIgnored) {
  tracker.OnStoreEra(5);
  tracker.OnStoreEra(~StoreEra{0});
  tracker.OnUnreadableStoreEra("soon");
  CHECK_EQUAL(5U, *tracker.Era());
  CHECK_EQUAL(2, Logged("store_era_ignored"));
  tracker.OnStoreEra(6);
  CHECK_EQUAL(6U, *tracker.Era());
}

}  // namespace zinnia
