#include <chrono>
#include <memory>

#include <CppUTest/TestHarness.h>

#include "tests/sessions/session_world.h"

namespace zinnia {

using std::chrono::milliseconds;

TEST_GROUP(Resume) {
  SessionWorld world;
  std::shared_ptr<FakeCaller> before = std::make_shared<FakeCaller>();
  std::shared_ptr<FakeCaller> after = std::make_shared<FakeCaller>();
  std::shared_ptr<SessionDriver> old_driver;
  std::shared_ptr<SessionDriver> driver;

  void KillInstanceMidAnswer() {
    old_driver = world.Start(before);
    world.time.AdvanceBy(milliseconds(100));
    old_driver.reset();
    CHECK_TRUE(before->tokens > 0);
  }

  void CheckRestIsDelivered() {
    world.RunToCompletion();
    CHECK_EQUAL(1, after->final_events);
    STRCMP_EQUAL(SessionWorld::ExpectedText().c_str(), (before->text + after->text).c_str());
  }

  void CheckFailed(ErrorKind kind) {
    CHECK_EQUAL(1, after->final_events);
    CHECK_TRUE(after->error.has_value());
    STRCMP_EQUAL(NameOf(kind).data(), NameOf(after->error->kind).data());
    CHECK_EQUAL(0U, after->tokens);
  }
};

TEST(Resume, ContinuesFromTheStagesCaches) {
  // The instance fails while all stages still hold the session.
  KillInstanceMidAnswer();
  driver = world.Resume(after, before->last_event_id);
  CheckRestIsDelivered();
  CHECK_TRUE(world.recorder.Has("resume_session"));
  CHECK_FALSE(world.recorder.Has("regenerate_answer"));
}

TEST(Resume, TokensSampledButNotDeliveredAreDelivered) {
  // Guards against a missing token when the caller resumes from an older event id than the last one
  // sent.
  std::string older_id;
  std::string older_text;
  before->on_token = [&](const SampledToken&) {
    if (before->tokens == 2) {
      older_id = before->last_event_id;
      older_text = before->text;
    }
  };
  KillInstanceMidAnswer();
  before->text = older_text;
  driver = world.Resume(after, older_id);
  CheckRestIsDelivered();
}

TEST(Resume, RegeneratesWhenTheSamplingStageIsGoneToo) {
  // The instance and the last stage, which holds the tokens, fail together.
  KillInstanceMidAnswer();
  world.stages.Crash("c1");
  world.SetState("c1", BackendServerState::kGone);
  driver = world.Resume(after, before->last_event_id);
  CheckRestIsDelivered();
  CHECK_TRUE(world.recorder.Has("regenerate_answer"));
}

TEST(Resume, MiddleStageFailsWithTheInstance) {
  // The last stage still holds the tokens, so only the failed stage is replaced and replayed.
  KillInstanceMidAnswer();
  world.stages.Crash("b1");
  driver = world.Resume(after, before->last_event_id);
  CheckRestIsDelivered();
  CHECK_FALSE(world.recorder.Has("regenerate_answer"));
}

TEST(Resume, DivergedAnswerIsRefused) {
  // Guards against continuing with a regenerated answer that differs from the delivered text. A
  // changed seed causes the difference.
  KillInstanceMidAnswer();
  world.stages.Crash("c1");
  world.SetState("c1", BackendServerState::kGone);
  ResumePoint point = world.codec->Open(before->last_event_id).value();
  point.seed += 1;
  driver = world.Resume(after, world.codec->Seal(point));
  world.RunToCompletion();
  CheckFailed(ErrorKind::kResumeDiverged);
}

TEST(Resume, NeverResumesWithAnotherVersion) {
  KillInstanceMidAnswer();
  for (const char* server : {"c1", "c2"}) {
    world.stages.Crash(server);
    world.SetState(server, BackendServerState::kGone);
  }
  world.AddPipeline("next", "2", 1, "n");
  driver = world.Resume(after, before->last_event_id);
  world.RunToCompletion();
  CheckFailed(ErrorKind::kRecoveryFailed);
}

TEST(Resume, ConcurrentDriversOfOneSessionDoNotInterfere) {
  // Guards against mixed tokens when the previous driver still runs and two other instances resume
  // from the same event id.
  old_driver = world.Start(before);
  world.time.AdvanceBy(milliseconds(100));
  const std::string text = before->text;
  const std::string id = before->last_event_id;
  driver = world.Resume(after, id);
  const auto third = std::make_shared<FakeCaller>();
  ChatRequest third_request = SessionWorld::MakeRequest();
  third_request.request_id = "r-3";
  const auto third_driver = SessionDriver::Create(world.Parts(), "s-3", third_request,
                                                  world.codec->Open(id).value(), third);
  third_driver->Start();
  world.RunToCompletion();
  STRCMP_EQUAL(SessionWorld::ExpectedText().c_str(), before->text.c_str());
  STRCMP_EQUAL(SessionWorld::ExpectedText().c_str(), (text + after->text).c_str());
  STRCMP_EQUAL(SessionWorld::ExpectedText().c_str(), (text + third->text).c_str());
}

TEST(Resume, ResumingACompleteAnswerDeliversOnlyItsEnd) {
  // Guards against duplicate tokens or an error when only the end event was lost.
  before->on_token = [this](const SampledToken&) {
    if (before->tokens == SessionWorld::MakeRequest().max_tokens) {
      old_driver.reset();
    }
  };
  old_driver = world.Start(before);
  world.RunToCompletion();
  driver = world.Resume(after, before->last_event_id);
  CheckRestIsDelivered();
  CHECK_EQUAL(0U, after->tokens);
}

}  // namespace zinnia
