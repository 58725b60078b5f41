#include "zinnia_adapters/forwarding/caller_answer.h"

#include <memory>
#include <string>

#include "tests/adapters/control_fakes.h"
#include "tests/forwarding/forwarding_fakes.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

/** Writes down what it is told. */
struct RecordingResponder final : Responder {
  bool IsCallerThere() override { return true; }
  void SendWhole(CallerResponse) override { calls += "whole "; }
  void StartEvents(const std::string&) override { calls += "events "; }
  void StartStream(StreamHead) override { calls += "head "; }
  void SendEvents(std::string_view events) override { calls += std::string(events) + " "; }
  void EndEvents() override { calls += "end "; }
  void CutOff() override { calls += "cut "; }
  std::string calls;
};

TEST_GROUP(CallerAnswerStates) {
  std::shared_ptr<RecordingResponder> responder = std::make_shared<RecordingResponder>();
  RecordingLogger logger;
  CountingMetrics metrics;
  CallerAnswer answer{responder, logger, metrics};

  void CheckCalls(const char* expected) {
    STRCMP_EQUAL(expected, responder->calls.c_str());
  }
};

TEST(CallerAnswerStates, AStreamHasOneHead) {
  answer.StartStream({});
  answer.SendEvents("a");
  answer.StartStream({});
  answer.SendEvents("b");
  answer.EndStream();
  CheckCalls("head a b end ");
}

// Guards against a whole answer within a stream.
TEST(CallerAnswerStates, AWholeAnswerAfterTheBeginningOfAStreamCutsItOff) {
  answer.StartStream({});
  CHECK_FALSE(answer.SendWhole({}));
  answer.SendEvents("a");
  answer.EndStream();
  CheckCalls("head cut ");
}

// Guards against bytes that the caller would take for the answer to its next request.
TEST(CallerAnswerStates, NothingFollowsTheEnd) {
  CHECK_TRUE(answer.SendWhole({}));
  CHECK_FALSE(answer.SendWhole({}));
  answer.StartStream({});
  answer.SendEvents("a");
  answer.EndStream();
  answer.CutOff();
  CheckCalls("whole ");
}

}  // namespace zinnia
