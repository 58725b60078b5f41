#include "zinnia_adapters/log_summary/loss_summary.h"
#include "zinnia_adapters/log_summary/log_line.h"

#include <string>

#include <CppUTest/TestHarness.h>

namespace zinnia {

TEST_GROUP(Losses) {
  LossSummary summary{LossObjectives{}};

  void Ended(const std::string& time, const std::string& fields) {
    summary.AddLine("time=" + time + " instance=a level=info event=request_ended " + fields);
  }
};

TEST(Losses, LinesAreTakenApartWithQuotesAndPrefixes) {
  const auto line = LogLine::Parse(
      R"(  4.25 edge-1 time=100.5 level=info event=request_refused request=r reason="say \"no\" = now" n=x)");
  CHECK_TRUE(line.has_value());
  STRCMP_EQUAL("request_refused", line->Event().c_str());
  DOUBLES_EQUAL(100.5, line->Time(), 1e-9);
  STRCMP_EQUAL("say \"no\" = now", line->Field("reason").c_str());
  DOUBLES_EQUAL(0, line->Number("n"), 1e-9);
  for (const char* text :
       {"", "time=", "time=abc event=x", "time=1 level=info", "event=x", "time=1 event=\""}) {
    CHECK_FALSE(LogLine::Parse(text).has_value());
  }
}

TEST(Losses, EachRequestCountsOnceByItsCause) {
  Ended("100.0", "request=1 outcome=streamed first_event_ms=40 longest_gap_ms=90 ms=900");
  Ended("100.0", "request=2 outcome=streamed first_event_ms=501 longest_gap_ms=900 ms=900");
  Ended("100.0", "request=3 outcome=streamed first_event_ms=40 longest_gap_ms=201 ms=900");
  Ended("100.0", "request=4 outcome=status_200 ms=20");
  Ended("100.0", "request=5 outcome=status_500 ms=20");
  Ended("100.0", "request=6 outcome=deadline ms=20");
  Ended("100.0", "request=7 outcome=caller_gone ms=20");
  summary.AddLine("time=100 event=request_refused request=8 kind=overloaded was_run=no");
  Ended("100.0", "request=8 outcome=refused ms=1");
  summary.AddLine(
      "time=100 event=request_refused request=9 kind=backend_unavailable was_run=unknown");
  Ended("100.0", "request=9 outcome=refused ms=1");
  CHECK_EQUAL(2U, summary.Count(LossCause::kServed));
  CHECK_EQUAL(1U, summary.Count(LossCause::kLateFirstEvent));
  CHECK_EQUAL(1U, summary.Count(LossCause::kLateGap));
  CHECK_EQUAL(2U, summary.Count(LossCause::kFailed));
  CHECK_EQUAL(1U, summary.Count(LossCause::kCutOff));
  CHECK_EQUAL(1U, summary.Count(LossCause::kCallerGone));
  CHECK_EQUAL(1U, summary.Count(LossCause::kNoRoom));
}

TEST(Losses, RowsGoByWhenRequestsCame) {
  Ended("101.5", "request=1 outcome=streamed first_event_ms=40 longest_gap_ms=90 ms=1000");
  Ended("107.5", "request=2 outcome=streamed first_event_ms=40 longest_gap_ms=900 ms=1000");
  const std::string table = summary.Table();
  CHECK_TRUE(table.find("\n          0      1 ") != std::string::npos);
  CHECK_TRUE(table.find("\n          6      0                0        1 ") != std::string::npos);
}

}  // namespace zinnia
