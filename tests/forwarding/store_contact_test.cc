#include "zinnia_decisions/forwarding/observed_state/store_contact.h"
#include "zinnia_base/time/virtual_time.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(StoreContact) {
  VirtualTime time;
  StoreContact contact{time};

  void setup() override {
    contact.OnAnswer();
    time.AdvanceBy(seconds(2));
    contact.OnAnswer();
  }

  /** Calls are refused for the given time; the next one is answered. */
  void FailFor(Duration duration) {
    contact.OnFailure(time.Now());
    time.AdvanceBy(duration);
    contact.OnFailure(time.Now());
    contact.OnAnswer();
  }
};

TEST(StoreContact, AProcessThatHasJustStartedKnowsOfNoTimeBefore) {
  CHECK_TRUE(contact.HasServedFor(seconds(2)));
  CHECK_FALSE(contact.HasServedFor(milliseconds(2'001)));
  CHECK_FALSE(StoreContact(time).HasServedFor(Duration::zero()));
}

// Guards against removals that are delayed for a call that merely failed by itself.
TEST(StoreContact, CallsThatFailBrieflyAreNoOutage) {
  FailFor(milliseconds(399));
  CHECK_TRUE(contact.HasServedFor(seconds(2)));
  CHECK_FALSE(contact.IsStableFor(seconds(2)));
}

TEST(StoreContact, AnOutageEndsWithItsFirstAnswer) {
  FailFor(milliseconds(400));
  CHECK_FALSE(contact.HasServedFor(milliseconds(1)));
  time.AdvanceBy(seconds(2));
  CHECK_TRUE(contact.HasServedFor(seconds(2)));
}

// Guards against an instance that has no reason to call again after a single failure, and delays
// removals for an outage that nobody saw.
TEST(StoreContact, ASingleFailedCallWithoutAnotherOneIsNoOutage) {
  contact.OnFailure(time.Now());
  time.AdvanceBy(milliseconds(500));
  CHECK_TRUE(contact.HasServedFor(seconds(2)));
  contact.OnAnswer();
  CHECK_TRUE(contact.HasServedFor(seconds(2)));
}

// Guards against an outage that is counted from the end of a call that waited for it in vain.
TEST(StoreContact, AnOutageBeginsWhenTheFirstAnswerWasDue) {
  const TimePoint due = time.Now() + milliseconds(100);
  time.AdvanceBy(milliseconds(500));
  contact.OnFailure(due);
  CHECK_FALSE(contact.HasServedFor(seconds(2)));
  contact.OnFailure(time.Now());
  contact.OnAnswer();
  CHECK_FALSE(contact.HasServedFor(milliseconds(1)));
}

TEST(StoreContact, FailuresInARowAreOneOutage) {
  for (int call = 0; call < 5; ++call) {
    contact.OnFailure(time.Now());
    time.AdvanceBy(milliseconds(100));
  }
  contact.OnAnswer();
  CHECK_FALSE(contact.HasServedFor(milliseconds(1)));
}

// Guards against an instance that calls again after a while and vouches for the time between.
TEST(StoreContact, NothingIsKnownOfATimeWithoutCalls) {
  time.AdvanceBy(seconds(60));
  contact.OnAnswer();
  CHECK_FALSE(contact.HasServedFor(milliseconds(1)));
}

// Guards against an instance without calls of its own that takes the store for well.
TEST(StoreContact, WithoutRecentAnswersNothingIsKnown) {
  time.AdvanceBy(StoreContact::kLifetime + milliseconds(1));
  CHECK_FALSE(contact.HasServedFor(seconds(2)));
  CHECK_FALSE(contact.IsStableFor(seconds(2)));
}

}  // namespace zinnia
