#include <chrono>
#include <memory>
#include <string>

#include <CppUTest/TestHarness.h>

#include "zinnia_decisions/sessions/attempt_numbers.h"
#include "zinnia_decisions/sessions/resume_check.h"
#include "zinnia_decisions/sessions/signed_resume_token_codec.h"

namespace zinnia {
namespace {

constexpr const char* kKey = "a key of at least thirty-two bytes";

ResumePoint MakePoint() {
  ResumePoint point;
  point.session = "akl-a-1/1800000000/42";
  point.organisation = "surveyors";
  point.request = Fingerprint::Of("request");
  point.attempt = 70'000;
  point.delivered_tokens = 300;
  point.delivered_hash = Fingerprint::Of("text");
  point.seed = ~0ULL;
  point.expires_at_unix_ms = 1'800'000'000'000;
  point.route = {"main", "draft", "2026-11", {{{0, 12}, "w-1"}, {{12, 24}, "w-2"}}};
  return point;
}

ChatRequest MakeRequest() {
  ChatRequest request;
  request.organisation = "surveyors";
  request.model = "draft";
  request.fingerprint = Fingerprint::Of("request");
  return request;
}

WallTimePoint AtMilliseconds(std::int64_t since_epoch) {
  return WallTimePoint{std::chrono::milliseconds(since_epoch)};
}

}  // namespace

TEST_GROUP(ResumeToken) {
  std::unique_ptr<SignedResumeTokenCodec> codec = SignedResumeTokenCodec::Create(kKey).value();

  void CheckRefused(const Result<ResumePoint>& result) {
    CHECK_TRUE(result.has_error());
    CHECK_TRUE(result.error().kind == ErrorKind::kResumeRefused);
  }
};

TEST(ResumeToken, OpensWhatItSealed) {
  CHECK_TRUE(codec->Open(codec->Seal(MakePoint())).value() == MakePoint());
}

TEST(ResumeToken, ReusedSigningContextGivesTheSameTokens) {
  // Guards against state that carries over between tokens in the reused signing context.
  const auto other = SignedResumeTokenCodec::Create(kKey).value();
  ResumePoint point = MakePoint();
  for (point.delivered_tokens = 0; point.delivered_tokens < 20; ++point.delivered_tokens) {
    CHECK_TRUE(other->Open(codec->Seal(point)).value() == point);
    CHECK_TRUE(codec->Seal(point) == other->Seal(point));
  }
}

TEST(ResumeToken, RefusesAlteredAndTruncatedTokens) {
  // Guards against forged event ids.
  ResumePoint point = MakePoint();
  // Three lengths, since the last character of the text carries a different share of the last byte.
  for (int length = 0; length < 3; ++length) {
    point.session += 'x';
    const std::string token = codec->Seal(point);
    for (std::size_t at = 0; at < token.size(); ++at) {
      std::string altered = token;
      altered[at] = altered[at] == 'A' ? 'B' : 'A';
      CheckRefused(codec->Open(altered));
      altered[at] = static_cast<char>(token[at] + 1);
      CheckRefused(codec->Open(altered));
      CheckRefused(codec->Open(token.substr(0, at)));
    }
    CheckRefused(codec->Open(token + "A"));
  }
  CheckRefused(codec->Open("not base64!"));
}

TEST(ResumeToken, RefusesForeignKey) {
  const auto other =
      SignedResumeTokenCodec::Create("another key of thirty-two bytes or so").value();
  CheckRefused(codec->Open(other->Seal(MakePoint())));
}

TEST(ResumeToken, RefusesShortKey) {
  const auto result = SignedResumeTokenCodec::Create("short");
  CHECK_TRUE(result.has_error());
  CHECK_TRUE(result.error().kind == ErrorKind::kInvalidSettings);
}

TEST(ResumeToken, OpensOnlyForItsOrganisationRequestAndTime) {
  // Guards against access by another organisation and against expired ids.
  const std::string token = codec->Seal(MakePoint());
  const WallTimePoint in_time = AtMilliseconds(MakePoint().expires_at_unix_ms);
  CHECK_TRUE(OpenResumePoint(*codec, token, MakeRequest(), in_time).has_value());
  const WallTimePoint late = AtMilliseconds(MakePoint().expires_at_unix_ms + 1);
  CheckRefused(OpenResumePoint(*codec, token, MakeRequest(), late));
  ChatRequest foreign = MakeRequest();
  foreign.organisation = "hostel";
  CheckRefused(OpenResumePoint(*codec, token, foreign, in_time));
  ChatRequest changed = MakeRequest();
  changed.fingerprint = Fingerprint::Of("another request");
  CheckRefused(OpenResumePoint(*codec, token, changed, in_time));
}

TEST(ResumeToken, ResumedAttemptExceedsAllOfThePreviousDriver) {
  // Guards against equal attempt numbers of the previous and the resuming driver.
  const AttemptNumber resumed = AttemptNumbers::ForResume(AttemptNumbers::kFirst, "r-2").value();
  constexpr AttemptNumber kMostAttemptsOfOneDriver = 600;
  CHECK_TRUE(resumed > AttemptNumbers::kFirst + kMostAttemptsOfOneDriver);
  const AttemptNumber other = AttemptNumbers::ForResume(AttemptNumbers::kFirst, "r-3").value();
  CHECK_TRUE(resumed != other);
  CHECK_TRUE(AttemptNumbers::ForResume(resumed, "r-3").value() > resumed);
  CHECK_TRUE(AttemptNumbers::ForResume(~AttemptNumber{0}, "r-3").has_error());
}

}  // namespace zinnia
