#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <random>
#include <string>

#include "zinnia_adapters/http/json_text.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {
namespace {

TEST_GROUP(TrafficJsonText){};

TEST(TrafficJsonText, EveryTextComesBackAsItWas) {
  std::mt19937 random(7);
  const std::string alphabet = "abcdefgh\"\\\n\r\t\x01\x1f\x20\x7f\xc3\xa4";
  for (int round = 0; round < 2000; ++round) {
    std::string text;
    for (std::size_t length = random() % 40; length > 0; --length) {
      const auto character = alphabet[random() % (alphabet.size() - 2)];
      text += character;
    }
    text += "\xc3\xa4";
    std::string written;
    AppendJsonString(written, text);
    const auto read = boost::json::parse(written);
    STRCMP_EQUAL(text.c_str(), std::string(read.as_string()).c_str());
  }
}

TEST(TrafficJsonText, EscapeIsFoundAtEveryPlaceOfALongText) {
  // Symptom: engines refuse steps whose states hold a quote. Sequence: the quote stands at one
  // certain place of a block. Cause: blocks are looked at as a whole, and their edges are missed.
  constexpr std::size_t kLength = 150;
  for (std::size_t place = 0; place < kLength; ++place) {
    for (const char escaped : {'"', '\\', '\n', '\x1f', '\x01'}) {
      std::string text(kLength, 'h');
      text[place] = escaped;
      std::string written;
      AppendJsonString(written, text);
      STRCMP_EQUAL(text.c_str(), std::string(boost::json::parse(written).as_string()).c_str());
    }
  }
}

}  // namespace
}  // namespace zinnia
