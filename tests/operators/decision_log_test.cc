#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

#include "zinnia_adapters/operators/decision_log.h"
#include "zinnia_base/logging/logger.h"

using namespace zinnia;  // NOLINT(google-build-using-namespace)

namespace {

class LastLine final : public Logger {
 public:
  void Log(LogLevel level,
           std::string_view event,
           std::initializer_list<LogField> fields) override {
    line = FormatLogLine(level, event, fields);
  }
  std::string line;
};

class NoLines final : public Logger {
 public:
  void Log(LogLevel, std::string_view, std::initializer_list<LogField>) override {}
};

DecisionRecord RecordOf(const std::string& subject, const std::string& reason = "because") {
  return {TimePoint(), subject, "choose_pipeline", reason, {{"pipeline", "p"}, {"load", "3"}}};
}

}  // namespace

TEST_GROUP(DecisionLog){};

TEST(DecisionLog, WritesALineForEachDecision) {
  LastLine logger;
  DecisionLog log(logger);
  log.Record(RecordOf("session s-1"));
  STRCMP_EQUAL(
      "level=debug event=decision decision=choose_pipeline subject=\"session s-1\" "
      "reason=because facts=\"pipeline=p load=3\"",
      logger.line.c_str());
  log.Record(RecordOf("configuration"));
  STRCMP_CONTAINS("level=info", logger.line.c_str());
}

TEST(DecisionLog, FindsASubjectInOrder) {
  NoLines logger;
  DecisionLog log(logger);
  log.Record(RecordOf("session s-1", "first"));
  log.Record(RecordOf("session s-10"));
  log.Record(RecordOf("session s-1", "second"));
  const auto found = log.Find("session s-1");
  LONGS_EQUAL(2, found.size());
  STRCMP_EQUAL("first", found.at(0).reason.c_str());
  STRCMP_EQUAL("second", found.at(1).reason.c_str());
  LONGS_EQUAL(0, log.Find("session s-2").size());
}

TEST(DecisionLog, TheOldestGoWhenThereAreTooMany) {
  // Symptom: an instance's memory grows with every request.
  // Sequence: each request records a few decisions under a new subject.
  // Cause: a log or an index that keeps subjects after their records are gone.
  NoLines logger;
  DecisionLog log(logger, {.most_records = 10, .most_bytes = 1'000'000});
  for (int index = 0; index < 1'000; ++index) {
    log.Record(RecordOf("session s-" + std::to_string(index)));
  }
  LONGS_EQUAL(10, log.size());
  LONGS_EQUAL(0, log.Find("session s-989").size());
  LONGS_EQUAL(1, log.Find("session s-990").size());
  LONGS_EQUAL(3, log.Latest(3).size());
  STRCMP_EQUAL("session s-997", log.Latest(3).front().subject.c_str());
}

TEST(DecisionLog, BytesAreBoundedAndLongTextsAreCut) {
  NoLines logger;
  DecisionLog log(logger, {.most_records = 1'000, .most_bytes = 20'000});
  for (int index = 0; index < 100; ++index) {
    log.Record(RecordOf("request r", std::string(100'000, 'x')));
  }
  CHECK(log.bytes() <= 20'000);
  CHECK(log.size() > 5);
  CHECK(log.Find("request r").front().reason.size() < 600);
}

TEST(DecisionLog, LosesNothingBetweenThreads) {
  NoLines logger;
  DecisionLog log(logger);
  {
    std::vector<std::jthread> threads;
    threads.reserve(4);
    for (int thread = 0; thread < 4; ++thread) {
      threads.emplace_back([&log] {
        for (int index = 0; index < 500; ++index) {
          log.Record(RecordOf("configuration"));
        }
      });
    }
  }
  LONGS_EQUAL(2'000, log.Find("configuration").size());
}
