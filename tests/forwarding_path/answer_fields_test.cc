#include <array>

#include "tests/forwarding_path/forwarding_fixture.h"
#include "tests/forwarding_path/strict_answer_parser.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

/** Fields of answers that mislead: found by AnswerFuzzPath, and not drawn by it. */
TEST_GROUP(AnswerFieldPath) {
  ForwardingFixture f;

  /** The first request is answered with these bytes, later ones soundly. */
  void ScriptFirst(const std::string& bytes) {
    f.Script([bytes, is_first = std::make_shared<bool>(true)](RawServer::Connection& connection) {
      connection.Write(std::exchange(*is_first, false)
                           ? bytes
                           : ForwardingFixture::Head("Content-Length: 6\r\n") + "second");
    });
  }

  StrictAnswer AnswerTo(const std::string& path) {
    const TestCaller& caller = f.Call(path);
    CHECK_TRUE(f.Until([&] {
      return StrictAnswerParser::Parse(caller.Received()).state != StrictState::kUnfinished;
    }));
    return StrictAnswerParser::Parse(caller.Received());
  }

  static std::string Chunked(const std::string& status, const std::string& trailer) {
    return "HTTP/1.1 " + status + "\r\nX-Id: r-1\r\nTransfer-Encoding: chunked\r\n\r\n" +
           ForwardingFixture::Chunk("odd") + "0\r\n" + trailer + "\r\n\r\n";
  }
};

TEST(AnswerFieldPath, AnAnswerWithoutContentHasNoLength) {
  ScriptFirst("HTTP/1.1 204 Any\r\nX-Id: r-1\r\nX-Signature: s\r\n\r\n");
  const StrictAnswer got = AnswerTo("/safe/x");
  CHECK_EQUAL(204U, got.status);
  CHECK_FALSE(got.has_forbidden_length);
}

// Guards against a signature that is lost on the way: several Connection fields are one list.
TEST(AnswerFieldPath, AllConnectionFieldsCount) {
  ScriptFirst(ForwardingFixture::Head("Connection: close\r\nConnection: X-Signature\r\n"
                                      "Content-Length: 3\r\n") +
              "odd");
  STRCMP_EQUAL("second", AnswerTo("/safe/x").body.c_str());
}

// Guards against trailer fields that count as fields of the head if they arrive along with it.
TEST(AnswerFieldPath, ATrailerSignsNoAnswer) {
  ScriptFirst(Chunked("200 OK", "X-Signature: s"));
  STRCMP_EQUAL("second", AnswerTo("/safe/x").body.c_str());
}

TEST(AnswerFieldPath, ATrailerRefusesNoRequest) {
  ScriptFirst(Chunked("500 Odd", "X-Not-Run: 1"));
  CHECK_EQUAL(500U, AnswerTo("/once/x").status);
  CHECK_EQUAL(1U, f.Arrivals());
}

}  // namespace zinnia
