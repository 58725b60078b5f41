#include "zinnia_adapters/forwarding/answer_body.h"

#include <random>

#include <CppUTest/TestHarness.h>

namespace zinnia {

TEST_GROUP(AnswerBodies){};

TEST(AnswerBodies, BytesComeOutAsTheyWentIn) {
  std::mt19937_64 random(1);
  for (const std::size_t most : {1U, 100U, 100'000U, 300'000U}) {
    AnswerBody body;
    std::string expected;
    for (int part = 0; part < 40; ++part) {
      const std::string bytes(random() % (most + 1), static_cast<char>('a' + part % 26));
      body.Append(bytes);
      expected += bytes;
      CHECK_EQUAL(expected.size(), body.Size());
    }
    CHECK_TRUE(body.Take() == expected);
    CHECK_EQUAL(0U, body.Size());
    CHECK_TRUE(body.Take().empty());
  }
}

}  // namespace zinnia
