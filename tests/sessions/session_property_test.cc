#include <ostream>
#include <sstream>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include "tests/sessions/failure_schedule.h"

namespace zinnia {

std::ostream& operator<<(std::ostream& stream, const PlannedFailure& failure) {
  return stream << "{after_ms=" << failure.after_ms << " kind=" << static_cast<int>(failure.kind)
                << " server=" << failure.server << " detail=" << failure.detail << "}";
}

namespace {

rc::Gen<PlannedFailure> AnyFailure() {
  return rc::gen::build<PlannedFailure>(
      rc::gen::set(&PlannedFailure::after_ms, rc::gen::inRange<std::uint32_t>(0, 150)),
      rc::gen::set(&PlannedFailure::kind,
                   rc::gen::map(rc::gen::inRange(0, static_cast<int>(FailureKind::kCount)),
                                [](int kind) { return static_cast<FailureKind>(kind); })),
      rc::gen::set(&PlannedFailure::server, rc::gen::inRange<std::uint32_t>(0, 10'000)),
      rc::gen::set(&PlannedFailure::detail, rc::gen::inRange<std::uint32_t>(0, 10'000)));
}

void CheckAnySchedule(const std::string& expected) {
  const auto failures = *rc::gen::container<std::vector<PlannedFailure>>(AnyFailure());
  const std::string violation = FailureSchedule(failures, expected).Run();
  RC_ASSERT(violation == std::string());
}

rc::detail::TestResult CheckSchedules(int count) {
  rc::detail::TestParams parameters;
  parameters.seed = 20'261'202;
  parameters.maxSuccess = count;
  const std::string expected = SessionWorld::ExpectedText();
  return rc::detail::checkTestable([&expected] { CheckAnySchedule(expected); },
                                   rc::detail::TestMetadata{}, parameters);
}

}  // namespace

TEST_GROUP(SessionProperty){};

TEST(SessionProperty, DeliversTokensExactlyOnceUnderAnyScheduleOfFailures) {
  // Guards against truncated, duplicated or mixed answers and hanging callers under random
  // sequences of failures, including failures during recoveries.
  const auto result = CheckSchedules(2'000);
  std::ostringstream message;
  rc::detail::printResultMessage(result, message);
  CHECK_TEXT(result.is<rc::detail::SuccessResult>(), message.str().c_str());
}

}  // namespace zinnia
