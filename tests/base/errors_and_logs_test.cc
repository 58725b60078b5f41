#include <string>

#include "zinnia_base/zinnia_base.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {
namespace {

Result<int> Half(int number) {
  if (number % 2 != 0) {
    return MakeError(ErrorKind::kInvalidRequest, "the number is odd");
  }
  return number / 2;
}

}  // namespace

TEST_GROUP(ErrorTest){};

TEST(ErrorTest, KindsHaveUniqueNamesAndRemedies) {
  std::string names;
  for (int kind = 0; kind <= static_cast<int>(ErrorKind::kInternal); ++kind) {
    const std::string name = " " + std::string(NameOf(static_cast<ErrorKind>(kind))) + " ";
    CHECK_TRUE(names.find(name) == std::string::npos);
    CHECK_FALSE(DefaultRemedyFor(static_cast<ErrorKind>(kind)).empty());
    names += name;
  }
}

TEST(ErrorTest, ValueOfFailedResultThrowsErrorException) {
  LONGS_EQUAL(4, Half(8).value());
  try {
    Half(7).value();
    FAIL("expected ErrorException");
  } catch (const ErrorException& exception) {
    CHECK_TRUE(exception.GetError().kind == ErrorKind::kInvalidRequest);
    STRCMP_CONTAINS("the number is odd", exception.what());
    STRCMP_CONTAINS("correct the request", exception.what());
  }
}

TEST_GROUP(LogLineTest){};

// Guards against log injection by values that contain line breaks or quotes.
TEST(LogLineTest, ValuesCannotForgeLinesOrFields) {
  const std::string line = FormatLogLine(LogLevel::kInfo, "request_done",
                                         {{"path", "a\nlevel=error \"b\""}, {"n", "1"}});
  STRCMP_EQUAL("level=info event=request_done path=\"a level=error \\\"b\\\"\" n=1", line.c_str());
}

TEST_GROUP(FingerprintTest){};

TEST(FingerprintTest, DependsOnContentOnly) {
  CHECK_TRUE(Fingerprint::Of("kitanda") == Fingerprint::Of(std::string("kitanda")));
  CHECK_FALSE(Fingerprint::Of("kitanda") == Fingerprint::Of("kitandb"));
  LONGS_EQUAL(32, Fingerprint::Of("").ToHex().size());
  CHECK_FALSE(Hash64("a", 1) == Hash64("a", 2));
}

}  // namespace zinnia
