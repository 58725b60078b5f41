#include <fmt/format.h>

#include "platform/soak/answer_transcript.h"
#include "platform/soak/ledger.h"

#include <CppUTest/TestHarness.h>

namespace zinnia::platform::soak {

TEST_GROUP(AnswerTranscript) {
  const std::string answer =
      "HTTP/1.1 200 OK\r\nZinniastage-Attempt-Id: request\r\nContent-Length: 2\r\n\r\n{}";

  static CallOutcome Read(const std::string& bytes) {
    AnswerTranscript transcript("request");
    for (const char byte : bytes) {
      transcript.Read(std::string_view(&byte, 1));
    }
    CallOutcome outcome;
    transcript.Describe(outcome);
    return outcome;
  }

  static void CheckTold(const std::string& bytes) {
    AnswerTranscript transcript("request");
    transcript.Read(bytes);
    CHECK_FALSE(transcript.KeepsConnection());
    CHECK_FALSE(Read(bytes).misread.empty());
    Ledger ledger;
    CallOutcome outcome = Read(bytes);
    outcome.id = "request";
    ledger.OnOutcome(outcome);
    const std::vector<std::string> violations = ledger.Violations();
    CHECK_FALSE(violations.empty());
    CHECK(violations.front().find("request request at : MIXED: ") == 0 ||
          violations.back().find("request request at : MIXED: ") == 0);
  }
};

TEST(AnswerTranscript, OneAnswerIsNotToldOf) {
  const CallOutcome outcome = Read(answer);
  CHECK(outcome.whole);
  CHECK_EQUAL(200U, outcome.status);
  STRCMP_EQUAL("{}", outcome.body.c_str());
  STRCMP_EQUAL("", outcome.misread.c_str());
}

TEST(AnswerTranscript, AnAnswerThatIsCutIsNotWholeAndNotToldOf) {
  AnswerTranscript transcript("request");
  transcript.Read(answer.substr(0, answer.size() - 1));
  transcript.ReadEnd();
  CallOutcome outcome;
  transcript.Describe(outcome);
  CHECK_FALSE(outcome.whole);
  STRCMP_EQUAL("", outcome.misread.c_str());
}

TEST(AnswerTranscript, TellsOfAnInterimHead) {
  CheckTold("HTTP/1.1 103 Early Hints\r\n\r\n" + answer);
}

TEST(AnswerTranscript, TellsOfASecondAnswer) {
  CheckTold(answer + answer);
}

TEST(AnswerTranscript, TellsOfAnotherRequestsAnswer) {
  CheckTold("HTTP/1.1 200 OK\r\nZinniastage-Attempt-Id: other\r\nContent-Length: 0\r\n\r\n");
}

TEST(AnswerTranscript, TellsOfTheBodyOfASecondAnswer) {
  const std::string body = std::string(kSecondMark) + " nobody";
  CheckTold("HTTP/1.1 500 No\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
            body);
}

TEST(AnswerTranscript, TellsOfAStatusThatDoesNotExist) {
  CheckTold("HTTP/1.1 600 No\r\nContent-Length: 0\r\n\r\n");
}

TEST(AnswerTranscript, TellsOfBrokenFraming) {
  CheckTold("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabcd\r\n");
}

TEST(AnswerTranscript, TellsOfTwoLengths) {
  CheckTold("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
}

// The judge sees a stream that bears the signature of one server over the events of another.
TEST(AnswerTranscript, TellsWhoMadeAndWhoSignedAStream) {
  for (const char* signer : {"a", "b"}) {
    CallOutcome outcome =
        Read(fmt::format("HTTP/1.1 200 OK\r\nZinniastage-Response-Signature: signed-by-{}\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n23\r\n: made by a\nid: 1\n"
                         "data: request 1\n\n\r\n",
                         signer));
    STRCMP_EQUAL("a", outcome.first_event_by.c_str());
    STRCMP_EQUAL(ExpectedEvent("request", 1).c_str(), outcome.body.c_str());
    outcome.id = "request";
    outcome.kind = CallKind::kEvents;
    outcome.deadline = std::chrono::seconds(1);
    Ledger ledger;
    ledger.OnOutcome(outcome);
    CHECK_EQUAL(outcome.server == "a" ? 0U : 1U, ledger.Violations().size());
  }
}

}  // namespace zinnia::platform::soak
