#include <rapidcheck.h>

#include <string>

#include "tests/once/once_schedule.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {
namespace {

TEST_GROUP(OnceProperty){};

// Symptom: a bed is booked twice, or a caller is told something that the service's ledger denies.
// Events: any mix of paused, killed, replaced and handed-over instances, lost, late and refused
// store answers, slow store, lost peer replies, wrong membership, late dispatch, resent keys.
// Cause: whichever step of the protocol does not hold; the seed replays it.
TEST(OnceProperty, NoScheduleRunsAKeyTwiceOrMisleadsACaller) {
  IGNORE_ALL_LEAKS_IN_TEST();  // rapidcheck keeps what it allocates on first use.
  rc::detail::TestParams params;
  params.seed = 20'260'312;
  params.maxSuccess = 3'000;
  const auto result =
      rc::detail::checkProperty(rc::detail::toProperty([] {
                                  const auto seed = *rc::gen::noShrink(rc::gen::resize(
                                      rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()));
                                  RC_LOG() << "seed " << seed;
                                  const auto violations = OnceSchedule(seed).Run();
                                  RC_ASSERT(violations == std::vector<std::string>{});
                                }),
                                {}, params);
  std::ostringstream message;
  rc::detail::printResultMessage(result, message);
  CHECK_TEXT(result.template is<rc::detail::SuccessResult>(), message.str().c_str());
}

}  // namespace
}  // namespace zinnia
