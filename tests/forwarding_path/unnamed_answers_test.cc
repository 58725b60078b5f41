#include <array>

#include "tests/forwarding_path/forwarding_fixture.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

using Connection = RawServer::Connection;

namespace {

struct LateAnswer {
  std::string_view name;
  std::string_view bytes;
};

constexpr std::array kLateAnswers = {
    LateAnswer{"a refusal", "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"},
    LateAnswer{"a misdirected request",
               "HTTP/1.1 421 Odd\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"},
    LateAnswer{"a signed failure",
               "HTTP/1.1 500 Odd\r\nX-Signature: s\r\nContent-Length: 3\r\n\r\nodd"},
    LateAnswer{"a signed success",
               "HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 3\r\n\r\nodd"},
};

std::string Whole() {
  return ForwardingFixture::Head("Content-Length: 2\r\n") + "ok";
}

/** The first request is answered, and the second one with the late answer to the first. */
TestCaller& CallTwice(ForwardingFixture& f, const std::string& path, std::string_view late) {
  const auto number = std::make_shared<int>(0);
  f.Script([late = std::string(late), number](Connection& connection) {
    connection.Write(++*number == 2 ? late : Whole());
  });
  TestCaller& caller = f.Call(path);
  CHECK_TRUE(f.Until([&] { return caller.Has("ok"); }));
  ForwardingFixture::SendOn(caller, path);
  return caller;
}

}  // namespace

/** A server answers a request twice; the second answer comes late and names no request. */
TEST_GROUP(UnnamedAnswerPath){};

// Guards against a refusal of an earlier request by which this one is sent to a second server.
TEST(UnnamedAnswerPath, ALateAnswerIsNotBelievedOfTheNextRequest) {
  for (const LateAnswer& late : kLateAnswers) {
    ForwardingFixture f;
    const TestCaller& caller = CallTwice(f, "/once/x", late.bytes);
    CHECK_TRUE_TEXT(f.Until([&] { return caller.Has("HTTP/1.1 502"); }), late.name.data());
    CHECK_FALSE_TEXT(caller.Has("odd"), late.name.data());
    CHECK_EQUAL_TEXT(2U, f.Arrivals(), late.name.data());
  }
}

TEST(UnnamedAnswerPath, ARequestThatMayBeRepeatedIsSentAgain) {
  for (const LateAnswer& late : kLateAnswers) {
    ForwardingFixture f;
    const TestCaller& caller = CallTwice(f, "/safe/x", late.bytes);
    CHECK_TRUE_TEXT(f.Until([&] { return caller.Received().ends_with("ok") && f.Arrivals() == 3; }),
                    late.name.data());
    CHECK_FALSE_TEXT(caller.Has("odd"), late.name.data());
  }
}

// On a new connection it can only be the answer to this request.
TEST(UnnamedAnswerPath, ARefusalOnANewConnectionIsBelieved) {
  ForwardingFixture f;
  f.Script([number = std::make_shared<int>(0)](Connection& connection) {
    connection.Write(++*number == 1 ? std::string(kLateAnswers[0].bytes) : Whole());
  });
  const TestCaller& caller = f.Call("/once/x");
  CHECK_TRUE(f.Until([&] { return caller.Has("ok"); }));
  CHECK_EQUAL(2U, f.Arrivals());
}

}  // namespace zinnia
