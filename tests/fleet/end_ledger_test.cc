#include "platform/soak/end_ledger.h"
#include "zinnia_base/time/virtual_time.h"

#include <CppUTest/TestHarness.h>

namespace zinnia::platform::soak {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(EndLedger) {
  VirtualTime time;
  EndLedger ledger{time};

  void setup() override {
    time.AdvanceBy(seconds(60));
    ledger.OnRouteTime(seconds(4));
    time.AdvanceBy(seconds(60));
    ledger.OnSend("request", "instance");
  }

  /** A stream that has begun and was cut. */
  static CallOutcome Cut() {
    CallOutcome outcome;
    outcome.id = "request";
    outcome.kind = CallKind::kEvents;
    outcome.status = 200;
    outcome.took = milliseconds(300);
    outcome.deadline = seconds(4);
    return outcome;
  }

  static CallOutcome NoAnswer() {
    CallOutcome outcome = Cut();
    outcome.status = 0;
    return outcome;
  }

  void CheckEnd(RequestEnd end, const CallOutcome& outcome) {
    ledger.OnOutcome(outcome);
    CHECK_EQUAL(1U, ledger.Counts()[end]);
    CHECK_EQUAL(end == RequestEnd::kCutOff || end == RequestEnd::kNoAnswer ? 1U : 0U,
                ledger.Violations().size());
  }
};

TEST(EndLedger, AWholeAnswerIsAnEnd) {
  CallOutcome outcome = Cut();
  outcome.whole = true;
  CheckEnd(RequestEnd::kAnswered, outcome);
}

TEST(EndLedger, ARefusalIsAnEnd) {
  CallOutcome outcome = NoAnswer();
  outcome.whole = true;
  outcome.status = 503;
  CheckEnd(RequestEnd::kRefused, outcome);
}

TEST(EndLedger, TellsOfAStreamThatIsCutWhileItsServerLives) {
  ledger.OnBegun("server", "request");
  CheckEnd(RequestEnd::kCutOff, Cut());
}

TEST(EndLedger, ABrokenServerThatHadNotBegunToAnswerExcusesNothing) {
  ledger.OnBegun("server", "request");
  ledger.OnServerCrashed("other");
  ledger.SetLinkBroken("other", true);
  ledger.SetRemoved("other", true);
  CheckEnd(RequestEnd::kCutOff, Cut());
}

TEST(EndLedger, ACutOfItsInstanceExcusesACut) {
  ledger.SetInstanceCut("instance", true);
  ledger.SetInstanceCut("instance", false);
  CheckEnd(RequestEnd::kServerEnded, Cut());
  CHECK_EQUAL(1U, ledger.AtCutInstances().requests);
  CHECK_EQUAL(0U, ledger.AtCutInstances().answered);
}

TEST(EndLedger, ACutOfAnotherInstanceExcusesNothing) {
  ledger.SetInstanceCut("other", true);
  CheckEnd(RequestEnd::kCutOff, Cut());
}

TEST(EndLedger, ACutOfItsInstanceExcusesNoMissingAnswer) {
  ledger.SetInstanceCut("instance", true);
  CheckEnd(RequestEnd::kNoAnswer, NoAnswer());
}

TEST(EndLedger, ACutThatEndedBeforeExcusesNothing) {
  ledger.SetInstanceCut("instance", true);
  ledger.SetInstanceCut("instance", false);
  ledger.OnSend("request", "instance");
  CheckEnd(RequestEnd::kCutOff, Cut());
}

TEST(EndLedger, CountsWhatIsServedBesideACut) {
  ledger.SetInstanceCut("other", true);
  ledger.OnSend("request", "instance");
  CallOutcome outcome = Cut();
  outcome.whole = true;
  CheckEnd(RequestEnd::kAnswered, outcome);
  CHECK_EQUAL(1U, ledger.BesideCuts().answered);
  CHECK_EQUAL(0U, ledger.AtCutInstances().requests);
}

TEST(EndLedger, AFaultThatEndedBeforeExcusesNothing) {
  ledger.SetLinkBroken("server", true);
  ledger.SetLinkBroken("server", false);
  ledger.SetRemoved("server", true);
  ledger.SetRemoved("server", false);
  ledger.OnServerCrashed("server");
  ledger.OnBegun("server", "request");
  CheckEnd(RequestEnd::kCutOff, Cut());
}

TEST(EndLedger, ACrashOfItsServerExcusesACut) {
  ledger.OnBegun("server", "request");
  ledger.OnServerCrashed("server");
  CheckEnd(RequestEnd::kServerEnded, Cut());
}

TEST(EndLedger, ALinkThatBreaksExcusesACut) {
  ledger.OnBegun("server", "request");
  ledger.SetLinkBroken("server", true);
  CheckEnd(RequestEnd::kServerEnded, Cut());
}

TEST(EndLedger, AnAnswerOverABrokenLinkExcusesACut) {
  ledger.SetLinkBroken("server", true);
  ledger.SetLinkBroken("server", true);
  ledger.SetLinkBroken("server", false);
  ledger.OnBegun("server", "request");
  CheckEnd(RequestEnd::kServerEnded, Cut());
}

TEST(EndLedger, ARemovalOfItsServerExcusesACut) {
  ledger.OnBegun("server", "request");
  ledger.SetRemoved("server", true);
  CheckEnd(RequestEnd::kServerEnded, Cut());
}

TEST(EndLedger, AnAnswerThatIsBrokenOffExcusesACut) {
  ledger.OnBegun("server", "request");
  ledger.OnBrokenOff("request");
  CheckEnd(RequestEnd::kServerEnded, Cut());
}

TEST(EndLedger, ACrashExcusesNoMissingAnswer) {
  ledger.OnBegun("server", "request");
  ledger.OnServerCrashed("server");
  CheckEnd(RequestEnd::kNoAnswer, NoAnswer());
}

TEST(EndLedger, ADisturbedInstanceExcuses) {
  CallOutcome outcome = NoAnswer();
  outcome.instance_disturbed = true;
  CheckEnd(RequestEnd::kInstanceEnded, outcome);
}

TEST(EndLedger, AStoppingInstanceNeedNotTakeARequest) {
  CallOutcome outcome = NoAnswer();
  outcome.instance_stopping = true;
  CheckEnd(RequestEnd::kNotTaken, outcome);
}

TEST(EndLedger, AStoppingInstanceOwesAnEndToWhatItTook) {
  ledger.OnBegun("server", "request");
  CallOutcome outcome = NoAnswer();
  outcome.instance_stopping = true;
  CheckEnd(RequestEnd::kNoAnswer, outcome);
}

TEST(EndLedger, AStoppingInstanceCutsNoBegunStream) {
  ledger.OnBegun("server", "request");
  CallOutcome outcome = Cut();
  outcome.instance_stopping = true;
  CheckEnd(RequestEnd::kCutOff, outcome);
}

TEST(EndLedger, TheTimeOfTheRequestExcuses) {
  CallOutcome outcome = Cut();
  outcome.took = seconds(4);
  CheckEnd(RequestEnd::kTimeOver, outcome);
}

TEST(EndLedger, AShorterTimeOfTheRouteExcuses) {
  ledger.OnRouteTime(seconds(3));
  CallOutcome outcome = Cut();
  outcome.took = seconds(3);
  CheckEnd(RequestEnd::kTimeOver, outcome);
}

TEST(EndLedger, AShorterTimeThatIsOutOfForceExcusesNothing) {
  ledger.OnRouteTime(seconds(3));
  ledger.OnRouteTime(seconds(4));
  time.AdvanceBy(seconds(6));
  CallOutcome outcome = Cut();
  outcome.took = seconds(3);
  CheckEnd(RequestEnd::kCutOff, outcome);
}

TEST(EndLedger, TellsOfARequestWithoutAnEnd) {
  CHECK_EQUAL(0U, ledger.Violations().size());
  ledger.CheckAtEnd();
  CHECK_EQUAL(1U, ledger.Violations().size());
}

TEST(EndLedger, TellsOfASecondEnd) {
  CallOutcome outcome = Cut();
  outcome.whole = true;
  ledger.OnOutcome(outcome);
  ledger.OnOutcome(outcome);
  CHECK_EQUAL(1U, ledger.Violations().size());
}

}  // namespace zinnia::platform::soak
