#include <string>

#include "tests/once/once_world.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {
namespace {

using std::chrono::milliseconds;

OnceSettings SmallSettings() {
  OnceSettings settings;
  settings.partitions = 2;
  return settings;
}

TEST_GROUP(Once) {
  OnceWorld world{7, 3, SmallSettings()};

  void setup() override {
    world.Advance(milliseconds(500));
  }

  std::size_t RunsOf(const std::string& key) {
    return world.ledger.runs[key].size();
  }
};

TEST(Once, ARequestRunsAndItsAnswerIsGivenAgain) {
  const auto first = world[0].Call("k", "body");
  world.Advance(milliseconds(500));
  CHECK(first->told == Told::kAnswered);
  for (std::size_t i = 0; i < 3; ++i) {
    const auto again = world[i].Call("k", "body");
    world.Advance(milliseconds(500));
    CHECK(again->told == Told::kAnswered);
    STRCMP_EQUAL(first->answer.c_str(), again->answer.c_str());
  }
  LONGS_EQUAL(1, RunsOf("k"));
}

}  // namespace
}  // namespace zinnia
