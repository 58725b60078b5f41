#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>

#include "tests/adapters/control_fakes.h"
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

// Guards against blocking log writes when the reader of standard output stops.
TEST(OutputLogger, AStoppedReaderLosesLinesButDoesNotBlock) {
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

}  // namespace zinnia
