#include <string>

#include "tests/once/once_world.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** One partition, so that a test knows who its holder is. */
OnceSettings OnePartition() {
  OnceSettings settings;
  settings.partitions = 1;
  return settings;
}

TEST_GROUP(Once) {
  OnceWorld world{7, 3, OnePartition()};
  FakeInstance* holder = nullptr;
  FakeInstance* other = nullptr;

  void setup() override {
    world.Advance(seconds(1));
    holder = &world.Holder();
    other = holder == &world[0] ? &world[1] : &world[0];
  }

  std::size_t RunsOf(const std::string& key) {
    return world.ledger.runs[key].size();
  }

  std::shared_ptr<CallerRequest> CallAndWait(FakeInstance & instance, const std::string& key,
                                             seconds wait = seconds(3)) {
    auto request = instance.Call(key, "body");
    world.Advance(wait);
    return request;
  }
};

TEST(Once, ARequestRunsOnceAndItsAnswerIsGivenAgain) {
  const auto first = CallAndWait(*other, "k");
  CHECK(first->told == Told::kAnswered);
  for (const auto& instance : world.instances) {
    const auto again = CallAndWait(*instance, "k");
    CHECK(again->told == Told::kAnswered);
    STRCMP_EQUAL(first->answer.c_str(), again->answer.c_str());
  }
  LONGS_EQUAL(1, RunsOf("k"));
}

// Symptom: a booking made twice by a caller who lost patience.
// Events: the service is still busy with the request; the caller resends it through another
// instance.
// Cause: the second instance cannot know of the first but through the recorded intent.
TEST(Once, AResendThroughAnotherInstanceWhileTheFirstRunsIsNotRun) {
  world.service_time = seconds(5);
  const auto first = CallAndWait(*holder, "k", seconds(1));
  const auto second = CallAndWait(*other, "k", seconds(1));
  CHECK(second->told == Told::kUnknown);
  world.Advance(seconds(10));
  CHECK(first->told == Told::kAnswered);
  LONGS_EQUAL(1, RunsOf("k"));
}

// Symptom: as above, after the instance that ran the request died.
// Events: the instance is killed after dispatch, before the answer came; the caller resends.
// Cause: nobody knows the outcome; only "unknown" is honest.
TEST(Once, AResendAfterAKillAfterDispatchIsUnknown) {
  world.service_time = seconds(5);
  CallAndWait(*other, "k", seconds(1));
  LONGS_EQUAL(1, RunsOf("k"));
  other->Kill();
  CHECK(CallAndWait(*holder, "k")->told == Told::kUnknown);
  LONGS_EQUAL(1, RunsOf("k"));
}

// Events: the instance is killed after the grant, before dispatch; the caller resends.
// Cause: from outside this is the same as the case above, so it must not run either.
TEST(Once, AResendAfterAKillBeforeDispatchIsUnknownAndNotRun) {
  world.dispatch_delay = seconds(5);
  CallAndWait(*other, "k", seconds(1));
  other->Kill();
  world.dispatch_delay = {};
  CHECK(CallAndWait(*holder, "k")->told == Told::kUnknown);
  LONGS_EQUAL(0, RunsOf("k"));
}

// Symptom: two instances run one key.
// Events: the holder is paused, another takes over and grants a key; the old holder wakes and is
// asked for the same key, by a caller it would have granted.
// Cause: the old holder still believes that it holds the partition.
TEST(Once, AHolderThatWakesGrantsNothing) {
  CHECK(CallAndWait(*other, "warm-up")->told == Told::kAnswered);
  holder->thread().Pause();
  const auto stale = holder->Call("k", "body");
  CallAndWait(*other, "first", seconds(4));
  CHECK(CallAndWait(*other, "k", seconds(4))->told == Told::kAnswered);
  holder->thread().Wake();
  world.Advance(seconds(3));
  CHECK(stale->told == Told::kAnswered);
  LONGS_EQUAL(1, RunsOf("k"));
}

// Symptom: a booking refused as "unknown" although it never ran, or run twice.
// Events: the store's answer is lost after the write took effect.
// Cause: the holder must settle the write by reading back before it answers.
TEST(Once, ALostStoreAnswerAfterTheEffectIsSettled) {
  world.store.faults.lose_answer = 0.9;
  world.store.faults.effect_late = 0.0;
  world.store.faults.effect_never = 0.0;
  const auto request = other->Call("k", "body");
  world.Advance(milliseconds(100));
  world.store.faults.lose_answer = 0.0;
  world.Advance(seconds(3));
  CHECK(request->told == Told::kAnswered);
  LONGS_EQUAL(1, RunsOf("k"));
}

// Symptom: a key that never ran stays "unknown" for the whole retention.
// Events: the store loses answers and writes for longer than Begin waits; the caller is told "not
// run"; the write takes effect afterwards.
// Cause: an intent that nobody will use is in the log until it is withdrawn.
TEST(Once, AnIntentThatTakesEffectAfterTheRefusalIsFreedAgain) {
  world.store.faults.lose_answer = 1.0;
  world.store.faults.effect_late = 1.0;
  const auto refused = CallAndWait(*other, "k");
  CHECK(refused->told == Told::kNotRun);
  world.store.faults = {};
  world.Advance(seconds(15));
  CHECK(CallAndWait(*other, "k")->told == Told::kAnswered);
  LONGS_EQUAL(1, RunsOf("k"));
}

// Events: as above, but the asking instance dies as well, and can report nothing.
// Cause: the holder told the asker "not run" itself, so it can free the key itself.
TEST(Once, AHolderFreesALateIntentWithoutItsAsker) {
  CallAndWait(*other, "warm-up");
  world.store.faults.lose_answer = 1.0;
  world.store.faults.effect_late = 1.0;
  CHECK(CallAndWait(*other, "k")->told == Told::kNotRun);
  other->Kill();
  world.store.faults = {};
  world.Advance(seconds(15));
  CHECK(CallAndWait(*holder, "k")->told == Told::kAnswered);
  LONGS_EQUAL(1, RunsOf("k"));
}

// Symptom: callers hang while the store is down.
// Events: a long outage; every instance is asked.
// Cause: nothing can be granted without the store, so the refusal must come at once, as not run.
TEST(Once, WithoutTheStoreEveryRequestIsRefusedAtOnceAndNotRun) {
  world.store.faults.outage = true;
  for (int i = 0; i < 60; ++i) {
    const auto request = world[i % 3].Call("k" + std::to_string(i), "body");
    world.Advance(milliseconds(500));
    CHECK(request->told == Told::kNotRun);
    STRCMP_CONTAINS("store_unavailable", request->error.c_str());
  }
  world.store.faults.outage = false;
  world.Advance(seconds(1));
  CHECK(CallAndWait(*other, "k0")->told == Told::kAnswered);
  LONGS_EQUAL(1, RunsOf("k0"));
}

// Events: the answer of a request comes while the store is down.
// Cause: without offering it again, the key would say "unknown" although the answer was known.
TEST(Once, AnAnswerThatComesDuringAnOutageIsRecordedAfterwards) {
  world.service_time = seconds(2);
  const auto request = CallAndWait(*other, "k", seconds(1));
  world.store.faults.outage = true;
  world.Advance(seconds(30));
  world.store.faults.outage = false;
  world.Advance(seconds(10));
  const auto again = CallAndWait(*holder, "k");
  CHECK(again->told == Told::kAnswered);
  STRCMP_EQUAL(request->answer.c_str(), again->answer.c_str());
}

TEST(Once, AKeyWithAnotherBodyIsRefused) {
  CallAndWait(*other, "k");
  const auto reused = holder->Call("k", "another body");
  world.Advance(seconds(1));
  CHECK(reused->told == Told::kReused);
  LONGS_EQUAL(1, RunsOf("k"));
}

// Symptom: the same request id twice runs twice.
// Events: a caller's own X-Request-Id is used as request id, and the caller repeats it.
// Cause: an attempt may get its grant again after a lost reply; two Begins must not be one attempt.
TEST(Once, TwoBeginsWithOneRequestIdAreTwoAttempts) {
  int granted = 0;
  for (int i = 0; i < 2; ++i) {
    IntentRequest request{0, "kitanda", "k", Fingerprint::Of("body")};
    request.request_id = "same";
    other->coordinator().Begin(request, [&](const Result<IntentReply>& result) {
      granted += result && result->verdict == IntentVerdict::kGranted ? 1 : 0;
    });
    world.Advance(seconds(1));
  }
  LONGS_EQUAL(1, granted);
}

// Events: the holder's reply to Begin is lost; the asker asks again.
// Cause: nothing was dispatched yet, so the same attempt may have its grant.
TEST(Once, ALostReplyOfTheHolderIsAskedForAgain) {
  world.lose_reply = 1.0;
  const auto request = other->Call("k", "body");
  world.Advance(milliseconds(20));
  world.lose_reply = 0.0;
  world.Advance(seconds(3));
  CHECK(request->told == Told::kAnswered);
  LONGS_EQUAL(1, RunsOf("k"));
}

// Events: the membership wrongly says that the holder is dead; another takes the partition over
// while the holder lives, and both are asked.
TEST(Once, AHolderWronglyBelievedDeadDoesNoHarm) {
  world.believed_dead.insert(holder->Self().name);
  for (int i = 0; i < 20; ++i) {
    const std::string key = "k" + std::to_string(i);
    holder->Call(key, "body");
    other->Call(key, "body");
    world.Advance(milliseconds(300));
  }
  world.Advance(seconds(5));
  for (const auto& [key, runs] : world.ledger.runs) {
    LONGS_EQUAL(1, runs.size());
  }
  LONGS_EQUAL(20, world.ledger.runs.size());
}

// Symptom: a partition moves for one instance's mistake.
// Events: one instance alone believes that the holder is dead; a third is preferred.
// Cause: an instance that only follows its own list would take the partition from a living holder.
TEST(Once, OneMistakenInstanceStillReachesTheHolder) {
  const auto rank = [](FakeInstance& instance) {
    return Hash64(instance.Self().name + "/" + std::to_string(instance.Self().start), 0);
  };
  FakeInstance* mistaken = other;
  for (const auto& instance : world.instances) {
    const bool is_lower = rank(*instance) < rank(*mistaken);
    mistaken = instance.get() != holder && is_lower ? instance.get() : mistaken;
  }
  world.mistaken_instance = mistaken->Self().name;
  world.missed_instance = holder->Self().name;
  const auto request = mistaken->Call("k", "body");
  world.Advance(milliseconds(300));
  CHECK(request->told == Told::kAnswered);
  LONGS_EQUAL(1, holder->coordinator().HeldPartitions());
}

// Events: an instance's thread sleeps between the grant and the dispatch, past the window.
// Cause: its caller has long gone; the request must not run, and its key must become free.
TEST(Once, AGrantThatIsTooOldIsNotDispatchedAndFreesTheKey) {
  world.dispatch_delay = seconds(11);
  const auto late = CallAndWait(*other, "k", seconds(15));
  CHECK(late->told == Told::kNotRun);
  world.dispatch_delay = {};
  CHECK(CallAndWait(*holder, "k")->told == Told::kAnswered);
  LONGS_EQUAL(1, RunsOf("k"));
}

TEST(Once, APlannedStopHandsThePartitionOver) {
  CHECK(CallAndWait(*other, "k")->told == Told::kAnswered);
  bool done = false;
  holder->coordinator().HandOver([&] { done = true; });
  world.Advance(milliseconds(50));
  CHECK(done);
  const auto next = other->Call("next", "body");
  world.Advance(milliseconds(700));
  CHECK(next->told == Told::kAnswered);
  CHECK(CallAndWait(*other, "k")->told == Told::kAnswered);
  LONGS_EQUAL(1, RunsOf("k"));
}

// Symptom: keys of some partitions are refused as long as stopped instances are listed as live.
// Events: two of three instances have given their roles up and still serve callers.
// Cause: each waits for the preferred instance, which is one that has given up.
TEST(Once, TheLastInstanceTakesWhatStoppingOnesWereToTake) {
  OnceWorld stopping(9, 3);
  stopping.Advance(seconds(1));
  stopping[0].coordinator().HandOver([] {});
  stopping[1].coordinator().HandOver([] {});
  stopping.Advance(seconds(1));
  for (int i = 0; i < 60; ++i) {
    const auto request = stopping[i % 2].Call("k" + std::to_string(i), "body");
    stopping.Advance(seconds(3));
    CHECK(request->told == Told::kAnswered);
  }
}

// Symptom: bookings through an instance that is being stopped fail until it is gone.
// Events: it gives its roles up; afterwards the holder dies. It asks the dead holder at each turn.
// Cause: the turns of asking the preferred instance fell on rounds that only read the head.
TEST(Once, AStoppingInstanceReachesTheNextHolderAfterAKill) {
  for (std::size_t i = 0; i < 2 * world.instances.size(); ++i) {
    const auto& leaving = world.instances[i / 2];
    OnceWorld stopping(7, 3, OnePartition());
    stopping.sees_killed_as_live = i % 2 == 1;
    stopping.Advance(seconds(1));
    FakeInstance& holds = stopping.Holder();
    FakeInstance* asker = stopping.Find(leaving->Self().peer_address);
    if (asker == &holds) {
      continue;
    }
    asker->Call("warm-up", "body");
    stopping.Advance(seconds(1));
    asker->coordinator().HandOver([] {});
    holds.Kill();
    const auto request = asker->Call("k", "body");
    stopping.Advance(seconds(3));
    CHECK(request->told == Told::kAnswered);
  }
}

// Events: an instance starts with another number of partitions in its settings.
// Cause: it would look for a key in another partition and grant it again.
TEST(Once, TheStoreDecidesTheNumberOfPartitions) {
  CHECK(CallAndWait(*other, "k")->told == Told::kAnswered);
  world.settings.partitions = 32;
  FakeInstance& late = world.Add();
  world.Advance(seconds(1));
  CHECK(CallAndWait(late, "k")->told == Told::kAnswered);
  LONGS_EQUAL(1, RunsOf("k"));
}

TEST(Once, LargeAnswersAreRecordedWithoutBodyAndAnyBytesSurvive) {
  IntentRecord record{"org", "key", Fingerprint::Of("x"), "attempt", IntentState::kAnswered, 5};
  record.answer = RecordedAnswer{200, "image/png", std::string("\xff\x00\"\n", 4)};
  const auto segment =
      DecodeSegment(EncodeSegmentHeader({1, 2, true}) + EncodeIntentRecord(record));
  CHECK(segment.has_value());
  CHECK(segment->records.at(0).answer == record.answer);
  CHECK(segment->header.sealed);
}

// Symptom: an instance that holds many partitions runs out of memory.
// Events: answers of some KB each are recorded for the whole retention.
// Cause: only their number was bounded.
TEST(Once, TheOldestBodiesOfRecordedAnswersAreDroppedAndSaidToBe) {
  IntentIndex index(1'000, 250);
  for (int i = 0; i < 4; ++i) {
    IntentRecord record{"org", "k" + std::to_string(i), {}, "attempt", IntentState::kAnswered, 5};
    record.answer = RecordedAnswer{200, "text/plain", std::string(100, 'x')};
    index.Apply(record);
    index.Apply(record);
  }
  LONGS_EQUAL(200, index.body_bytes());
  for (int i = 0; i < 4; ++i) {
    const RecordedAnswer& answer = *index.Find("org", "k" + std::to_string(i))->answer;
    CHECK_EQUAL(i < 2, answer.body_dropped);
    LONGS_EQUAL(i < 2 ? 0 : 100, answer.body.size());
  }
  index.DropExpired(10'000);
  LONGS_EQUAL(0, index.body_bytes());
}

// Symptom: `explain request` of a booking says nothing of why it ran or was refused.
TEST(Once, TheDecisionsAboutABookingAreRecordedInOrder) {
  const auto decisions_about = [](FakeInstance& instance, const std::string& id) {
    std::string decisions;
    for (const DecisionRecord& record : instance.decisions) {
      decisions += record.subject == "request " + id ? record.decision + " " : "";
    }
    return decisions;
  };
  const auto first = CallAndWait(*other, "k");
  STRCMP_EQUAL("begin_once grant_once record_outcome ", decisions_about(*other, first->id).c_str());
  const auto again = CallAndWait(*holder, "k");
  STRCMP_EQUAL("begin_once give_recorded_answer ", decisions_about(*holder, again->id).c_str());
  world.dispatch_delay = seconds(11);
  const auto unused = CallAndWait(*other, "k2", seconds(15));
  STRCMP_EQUAL("begin_once grant_once free_key ", decisions_about(*other, unused->id).c_str());
  world.store.faults.outage = true;
  const auto refused = CallAndWait(*other, "k3");
  STRCMP_EQUAL("begin_once refuse_once ", decisions_about(*other, refused->id).c_str());
  const DecisionRecord& last = other->decisions.back();
  STRCMP_CONTAINS("error=\"store_unavailable\"", Describe(last).c_str());
  STRCMP_CONTAINS("commit_wait_ms=", Describe(last).c_str());
}

TEST(Once, KeysAreForgottenAndSegmentsDeletedAfterTheRetention) {
  world.settings.segment_bytes = 500;
  CallAndWait(*other, "k");
  CallAndWait(*other, "k2");
  const std::size_t records = world.store.records.size();
  world.Advance(seconds(2 * 3'600));
  CHECK(CallAndWait(*other, "k")->told == Told::kAnswered);
  LONGS_EQUAL(2, RunsOf("k"));
  CHECK(world.store.records.size() <= records + 1);
}

}  // namespace
}  // namespace zinnia
