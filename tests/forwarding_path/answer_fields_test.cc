#include <array>

#include "tests/forwarding_path/forwarding_fixture.h"
#include "tests/forwarding_path/strict_answer_parser.h"
#include "zinnia_adapters/http/answer_reader.h"

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
  CHECK_FALSE(got.fields.contains("content-length"));
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

// The parser aborts the process if it sees the start of the last chunk twice.
TEST(AnswerFieldPath, ATrailerSectionMayArriveInParts) {
  for (const std::string_view last : {"0\r\n\r\n", "00\r\n\r\n", "0;\r\n\r\n"}) {
    AnswerReader reader(AnswerLimits(), false);
    boost::beast::flat_buffer buffer;
    const std::string bytes = ForwardingFixture::Head("Transfer-Encoding: chunked\r\n");
    for (const char byte : bytes + std::string(last)) {
      CHECK_FALSE(reader.IsDone());
      boost::asio::buffer_copy(buffer.prepare(1), boost::asio::buffer(&byte, 1));
      buffer.commit(1);
      reader.Read(buffer);
    }
    CHECK_EQUAL(last != "0;\r\n\r\n", reader.IsDone());
  }
}

/** Apart from the others: it aborts the program as long as it fails. */
TEST_GROUP(CallerLastChunkPath) {
  ForwardingFixture f;
};

TEST(CallerLastChunkPath, ACallersLastChunkMayArriveInParts) {
  f.Script([](RawServer::Connection& connection) {
    connection.Write(ForwardingFixture::Head("Content-Length: 2\r\n") + "ok");
  });
  f.callers.push_back(std::make_unique<TestCaller>(f.thread.Loop(), f.traffic->Server().Port()));
  TestCaller& caller = *f.callers.back();
  for (const std::string part : {"POST /safe/x HTTP/1.1\r\nHost: h\r\nX-Id: r-1\r\nX-Key: key-1\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n",
                                 "0\r\n", "\r", "\n"}) {
    caller.Send(part);
    f.thread.Loop().restart();
    f.thread.Loop().run_for(std::chrono::milliseconds(20));
  }
  CHECK_TRUE(f.Until([&] { return caller.Received().ends_with("ok"); }));
}

}  // namespace zinnia
