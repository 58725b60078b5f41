#include "zinnia_adapters/engines/batch_times.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {
namespace {

using std::chrono::microseconds;

/** 2 ms for any batch and 50 us for each unit in it. */
Duration TimeOf(std::uint32_t units) {
  return microseconds(2'000) + microseconds(50) * units;
}

}  // namespace

TEST_GROUP(TrafficBatchTimes) {
  BatchTimes times;

  void ObserveOften(Duration took, std::uint32_t units) {
    for (std::uint32_t sample = 0; sample < BatchTimes::kSamplesToLearn; ++sample) {
      times.Observe(took, units);
    }
  }
};

TEST(TrafficBatchTimes, RateOfAFullBatchIsKnownFromSmallOnes) {
  // Symptom: admission refuses callers although the engines idle. Sequence: little load for a
  // while, then much. Cause: the tokens that passed at little load were taken for what passes.
  ObserveOften(TimeOf(1), 1);
  ObserveOften(TimeOf(5), 5);
  DOUBLES_EQUAL(64 / 0.0052, times.UnitsPerSecond(64), 1.0);
  DOUBLES_EQUAL(0.002, times.Fit()->base_seconds, 1e-6);
}

TEST(TrafficBatchTimes, NothingIsToldOfSizesTooCloseOrSeenTooSeldom) {
  ObserveOften(TimeOf(2), 2);
  ObserveOften(TimeOf(4), 4);
  CHECK_FALSE(times.Fit().has_value());
  times.Observe(TimeOf(64), 64);
  CHECK_FALSE(times.Fit().has_value());
  DOUBLES_EQUAL(0.0, times.UnitsPerSecond(64), 0.0);
}

TEST(TrafficBatchTimes, WaitsBehindOtherInstancesDoNotCount) {
  // Symptom: the capacity of a shared server shrinks with each instance that uses it, and then is
  // shared out between them once more. Sequence: most batches wait behind another instance's.
  // Cause: means count the waits.
  for (int round = 0; round < 200; ++round) {
    const Duration wait = round % 4 == 0 ? Duration::zero() : TimeOf(30);
    times.Observe(TimeOf(1) + wait, 1);
    times.Observe(TimeOf(16) + wait, 16);
  }
  DOUBLES_EQUAL(64 / 0.0052, times.UnitsPerSecond(64), 64 / 0.0052 * 0.05);
}

TEST(TrafficBatchTimes, ServerThatBecameSlowerIsNoticed) {
  ObserveOften(TimeOf(1), 1);
  ObserveOften(TimeOf(16), 16);
  for (int round = 0; round < 100; ++round) {
    times.Observe(2 * TimeOf(1), 1);
    times.Observe(2 * TimeOf(16), 16);
  }
  DOUBLES_EQUAL(64 / 0.0104, times.UnitsPerSecond(64), 64 / 0.0104 * 0.02);
}

TEST(TrafficBatchTimes, LargerBatchIsNeverTakenForCheaper) {
  ObserveOften(TimeOf(1) * 2, 1);
  ObserveOften(TimeOf(1), 8);
  DOUBLES_EQUAL(0.0, times.Fit()->seconds_per_unit, 0.0);
  CHECK_TRUE(times.UnitsPerSecond(64) > 0.0);
}

}  // namespace zinnia
