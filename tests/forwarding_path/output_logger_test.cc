#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>

#include "tests/adapters/control_fakes.h"
#include "zinnia_adapters/settings/forwarding_settings.h"
#include "zinnia_base/logging/standard_output_logger.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

TEST_GROUP(OutputLogger) {
  ManualClock clock;
  std::array<int, 2> pipe_ends{};

  void setup() override {
    CHECK_EQUAL(0, pipe(pipe_ends.data()));
  }
  void teardown() override {
    close(pipe_ends[0]);
    close(pipe_ends[1]);
  }

  std::string ReadAll() {
    fcntl(pipe_ends[0], F_SETFL, O_NONBLOCK);
    std::string text;
    std::array<char, 65'536> buffer{};
    for (auto got = read(pipe_ends[0], buffer.data(), buffer.size()); got > 0;
         got = read(pipe_ends[0], buffer.data(), buffer.size())) {
      text.append(buffer.data(), static_cast<std::size_t>(got));
    }
    return text;
  }
};

// Symptom: requests take seconds while the log's reader is stopped. Sequence: the reader of
// standard output stops, the pipe fills, the next line waits. Cause: blocking writes on the
// request's thread.
TEST(OutputLogger, AReaderThatStopsCostsLinesAndNoTime) {
  StandardOutputLogger logger(clock, "i", LogLevel::kInfo, pipe_ends[1], {1'000'000, 100'000});
  for (int line = 0; line < 20'000; ++line) {
    logger.Log(LogLevel::kInfo, "event", {{"line", std::to_string(line)}});
    logger.Flush();
  }
  CHECK_TRUE(logger.DroppedLines() > 0);
  ReadAll();
  clock.AdvanceBy(std::chrono::seconds(2));
  std::string text;
  for (int turn = 0; turn < 4; ++turn) {
    logger.Flush();
    text += ReadAll();
  }
  CHECK_TRUE(text.find("event=lines_dropped count=") != std::string::npos);
}

TEST(OutputLogger, OneNoisyEventDoesNotHideTheOthers) {
  StandardOutputLogger logger(clock, "i", LogLevel::kInfo, pipe_ends[1], {10, 100'000});
  for (int line = 0; line < 100; ++line) {
    logger.Log(LogLevel::kInfo, "noisy", {});
  }
  logger.Log(LogLevel::kWarning, "rare", {{"reason", "two words"}});
  logger.Log(LogLevel::kDebug, "hidden", {});
  logger.Flush();
  const std::string text = ReadAll();
  CHECK_TRUE(text.find("event=rare reason=\"two words\"") != std::string::npos);
  CHECK_TRUE(text.find("hidden") == std::string::npos);
  CHECK_EQUAL(90U, logger.DroppedLines());
}

TEST_GROUP(ForwardingSettings) {
  const std::string good = R"({
    "instance": "i", "failure_domain": "x", "region": "r", "callers_address": "127.0.0.1:1",
    "readiness_address": "127.0.0.1:2", "peer_address": "127.0.0.1:3",
    "metrics_address": "127.0.0.1:4", "store_address": "127.0.0.1:5",
    "seeds": ["127.0.0.1:6"], "stop_grace_seconds": 8, "retry_budget_ratio": 0.3,
    "engines_check_fencing": false})";

  std::string FaultOf(const std::string& from, const std::string& to) {
    std::string text = good;
    text.replace(text.find(from), from.size(), to);
    const auto settings = zinnia::ForwardingSettings::Parse(text);
    return settings ? "none" : Describe(settings.error());
  }
};

TEST(ForwardingSettings, ReadsItsFields) {
  const auto settings = zinnia::ForwardingSettings::Parse(good);
  CHECK_TRUE(settings.has_value());
  STRCMP_EQUAL("127.0.0.1:6", settings->seeds[0].ToString().c_str());
  CHECK_EQUAL(8'000, settings->stop_grace.count());
  DOUBLES_EQUAL(0.3, settings->retry_budget_ratio, 1e-9);
  CHECK_FALSE(settings->engines_check_fencing);
}

TEST(ForwardingSettings, NamesTheFieldThatIsWrong) {
  STRCMP_CONTAINS("store_address", FaultOf("\"127.0.0.1:5\"", "\"nowhere\"").c_str());
  STRCMP_CONTAINS("instance", FaultOf("\"i\"", "\"\"").c_str());
  STRCMP_CONTAINS("stop_grace_seconds", FaultOf("8", "-1").c_str());
  STRCMP_CONTAINS("seeds", FaultOf("[\"127.0.0.1:6\"]", "7").c_str());
  STRCMP_CONTAINS("not a JSON object", FaultOf("{", "[").c_str());
}

}  // namespace zinnia
