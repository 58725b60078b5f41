#include <array>
#include <cstdlib>

#include "tests/forwarding_path/answer_generator.h"
#include "tests/forwarding_path/answer_judge.h"
#include "tests/forwarding_path/answer_schedule.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {
namespace {

std::uint64_t FromEnvironment(const char* name, std::uint64_t otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

std::string Answer(std::string_view fields, std::string_view body) {
  return fmt::format("HTTP/1.1 200 OK\r\nX-Signature: s\r\n{}Content-Length: {}\r\n\r\n{}", fields,
                     body.size(), body);
}

constexpr std::string_view kMine = "X-Attempt: r/1\r\n";
constexpr std::string_view kStreamHead =
    "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Attempt: r/1\r\nTransfer-Encoding: chunked\r\n\r\n";

/** A seed that found a fault, with its cause. */
struct FormerFault {
  std::uint64_t seed;
  std::string_view cause;
};

constexpr std::array kFormerFaults = {
    FormerFault{35, "a trailer X-Not-Run made a request run twice"},
    FormerFault{62, "a trailer X-Id hid the id in the head"},
};

struct SpoiledTranscript {
  std::string_view name;
  RequestKind kind;
  std::string received;
  bool is_closed;
  std::string_view fault;
};

}  // namespace

/** ZINNIA_SEEDS plays so many seeds, from ZINNIA_FIRST_SEED on. */
TEST_GROUP(AnswerFuzzPath) {
  static constexpr std::uint64_t kSeeds = 300;

  static GeneratedAnswer Sound(RequestKind kind) {
    GeneratedAnswer answer;
    answer.attempt = "r/1";
    answer.body = kind == RequestKind::kEvents
                      ? AnswerGenerator::Events("r", 1, AnswerGenerator::EventCount("r"))
                      : "mine:r/1";
    return answer;
  }

  static std::string FaultOf(RequestKind kind, const std::vector<GeneratedAnswer>& answers,
                             std::string_view received, bool is_closed) {
    return AnswerJudge(kind, "r", answers).FindFault(received, is_closed);
  }
};

TEST(AnswerFuzzPath, CallersGetTheirOwnWholeAnswers) {
  const std::uint64_t first = FromEnvironment("ZINNIA_FIRST_SEED", 1);
  const std::uint64_t count = FromEnvironment("ZINNIA_SEEDS", kSeeds);
  int answers = 0;
  int mutated = 0;
  int passed_on = 0;
  int faults = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    AnswerSchedule schedule(seed);
    if (const std::string fault = schedule.Run(); !fault.empty()) {
      ++faults;
      UT_PRINT(fault.c_str());
    }
    answers += schedule.Answers();
    mutated += schedule.Mutated();
    passed_on += schedule.PassedOn();
  }
  UT_PRINT(fmt::format("{} answers, {} mutated, {} passed on, {} seeds with faults", answers,
                       mutated, passed_on, faults)
               .c_str());
  CHECK_EQUAL(0, faults);
}

TEST(AnswerFuzzPath, FormerFaultsStayMended) {
  for (const FormerFault& former : kFormerFaults) {
    AnswerSchedule schedule(former.seed);
    STRCMP_EQUAL_TEXT("", schedule.Run().c_str(), former.cause.data());
  }
}

TEST(AnswerFuzzPath, TheJudgeAcceptsWholeAnswers) {
  const std::vector<GeneratedAnswer> whole = {Sound(RequestKind::kSafe)};
  STRCMP_EQUAL("", FaultOf(RequestKind::kSafe, whole, Answer(kMine, "mine:r/1"), false).c_str());
  const std::vector<GeneratedAnswer> stream = {Sound(RequestKind::kEvents)};
  const std::string received =
      std::string(kStreamHead) + ForwardingFixture::Chunk(stream[0].body) + "0\r\n\r\n";
  STRCMP_EQUAL("", FaultOf(RequestKind::kEvents, stream, received, false).c_str());
}

TEST(AnswerFuzzPath, TheJudgeTellsSpoiledTranscripts) {
  const std::string whole = Answer(kMine, "mine:r/1");
  const std::string events = Sound(RequestKind::kEvents).body;
  const std::string head(kStreamHead);
  const std::string one = ForwardingFixture::Chunk(events.substr(0, events.find("\n\n") + 2));
  const std::string all = ForwardingFixture::Chunk(events);
  constexpr RequestKind kSafe = RequestKind::kSafe;
  constexpr RequestKind kEvents = RequestKind::kEvents;
  const std::array transcripts = {
      SpoiledTranscript{"two heads", kSafe, whole + whole, false, "bytes after the answer"},
      SpoiledTranscript{"an interim head", kSafe, "HTTP/1.1 100 Continue\r\n\r\n" + whole, false,
                        "no answer: status 100"},
      SpoiledTranscript{"status 600", kSafe, "HTTP/1.1 600 Odd\r\nContent-Length: 0\r\n\r\n", false,
                        "no answer: status 600"},
      SpoiledTranscript{"a foreign body", kSafe, Answer(kMine, "mine:q/1"), false,
                        "a foreign status or body"},
      SpoiledTranscript{"a foreign answer", kSafe, Answer("X-Attempt: q/1\r\n", "mine:q/1"), false,
                        "a foreign answer: q/1"},
      SpoiledTranscript{"an answer of nobody", kSafe, Answer("", "other"), false,
                        "neither a server's answer nor an error"},
      SpoiledTranscript{"bytes of an earlier answer", kSafe, "x" + whole, false,
                        "no answer: no status line"},
      SpoiledTranscript{"a cut body that looks whole", kSafe, Answer(kMine, "mine:r"), false,
                        "a foreign status or body"},
      SpoiledTranscript{"a cut body", kSafe, whole.substr(0, whole.size() - 1), true,
                        "cut off, but no begun stream"},
      SpoiledTranscript{"no end", kSafe, whole.substr(0, whole.size() - 1), false,
                        "no whole answer"},
      SpoiledTranscript{"no framing", kSafe, "HTTP/1.1 200 OK\r\n\r\nmine:r/1", true,
                        "no answer: a body without framing"},
      SpoiledTranscript{"two lengths", kSafe, Answer("Content-Length: 8\r\n", "mine:r/1"), false,
                        "no answer: repeated framing: content-length"},
      SpoiledTranscript{"a folded line", kSafe, Answer("X-A: a\r\n b\r\n", "mine:r/1"), false,
                        "no answer: a malformed field"},
      SpoiledTranscript{"a sound answer is lost", kSafe,
                        "HTTP/1.1 502 Odd\r\nContent-Length: 0\r\n\r\n", false,
                        "a sound answer is lost"},
      SpoiledTranscript{"a cut stream that looks whole", kEvents, head + one + "0\r\n\r\n", false,
                        "a foreign or cut stream looks whole"},
      SpoiledTranscript{"a sound stream is cut", kEvents, head + one, true,
                        "a sound stream is cut off"},
      SpoiledTranscript{"a head within a stream", kEvents, head + one + "HTTP/1.1 502 Odd\r\n\r\n",
                        true, "no answer: a malformed chunk size"},
      SpoiledTranscript{"an event twice", kEvents, head + one + all + "0\r\n\r\n", false,
                        "a foreign or cut stream looks whole"},
      SpoiledTranscript{"a wrong beginning", kEvents, head + ForwardingFixture::Chunk("id: 9\n\n"),
                        true, "a foreign beginning of a stream"},
  };
  CHECK_TRUE(AnswerGenerator::EventCount("r") > 1);
  for (const SpoiledTranscript& one_of : transcripts) {
    STRCMP_EQUAL_TEXT(
        std::string(one_of.fault).c_str(),
        FaultOf(one_of.kind, {Sound(one_of.kind)}, one_of.received, one_of.is_closed).c_str(),
        one_of.name.data());
  }
}

TEST(AnswerFuzzPath, TheJudgeTellsSpoiledAnswersAndSecondSends) {
  GeneratedAnswer spoiled = Sound(RequestKind::kOnce);
  spoiled.soundness = Soundness::kSpoiled;
  const std::string whole = Answer(kMine, "mine:r/1");
  STRCMP_EQUAL("a spoiled answer", FaultOf(RequestKind::kOnce, {spoiled}, whole, false).c_str());
  GeneratedAnswer second = Sound(RequestKind::kOnce);
  second.attempt = "r/2";
  second.body = "mine:r/2";
  const std::string last = Answer("X-Attempt: r/2\r\n", "mine:r/2");
  STRCMP_EQUAL("sent twice", FaultOf(RequestKind::kOnce, {spoiled, second}, last, false).c_str());
  GeneratedAnswer refusal = Sound(RequestKind::kOnce);
  refusal.status = 503;
  refusal.is_refusal = true;
  STRCMP_EQUAL("", FaultOf(RequestKind::kOnce, {refusal, second}, last, false).c_str());
}

}  // namespace zinnia
